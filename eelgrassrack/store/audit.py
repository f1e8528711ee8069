"""The audit trail: one entry for each revision of the document.

An entry is written inside the document's head, by the same update that
makes the change, and copied out afterwards.  The copy may fail, or its
writer may be lost before it.  So whoever changes the head next first sees
to the copy of the entry that it is about to overwrite, and no change is
ever without one.
"""

import asyncio
import itertools
from collections.abc import Iterable

import msgspec

from .objects import Absent, ObjectStore, Unavailable
from .records import (
    NEW,
    RecordConflict,
    RecordWritten,
    VersionedRecord,
    put_record,
    read_record,
)

KIND = "audit"

# Entries are read in groups of this size.
READ_AT_ONCE = 32


class Undo(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """What a changed section was before, and its place among the others."""

    name: tuple[str, str]
    digest: str
    place: int


class AuditEntry(msgspec.Struct, kw_only=True, frozen=True):
    """Who changed what, and when (seconds since the epoch).

    `edit` names the change itself, whatever revision it became.  `changed`
    holds section names; those without an `undo` are new.
    """

    revision: int
    from_revision: int
    edit: str
    team: str
    who: str
    at: float
    changed: tuple[str, ...]
    undo: tuple[Undo, ...] = ()


def entry_name(revision: int) -> str:
    """Return the name of a revision's entry; names sort by revision."""
    return f"{revision:012d}"


async def copy_entry(*, store: ObjectStore, entry: AuditEntry) -> Unavailable | None:
    """Copy an entry out of the head, unless that was done before."""
    result = await put_record(
        store=store,
        kind=KIND,
        name=entry_name(entry.revision),
        record=entry,
        version=NEW,
        is_own=entry.__eq__,
    )
    match result:
        case Unavailable():
            return result
        case RecordWritten():
            return None
        case RecordConflict():
            return Unavailable(reason=f"audit entry {entry.revision} is another's")


async def read_entry(
    *, store: ObjectStore, revision: int
) -> AuditEntry | Absent | Unavailable:
    """Return the entry of a revision."""
    found = await read_record(
        store=store, kind=KIND, name=entry_name(revision), record=AuditEntry
    )
    return found.record if isinstance(found, VersionedRecord) else found


async def read_entries(
    *, store: ObjectStore, revisions: Iterable[int]
) -> tuple[AuditEntry, ...] | Unavailable:
    """Return the entries of some revisions, in the same order."""
    entries: list[AuditEntry] = []
    revisions = iter(revisions)
    while group := tuple(itertools.islice(revisions, READ_AT_ONCE)):
        found = await asyncio.gather(
            *(read_entry(store=store, revision=revision) for revision in group)
        )
        for revision, entry in zip(group, found, strict=True):
            match entry:
                case AuditEntry():
                    entries.append(entry)
                case Unavailable():
                    return entry
                case Absent():
                    return Unavailable(reason=f"audit entry {revision} is missing")
    return tuple(entries)
