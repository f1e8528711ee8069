"""A scanner that finds the sections and keys of an INI text by line number.

`configparser` reads the values, but it keeps no line numbers and merges or
rejects duplicates.  The lines are therefore scanned first, by the same rules:
a header or key starts at the left margin, an indented line continues the
value above it, and a blank line or a comment ends a value.
"""

import configparser
import itertools
import re
from collections.abc import Iterator

import msgspec

from .faults import HIDDEN, Fault

COMMENTS = ("#", ";")
HEADER = re.compile(r"\[([^\[\]]+)\]")
SECRET_WORDS = ("key", "secret", "token", "password")


class SectionName(msgspec.Struct, frozen=True, order=True):
    """A section's kind and name; kinds with a single section have no name."""

    kind: str
    name: str = ""

    def __str__(self) -> str:
        return f"{self.kind} {self.name}".strip()


class KeyValue(msgspec.Struct, kw_only=True):
    """One `key = value` of a section; `line` counts from one."""

    key: str
    value: str = ""
    line: int


class RawSection(msgspec.Struct, kw_only=True):
    """One unparsed section; `line` is the number of its header's line.

    `lines` are the lines of all its valid keys and values.
    """

    name: SectionName
    line: int
    pairs: list[KeyValue] = []
    lines: list[str] = []


class Scan(msgspec.Struct, kw_only=True):
    """The sections of a text, including duplicates, and its syntax faults."""

    sections: list[RawSection]
    faults: list[Fault]


def read_name(header: str) -> SectionName:
    """Return the section name in the text between a header's brackets."""
    kind, _, name = header.strip().partition(" ")
    return SectionName(kind, name.strip())


def find_header(line: str) -> SectionName | None:
    """Return the section name if the line is a section's header."""
    match = HEADER.fullmatch(line.rstrip())
    return read_name(match[1]) if match else None


def is_comment(line: str) -> bool:
    """Return whether the whole line is a comment."""
    return line.strip().startswith(COMMENTS)


def hide_secret(key: str, value: str) -> str:
    """Return the value, or `HIDDEN` if the key's name suggests a secret."""
    secret = any(word in key.lower() for word in SECRET_WORDS)
    return HIDDEN if secret else value


def scan_text(text: str, *, file: str) -> Scan:
    """Return the sections of a text and its syntax faults."""
    scan = Scan(sections=[], faults=[])
    value_open = False
    for number, line in enumerate(text.split("\n"), start=1):
        value_open = _scan_line(scan, file, number, line, value_open)
    _fill_values(scan.sections)
    return scan


def _scan_line(scan: Scan, file: str, number: int, line: str, value_open: bool) -> bool:
    """Add one line to the scan; return whether the next may continue a value."""
    section = scan.sections[-1] if scan.sections else None
    if not line.strip() or is_comment(line):
        return False
    if line[0].isspace() and value_open and section:
        section.lines.append(line)
        return True
    name = find_header(line)
    if name:
        scan.sections.append(RawSection(name=name, line=number))
        return False
    key = line.partition("=")[0].strip()
    allowed = _find_line_fault(section, line, key)
    if allowed:
        scan.faults.append(_make_line_fault(section, file, number, line, allowed))
        return False
    section.pairs.append(KeyValue(key=key, line=number))
    section.lines.append(line)
    return True


def _find_line_fault(section: RawSection | None, line: str, key: str) -> str:
    """Return what is allowed instead of an invalid line, or an empty text."""
    if line[0].isspace():
        return "an indented line must continue the value right above it"
    if line.startswith("["):
        return "a header is [kind] or [kind name] alone on its line"
    if not section:
        return "a section header must come first"
    if "=" not in line or not key:
        return "a line must be a [header], key = value or a # comment"
    return ""


def _make_line_fault(
    section: RawSection | None, file: str, number: int, line: str, allowed: str
) -> Fault:
    """Return the fault of a line, with the line hidden if it may be a secret.

    Any line of an organisation's section may be its API key, pasted without
    `key_env =` in front.
    """
    kind = section.name.kind if section else ""
    hidden = kind == "organisation" or hide_secret(line, line) is HIDDEN
    return Fault(
        file=file,
        line=number,
        section=str(section.name) if section else "",
        key="line",
        value=HIDDEN if hidden else line.strip(),
        allowed=allowed,
    )


def _fill_values(sections: list[RawSection]) -> None:
    """Let configparser read the values of all valid lines.

    Sections and keys are numbered for it, so that duplicates stay apart.
    """
    parser = configparser.RawConfigParser(
        delimiters=("=",), comment_prefixes=COMMENTS, empty_lines_in_values=False
    )
    parser.optionxform = str
    parser.read_file(_number_lines(sections))
    for number, section in enumerate(sections):
        values = parser[str(number)].values()
        for pair, value in zip(section.pairs, values, strict=True):
            pair.value = value.strip()


def _number_lines(sections: list[RawSection]) -> Iterator[str]:
    """Yield the lines with numbers as section names and before each key."""
    for number, section in enumerate(sections):
        yield f"[{number}]"
        keys = itertools.count()
        for line in section.lines:
            yield line if line[0].isspace() else f"{next(keys)} {line}"
