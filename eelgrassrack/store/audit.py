"""The audit trail: one entry for each revision of the document.

The update that makes a change also writes its audit entry into the document's
head.  The entry is copied to an object of its own afterwards.  Because that copy
may fail, or its writer may crash first, the next change copies the entry again
before it overwrites the head.  So every change has its entry in the trail.
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

# How many entries are read concurrently.
READ_CONCURRENCY = 32


class Undo(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """The earlier text (by digest) and position of a section that a change replaced."""

    name: tuple[str, str]
    digest: str
    position: int


class AuditEntry(msgspec.Struct, kw_only=True, frozen=True):
    """Who changed which sections, and when (`at`, in seconds since the epoch).

    `edit` is a unique id of the change; its writer finds the change by it after a
    lost answer.  `changed` holds section names.  A section without an `undo` was
    added by the change.
    """

    revision: int
    from_revision: int
    edit: str
    team: str
    who: str
    at: float
    changed: tuple[str, ...]
    undo: tuple[Undo, ...] = ()


def make_entry_name(revision: int) -> str:
    """Return the object name of a revision's entry; names sort by revision."""
    return f"{revision:012d}"


async def copy_entry(*, store: ObjectStore, entry: AuditEntry) -> Unavailable | None:
    """Copy an entry from the head into the trail, unless the copy exists."""
    result = await put_record(
        store=store,
        kind=KIND,
        name=make_entry_name(entry.revision),
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
        store=store, kind=KIND, name=make_entry_name(revision), record=AuditEntry
    )
    return found.record if isinstance(found, VersionedRecord) else found


async def read_entries(
    *, store: ObjectStore, revisions: Iterable[int]
) -> tuple[AuditEntry, ...] | Unavailable:
    """Return the entries of these revisions, in the given order."""
    entries: list[AuditEntry] = []
    revisions = iter(revisions)
    while group := tuple(itertools.islice(revisions, READ_CONCURRENCY)):
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
