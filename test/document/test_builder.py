"""Tests of the incremental building of snapshots."""

import pathlib

import pytest

from eelgrassrack.document.builder import SnapshotBuilder
from eelgrassrack.document.edits import split_sections
from eelgrassrack.document.parser import parse_document

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize("name", ["keelwater.ini", "cimq.ini"])
def test_snapshot_equals_that_of_the_parser(name):
    text = (EXAMPLES / name).read_text()
    builder = SnapshotBuilder()
    commented = text.replace("[domain ", "# A remark.\n[domain ", 1)
    for revision, document in enumerate((text, commented, text), start=1):
        built = builder.build(
            texts=split_sections(document).values(), revision=revision
        )
        assert built == parse_document(text=document, revision=revision)


def test_a_removed_section_is_gone():
    """Guards against a removed section that is still served from the cache.

    Its organisation could go on sending requests.
    """
    text = (EXAMPLES / "cimq.ini").read_text()
    sections = split_sections(text)
    builder = SnapshotBuilder()
    builder.build(texts=sections.values(), revision=1)
    removed = next(name for name in sections if name.kind == "organisation")
    rest = [section for name, section in sections.items() if name != removed]
    assert removed.name not in builder.build(texts=rest, revision=2).organisations


def test_a_faulty_section_builds_nothing():
    assert (
        SnapshotBuilder().build(texts=["[version x]\nstate = odd\n"], revision=1)
        is None
    )
