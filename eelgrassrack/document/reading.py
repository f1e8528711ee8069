"""Reading and checking of sections by the tables of their keys."""

from collections.abc import Iterable

import msgspec

from .checks import Invalid, convert_text, describe_check
from .faults import HIDDEN, Fault
from .lines import KeyValue, RawSection, SectionName, hide_secret
from .schema import Key, NoDefault, SectionKind, find_default


class ParsedSection(msgspec.Struct, kw_only=True):
    """The converted values of one section, its key-value pairs and faults."""

    section: RawSection
    values: dict[str, object] = {}
    pairs: dict[str, KeyValue] = {}
    faults: list[Fault] = []


def read_sections(
    sections: list[RawSection], kinds: Iterable[SectionKind], *, file: str
) -> tuple[dict[SectionName, ParsedSection], list[Fault]]:
    """Return the sections of known kinds, and faults for all other sections.

    Of duplicate sections the first is returned.
    """
    known = {kind.kind: kind for kind in kinds}
    headers = ", ".join(f"[{kind.header}]" for kind in known.values())
    parsed_sections: dict[SectionName, ParsedSection] = {}
    faults = []
    for section in sections:
        kind = known.get(section.name.kind)
        first = parsed_sections.get(section.name)
        if kind and not first:
            parsed_sections[section.name] = read_section(section, kind, file=file)
            continue
        allowed = (
            f"allowed once; first on line {first.section.line}"
            if first
            else f"unknown section; allowed: {headers}"
        )
        faults.append(
            Fault(
                file=file,
                line=section.line,
                section=str(section.name),
                allowed=allowed,
            )
        )
    return parsed_sections, faults


def read_section(section: RawSection, kind: SectionKind, *, file: str) -> ParsedSection:
    """Convert the values of a section and check its name and keys."""
    parsed = ParsedSection(section=section)
    name = section.name.name
    if isinstance(convert_text(kind.name, name), Invalid):
        parsed.faults.append(
            Fault(
                file=file,
                line=section.line,
                section=str(section.name),
                key="name",
                value=name,
                allowed=kind.name.allowed,
            )
        )
    keys = {key.name: key for key in kind.keys}
    for pair in section.pairs:
        _read_pair(parsed, keys, pair, file)
    _check_required(parsed, kind, file)
    return parsed


def make_fault(parsed: ParsedSection, *, file: str, key: str, allowed: str) -> Fault:
    """Return a fault of a key, at its line or, without one, at the header."""
    section = parsed.section
    pair = parsed.pairs.get(key)
    missing = section.name.name if key == "name" else ""
    return Fault(
        file=file,
        line=pair.line if pair else section.line,
        section=str(section.name),
        key=key,
        value=hide_secret(key, pair.value) if pair else missing,
        allowed=allowed,
    )


def _read_pair(
    parsed: ParsedSection, keys: dict[str, Key], pair: KeyValue, file: str
) -> None:
    """Add the value of one key to a section, or its fault."""
    key = keys.get(pair.key)
    allowed = ""
    value = None
    if key is None:
        allowed = "unknown key; allowed: " + ", ".join(keys)
    elif pair.key in parsed.pairs:
        allowed = f"allowed once; first on line {parsed.pairs[pair.key].line}"
    else:
        parsed.pairs[pair.key] = pair
        value = convert_text(key.check, pair.value)
        if isinstance(value, Invalid):
            allowed = value.allowed
    if not allowed:
        parsed.values[pair.key] = value
        return
    hidden = HIDDEN if key and key.secret else hide_secret(pair.key, pair.value)
    parsed.faults.append(
        Fault(
            file=file,
            line=pair.line,
            section=str(parsed.section.name),
            key=pair.key,
            value=hidden,
            allowed=allowed,
        )
    )


def _check_required(parsed: ParsedSection, kind: SectionKind, file: str) -> None:
    """Add a fault for each required key that is missing."""
    missing = (
        key
        for key in kind.keys
        if find_default(kind, key) is NoDefault.REQUIRED
        and key.name not in parsed.pairs
    )
    parsed.faults.extend(
        make_fault(
            parsed,
            file=file,
            key=key.name,
            allowed=f"required: {describe_check(key.check)}",
        )
        for key in missing
    )
