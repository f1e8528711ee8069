"""Generates the pages under docs/ that document tables in the code.

`python -m eelgrassrack.pages` writes the pages; a test checks that the committed
pages are up to date.
"""

import pathlib
from collections.abc import Iterable

from .document.checks import describe_check
from .document.schema import Key, SectionKind, format_default
from .document.tables.document import DOCUMENT
from .gateway.settings import GATEWAY
from .metrics import format_page as format_metrics
from .settings import AGENT, ENTRY, LOG, METRICS

INTRODUCTION = """\
# Configuration

Generated from the tables in `eelgrassrack/document/tables/` and
`eelgrassrack/settings.py` by `python -m eelgrassrack.pages`. The same tables validate
the files.

All files are INI: `[kind]` or `[kind name]` on a line of its own without indentation,
then `key = value`. An indented line continues the value above it. Lists are
comma-separated. Lines that start with `#` or `;` are comments. Unknown and duplicate
sections and keys are faults. `eelgrassrack check FILE` prints one line for each fault:
file, line, section, key, value and what is allowed. Values that may be secrets are
never printed.
"""

DOCUMENT_HEADING = """\
## The document

All teams share one document; `eelgrassrack apply` changes the sections that a team
owns. These rules hold between sections: the model of a version, the rungs of a
cascade, what an organisation may use and what a pool serves exist; models, aliases and
cascades have different names; no two organisations share a key; each model with active
versions has one with a weight above 0; `cold_concurrency` is at most `concurrency`, and
`default_deadline` at most `longest_deadline`.
"""

SETTINGS_HEADING = """\
## Settings of the daemons

The settings file of a daemon has an `[entry]`, `[agent]` or `[gateway]` section and may
have `[log]` and `[metrics]` sections. The platform generates a gateway's file from its
own fields with the template `eelgrassrack/platform/entry.ini`.
"""


def format_configuration() -> str:
    """Return the text of docs/CONFIGURATION.md."""
    parts = [
        INTRODUCTION,
        DOCUMENT_HEADING,
        *map(_format_kind, DOCUMENT),
        SETTINGS_HEADING,
        *map(_format_kind, (ENTRY, AGENT, GATEWAY, LOG, METRICS)),
    ]
    return "\n".join(parts)


def write_pages(folder: pathlib.Path) -> None:
    """Write all pages into the folder."""
    for name, text in make_pages():
        (folder / name).write_text(text, encoding="utf-8")


def make_pages() -> Iterable[tuple[str, str]]:
    """Return each page's file name and text."""
    return (
        ("CONFIGURATION.md", format_configuration()),
        ("METRICS.md", format_metrics()),
    )


def _format_kind(kind: SectionKind) -> str:
    rows = "\n".join(_format_key(kind, key) for key in kind.keys)
    name = f" NAME is {kind.name.allowed}." if kind.header != kind.kind else ""
    return (
        f"### `[{kind.header}]`\n\n{kind.meaning}{name}\n\n"
        "| key | meaning | unit | default | allowed |\n"
        "| --- | --- | --- | --- | --- |\n"
        f"{rows}\n"
    )


def _format_key(kind: SectionKind, key: Key) -> str:
    default = format_default(kind, key) or "none"
    return (
        f"| `{key.name}` | {key.meaning} | {key.unit} | {default} "
        f"| {describe_check(key.check)} |"
    )


if __name__ == "__main__":
    write_pages(pathlib.Path("docs"))
