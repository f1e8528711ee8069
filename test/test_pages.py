"""Tests that the committed pages match the tables they are generated from."""

import pathlib

import pytest

from eelgrassrack.pages import make_pages

DOCS = pathlib.Path(__file__).parent.parent / "docs"


@pytest.mark.parametrize(("name", "text"), make_pages())
def test_committed_page(name, text):
    assert (DOCS / name).read_text(encoding="utf-8") == text
