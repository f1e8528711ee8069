"""The reading of sections by a table of what each may hold."""

from collections.abc import Iterable

import msgspec

from .checks import Invalid, convert_text, describe_check
from .faults import HIDDEN, Fault
from .lines import Entry, RawSection, SectionName, hide_secret
from .schema import Key, Need, SectionKind, find_default


class Reading(msgspec.Struct, kw_only=True):
    """The values of one section, its entries by key, and its faults."""

    section: RawSection
    values: dict[str, object] = {}
    entries: dict[str, Entry] = {}
    faults: list[Fault] = []


def read_sections(
    sections: list[RawSection], kinds: Iterable[SectionKind], *, file: str
) -> tuple[dict[SectionName, Reading], list[Fault]]:
    """Return the known sections of a text and the faults of the others."""
    known = {kind.kind: kind for kind in kinds}
    headers = ", ".join(f"[{kind.header}]" for kind in known.values())
    readings: dict[SectionName, Reading] = {}
    faults = []
    for section in sections:
        kind = known.get(section.name.kind)
        first = readings.get(section.name)
        if kind and not first:
            readings[section.name] = read_section(section, kind, file=file)
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
    return readings, faults


def read_section(section: RawSection, kind: SectionKind, *, file: str) -> Reading:
    """Check a section's name and every key of it."""
    reading = Reading(section=section)
    name = section.name.name
    if isinstance(convert_text(kind.name, name), Invalid):
        reading.faults.append(
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
    for entry in section.entries:
        _read_entry(reading, keys, entry, file)
    _check_required(reading, kind, file)
    return reading


def make_fault(reading: Reading, *, file: str, key: str, allowed: str) -> Fault:
    """Return a fault of a key, at its line or at the section's header."""
    section = reading.section
    entry = reading.entries.get(key)
    missing = section.name.name if key == "name" else ""
    return Fault(
        file=file,
        line=entry.line if entry else section.line,
        section=str(section.name),
        key=key,
        value=hide_secret(key, entry.value) if entry else missing,
        allowed=allowed,
    )


def _read_entry(
    reading: Reading, keys: dict[str, Key], entry: Entry, file: str
) -> None:
    key = keys.get(entry.key)
    allowed = ""
    value = None
    if key is None:
        allowed = "unknown key; allowed: " + ", ".join(keys)
    elif entry.key in reading.entries:
        allowed = f"allowed once; first on line {reading.entries[entry.key].line}"
    else:
        reading.entries[entry.key] = entry
        value = convert_text(key.check, entry.value)
        if isinstance(value, Invalid):
            allowed = value.allowed
    if not allowed:
        reading.values[entry.key] = value
        return
    hidden = HIDDEN if key and key.secret else hide_secret(entry.key, entry.value)
    reading.faults.append(
        Fault(
            file=file,
            line=entry.line,
            section=str(reading.section.name),
            key=entry.key,
            value=hidden,
            allowed=allowed,
        )
    )


def _check_required(reading: Reading, kind: SectionKind, file: str) -> None:
    missing = (
        key
        for key in kind.keys
        if find_default(kind, key) is Need.REQUIRED and key.name not in reading.entries
    )
    reading.faults.extend(
        make_fault(
            reading,
            file=file,
            key=key.name,
            allowed=f"required: {describe_check(key.check)}",
        )
        for key in missing
    )
