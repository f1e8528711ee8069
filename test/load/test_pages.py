"""Tests that the operators' page lists every key of a load plan."""

import pathlib

from eelgrassrack.document.checks import describe_check
from eelgrassrack.document.schema import format_default
from eelgrassrack.load.tables import PLAN

PAGE = pathlib.Path(__file__).parent.parent.parent / "docs" / "EXPERIMENTS.md"


def test_the_page_equals_the_tables():
    lines = PAGE.read_text(encoding="utf-8").split("\n")
    rows = [
        f"| `{key.name}` | {key.meaning} | {key.unit} "
        f"| {format_default(kind, key) or 'none'} | {describe_check(key.check)} |"
        for kind in PLAN
        for key in kind.keys
    ]
    assert [line for line in lines if line.startswith("| `")] == rows
