"""Tables of measured figures, printed to the terminal or as Markdown."""

import msgspec
import rich.table
from rich.console import Console


class Table(msgspec.Struct, kw_only=True, frozen=True):
    """A table with a title and one heading for each column."""

    title: str
    headings: tuple[str, ...]
    rows: list[list[str]]

    def show(self, console: Console) -> None:
        """Print the table to a terminal."""
        shown = rich.table.Table(*self.headings, title=self.title)
        for row in self.rows:
            shown.add_row(*row)
        console.print(shown)

    def format_markdown(self) -> str:
        """Return the table as Markdown."""
        lines = [self.headings, ["---"] * len(self.headings), *self.rows]
        text = "\n".join(f"| {' | '.join(line)} |" for line in lines)
        return f"{self.title}\n\n{text}\n"
