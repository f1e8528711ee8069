"""Edits of a document's text that replace only selected sections.

Teams share one document.  An edit takes only its selected sections from
the proposed text, so an outdated copy of another team's section in that
text can't undo the other team's changes.
"""

import fnmatch
import itertools
from collections.abc import Iterable, Mapping

import msgspec

from .lines import SectionName, find_header, is_comment, scan_text
from .parser import digest_api_key
from .sections import Team
from .tables.callers import KEY_DIGEST, KEY_VARIABLE

PREAMBLE = SectionName("")


class Edit(msgspec.Struct, kw_only=True, frozen=True):
    """The document's new text and the names of the changed sections."""

    text: str
    changed: tuple[str, ...]


class EditRefused(msgspec.Struct, kw_only=True, frozen=True):
    """Why an edit was refused, and the sections or patterns at fault."""

    reason: str
    sections: tuple[str, ...] = ()


def split_sections(text: str) -> dict[SectionName, str]:
    """Return the text of each section, including its header.

    Comments directly above a header belong to its section.  The text before
    the first section is the preamble.  The texts of a duplicate section are
    joined, so that nothing is lost before the parser reports the duplicate.
    """
    lines = _split_lines(text)
    headers = [number for number, line in enumerate(lines) if find_header(line)]
    names = [find_header(lines[header]) for header in headers]
    first_lines = [_find_first_line(lines, header) for header in headers]
    ends = [*first_lines, len(lines)][1:]
    sections: dict[SectionName, str] = {}
    preamble = "".join(lines[: first_lines[0]] if first_lines else lines)
    if preamble:
        sections[PREAMBLE] = preamble
    for name, first, end in zip(names, first_lines, ends, strict=True):
        sections[name] = sections.get(name, "") + "".join(lines[first:end])
    return sections


def join_sections(sections: Mapping[SectionName, str]) -> str:
    """Join section texts into a document, each starting on a new line."""
    texts = [text for text in sections.values() if text]
    ended = [text if text.endswith("\n") else text + "\n" for text in texts[:-1]]
    return "".join([*ended, *texts[-1:]])


def replace_sections(
    *, current: str, proposed: str, patterns: Iterable[str], team: Team
) -> Edit | EditRefused:
    """Replace selected sections of the current text by the proposed ones.

    `patterns` select the sections by `kind name`.  Selected sections that
    only the proposed text has are added, and ones that it lacks are removed.
    An edit that changes a section the team may not edit is refused.
    """
    before = split_sections(current)
    after = split_sections(proposed)
    patterns = tuple(patterns)
    selected = [name for name in {**before, **after} if matches_any(name, patterns)]
    if not selected:
        return EditRefused(reason="no section matches", sections=patterns)
    changed = [
        name for name in selected if not _is_same(before.get(name), after.get(name))
    ]
    not_permitted = [str(name) for name in changed if not may_edit(team, name)]
    if not_permitted:
        reason = f"team {team.name} may not edit"
        return EditRefused(reason=reason, sections=tuple(not_permitted))
    return Edit(
        text=join_sections(_merge_sections(before, after, changed)),
        changed=tuple(str(name) for name in changed),
    )


def matches_any(name: SectionName, patterns: Iterable[str]) -> bool:
    """Return whether a section's `kind name` matches one of the patterns."""
    if name == PREAMBLE:
        return False
    return any(fnmatch.fnmatchcase(str(name), pattern) for pattern in patterns)


def may_edit(team: Team, name: SectionName) -> bool:
    """Return whether a team may edit a section."""
    return matches_any(name, team.sections)


def set_key(*, text: str, section: SectionName, key: str, value: str) -> str:
    """Return the text with one key of a section set and the rest unchanged.

    A missing section is added at the end.
    """
    sections = split_sections(text)
    lines = sections.get(section, f"\n[{section}]\n").split("\n")
    header = next(number for number, line in enumerate(lines) if find_header(line))
    pairs = scan_text("\n".join(lines), file="").sections[0].pairs
    matches = [pair.line - 1 for pair in pairs if pair.key == key]
    for number in reversed(matches):
        rest = itertools.dropwhile(_is_continuation, lines[number + 1 :])
        lines[number:] = [f"{key} = {value}", *rest]
    if not matches:
        lines.insert(header + 1, f"{key} = {value}")
    sections[section] = "\n".join(lines)
    return join_sections(sections)


def resolve_api_keys(
    *, text: str, patterns: Iterable[str], environment: Mapping[str, str]
) -> str:
    """Return the text with each `key_env` replaced by the key's digest.

    Only sections that match `patterns` are changed.  Daemons don't have the
    operator's environment variables, so the stored document must not refer
    to them.  The parser reports variables that aren't set.
    """
    patterns = tuple(patterns)
    resolved = text
    for section in scan_text(text, file="").sections:
        values = {pair.key: pair.value for pair in section.pairs}
        api_key = environment.get(values.get(KEY_VARIABLE, ""))
        if not api_key or not matches_any(section.name, patterns):
            continue
        digest = digest_api_key(api_key)
        resolved = _replace_api_key(resolved, section.name, digest)
    return resolved


def _replace_api_key(text: str, name: SectionName, digest: str) -> str:
    sections = split_sections(text)
    lines = sections[name].split("\n")
    sections[name] = "\n".join(
        f"{KEY_DIGEST} = {digest}"
        if line.partition("=")[0].strip() == KEY_VARIABLE
        else line
        for line in lines
    )
    return join_sections(sections)


def _merge_sections(
    before: dict[SectionName, str],
    after: dict[SectionName, str],
    changed: list[SectionName],
) -> dict[SectionName, str]:
    """Return the merged sections in the current order, new ones last.

    The preamble is taken over only if there was no document before.
    """
    if not before:
        changed = [PREAMBLE, *changed] if PREAMBLE in after else changed
    merged = {
        name: after.get(name, "") if name in changed else text
        for name, text in before.items()
    }
    added = {name: after[name] for name in changed if name not in before}
    return merged | added


def _is_same(first: str | None, second: str | None) -> bool:
    """Return whether two sections are equal apart from surrounding whitespace."""
    return first is not None and second is not None and first.strip() == second.strip()


def _is_continuation(line: str) -> bool:
    """Return whether a line continues the value above it."""
    return bool(line.strip()) and line[0].isspace() and not is_comment(line)


def _find_first_line(lines: list[str], header: int) -> int:
    """Return the index of a section's first line.

    That is the first of the comments directly above its header, if any.
    """
    first = header
    while first and is_comment(lines[first - 1]):
        first -= 1
    return first


def _split_lines(text: str) -> list[str]:
    """Split a text at line feeds only, as the parser does, and keep them."""
    lines = text.split("\n")
    return [line + "\n" for line in lines[:-1]] + [line for line in lines[-1:] if line]
