"""Output of the commands: tables for people, JSON for programs."""

import sys
from collections.abc import Iterable

import msgspec
import rich.box
import rich.console
import rich.table
import rich.text

# Without a terminal rich would cut every table at 80 columns.
PIPED_WIDTH_COLUMNS = 200


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(headings: Iterable[str], rows: Iterable[Iterable[object]]) -> None:
    """Print a table with columns of numbers aligned to the right."""
    table = rich.table.Table(box=rich.box.SIMPLE_HEAD)
    rows = [list(row) for row in rows]
    for number, heading in enumerate(headings):
        numeric = all(isinstance(row[number], int | float) for row in rows)
        table.add_column(heading, justify="right" if rows and numeric else "left")
    for row in rows:
        # Text objects, because rich reads brackets in strings as markup.
        table.add_row(*(rich.text.Text(_format_cell(cell)) for cell in row))
    console = rich.console.Console(file=sys.stdout)
    if not console.is_terminal:
        console.width = PIPED_WIDTH_COLUMNS
    console.print(table)


def _format_cell(cell: object) -> str:
    match cell:
        case bool():
            return "yes" if cell else ""
        case float():
            return f"{cell:.2f}".rstrip("0").rstrip(".")
    return str(cell)
