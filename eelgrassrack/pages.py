"""The pages under docs/ that are made from tables in the code.

`python -m eelgrassrack.pages` writes them anew; a test asserts that the
committed pages equal them.
"""

import pathlib
from collections.abc import Iterable

from .document.checks import describe_check
from .document.schema import Key, SectionKind, format_default
from .document.tables import DOCUMENT
from .gateway.settings import GATEWAY
from .metrics import format_page as format_metrics
from .settings import AGENT, ENTRY, LOG, METRICS

INTRODUCTION = """\
# Configuration

Made from the tables in `eelgrassrack/document/tables/` and
`eelgrassrack/settings.py` by `python -m eelgrassrack.pages`; the same tables
check what operators write.

All files are INI: `[kind]` or `[kind name]` alone on a line at the left margin,
then `key = value`. An indented line continues the value above it. Lists are
comma-separated. Lines that start with `#` or `;` are comments. Unknown sections
and keys, and ones that stand twice, are faults. `eelgrassrack check FILE` prints
one line for each fault: file, line, section, key, value and what is allowed.
Values that may be secrets are never printed.
"""

DOCUMENT_HEADING = """\
## The document

One text for all teams; `eelgrassrack apply` changes a team's own sections of it.
Between sections it is checked that: a version's model, a cascade's rungs, what an
organisation may use and what a pool serves exist; no model, alias and cascade share
a name; no two organisations share a key; each model with active versions has one of
weight above 0; `cold_concurrency` is at most `concurrency`, and `default_deadline`
at most `longest_deadline`.
"""

SETTINGS_HEADING = """\
## Settings of the daemons

A file for one daemon holds its `[entry]`, `[agent]` or `[gateway]` section, and may
hold `[log]` and `[metrics]`. The platform makes a gateway's file from its own fields
by `eelgrassrack/platform/entry.ini`.
"""


def format_configuration() -> str:
    """Return the page docs/CONFIGURATION.md."""
    parts = [
        INTRODUCTION,
        DOCUMENT_HEADING,
        *map(_format_kind, DOCUMENT),
        SETTINGS_HEADING,
        *map(_format_kind, (ENTRY, AGENT, GATEWAY, LOG, METRICS)),
    ]
    return "\n".join(parts)


def write_pages(folder: pathlib.Path) -> None:
    """Write every page into the folder."""
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
