"""The head record, which decides which document is in force, and its history."""

import itertools
from collections.abc import Mapping

import msgspec

from ..document.lines import SectionName
from .audit import AuditEntry, Undo
from .texts import digest_text

KIND = "document"
NAME = "head"


class SectionDigest(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """A section's kind and name, and the digest of its text."""

    name: tuple[str, str]
    digest: str


class HeadRecord(msgspec.Struct, kw_only=True, frozen=True):
    """The sections of one revision, in order, and the change that created it."""

    revision: int = 0
    sections: tuple[SectionDigest, ...] = ()
    change: AuditEntry | None = None


def make_record(
    *,
    before: HeadRecord,
    sections: Mapping[SectionName, str],
    edit: str,
    team: str,
    who: str,
    at: float,
) -> HeadRecord:
    """Return the record of the revision that follows `before`, with these sections."""
    after = tuple(
        SectionDigest(name=(name.kind, name.name), digest=digest_text(text))
        for name, text in sections.items()
    )
    change = AuditEntry(
        revision=before.revision + 1,
        from_revision=before.revision,
        edit=edit,
        team=team,
        who=who,
        at=at,
        changed=_find_changed(before.sections, after),
        undo=_find_undo(before.sections, after),
    )
    return HeadRecord(revision=change.revision, sections=after, change=change)


def undo_change(*, record: HeadRecord, change: AuditEntry) -> HeadRecord:
    """Return the record of the revision that the change started from."""
    old = {undo.name: undo.digest for undo in change.undo}
    changed = set(change.changed)
    names = {section.name for section in record.sections}
    sections = [
        SectionDigest(name=section.name, digest=old.get(section.name, section.digest))
        for section in record.sections
        if section.name in old or _join_name(section.name) not in changed
    ]
    for undo in change.undo:
        if undo.name not in names:
            restored = SectionDigest(name=undo.name, digest=undo.digest)
            sections.insert(undo.position, restored)
    return HeadRecord(revision=change.from_revision, sections=tuple(sections))


def _find_changed(
    before: tuple[SectionDigest, ...], after: tuple[SectionDigest, ...]
) -> tuple[str, ...]:
    old = {section.name: section.digest for section in before}
    new = {section.name: section.digest for section in after}
    return tuple(
        _join_name(name)
        for name in dict.fromkeys(itertools.chain(old, new))
        if old.get(name) != new.get(name)
    )


def _find_undo(
    before: tuple[SectionDigest, ...], after: tuple[SectionDigest, ...]
) -> tuple[Undo, ...]:
    new = {section.name: section.digest for section in after}
    return tuple(
        Undo(name=section.name, digest=section.digest, position=position)
        for position, section in enumerate(before)
        if new.get(section.name) != section.digest
    )


def _join_name(name: tuple[str, str]) -> str:
    return str(SectionName(*name))
