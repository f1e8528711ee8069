"""Reading of the operators' document, its earlier revisions and the audit trail."""

from collections.abc import Mapping

import logbook
import msgspec

from ..document.builder import SnapshotBuilder
from ..document.faults import Faults
from ..document.parser import parse_document
from ..document.sections import Team
from ..document.snapshot import Snapshot
from .audit import AuditEntry, copy_entry, read_entries
from .headrecord import KIND, NAME, HeadRecord, undo_change
from .objects import Absent, Found, ObjectStore, Unavailable, Unchanged
from .records import NEW, VersionedRecord, decode_record, read_record
from .texts import SectionTexts

log = logbook.Logger("head")


class HeadState(msgspec.Struct, kw_only=True, frozen=True):
    """One revision of the document; `version` is the version of the head object."""

    revision: int
    text: str
    snapshot: Snapshot
    version: int


class NoDocument(msgspec.Struct, kw_only=True, frozen=True):
    """No document has been stored yet."""


class BaseRevision(msgspec.Struct, kw_only=True, frozen=True):
    """The revision that a change starts from; `teams` is None without a document."""

    record: HeadRecord
    text: str
    teams: Mapping[str, Team] | None
    version: int


class HeadReader:
    """Read and follow the document."""

    __slots__ = ("_builder", "_store", "_texts")

    def __init__(self, *, store: ObjectStore, texts: SectionTexts) -> None:
        self._builder = SnapshotBuilder()
        self._store = store
        self._texts = texts

    async def read(self) -> HeadState | NoDocument | Unavailable:
        """Return the newest revision."""
        return await self._load(await self._store.read(kind=KIND, name=NAME))

    async def watch(
        self, *, known_version: int, timeout: float
    ) -> HeadState | NoDocument | Unchanged | Unavailable:
        """Wait until the head isn't at this version, and return the newest revision."""
        found = await self._store.watch(
            kind=KIND, name=NAME, version=known_version, timeout=timeout
        )
        if isinstance(found, Unchanged):
            return found
        return await self._load(found)

    async def read_revision(self, *, revision: int) -> HeadState | Absent | Unavailable:
        """Return an earlier revision, by undoing the later changes one by one."""
        found = await self._read_record()
        if not isinstance(found, VersionedRecord):
            return found
        record = found.record
        if not 0 < revision <= record.revision:
            return Absent()
        trail = await self._read_trail(record, down_to=revision + 1)
        if isinstance(trail, Unavailable):
            return trail
        for change in trail:
            record = undo_change(record=record, change=change)
        return await self._join(record, found.version)

    async def read_trail(self, *, limit: int) -> tuple[AuditEntry, ...] | Unavailable:
        """Return the newest changes, newest first."""
        match await self._read_record():
            case Absent():
                return ()
            case Unavailable() as unavailable:
                return unavailable
            case VersionedRecord(record=record):
                pass
        oldest = max(1, record.revision - limit + 1)
        trail = await self._read_trail(record, down_to=oldest)
        return trail if isinstance(trail, Unavailable) else trail[:limit]

    async def read_base(self) -> BaseRevision | Unavailable:
        """Return the revision that a change starts from.

        If no document exists yet, that is an empty record.
        """
        match await self._read_record():
            case Absent():
                return BaseRevision(
                    record=HeadRecord(), text="", teams=None, version=NEW
                )
            case Unavailable() as unavailable:
                return unavailable
            case VersionedRecord(record=record, version=version):
                state = await self._join(record, version)
        if isinstance(state, Unavailable):
            return state
        return BaseRevision(
            record=record,
            text=state.text,
            teams=state.snapshot.teams,
            version=version,
        )

    async def _read_record(self) -> VersionedRecord[HeadRecord] | Absent | Unavailable:
        return await read_record(
            store=self._store, kind=KIND, name=NAME, record=HeadRecord
        )

    async def _load(
        self, found: Found | Absent | Unavailable
    ) -> HeadState | NoDocument | Unavailable:
        match found:
            case Absent():
                return NoDocument()
            case Unavailable():
                return found
        record = decode_record(found.body, HeadRecord)
        if record is None:
            return Unavailable(reason="the document's head can't be read")
        return await self._join(record, found.version)

    async def _join(self, record: HeadRecord, version: int) -> HeadState | Unavailable:
        """Read the sections of a revision and parse them as one document."""
        digests = [section.digest for section in record.sections]
        texts = await self._texts.read(digests=digests)
        if isinstance(texts, Unavailable):
            return texts
        ordered = [texts[digest] for digest in digests]
        text = "".join(ordered)
        snapshot = self._builder.build(texts=ordered, revision=record.revision)
        if snapshot is None:
            snapshot = parse_document(text=text, revision=record.revision)
        if isinstance(snapshot, Faults):
            # Documents are checked before they are stored, so another release
            # stored this one.  The revision known before stays in force.
            log.error("head: revision {}: {}", record.revision, snapshot)
            return Unavailable(reason=f"revision {record.revision} has faults")
        return HeadState(
            revision=record.revision, text=text, snapshot=snapshot, version=version
        )

    async def _read_trail(
        self, record: HeadRecord, *, down_to: int
    ) -> tuple[AuditEntry, ...] | Unavailable:
        """Return the changes from the newest down to that of revision `down_to`."""
        if down_to > record.revision or record.change is None:
            return ()
        failed = await copy_entry(store=self._store, entry=record.change)
        if failed:
            return failed
        older = await read_entries(
            store=self._store, revisions=range(record.revision - 1, down_to - 1, -1)
        )
        return older if isinstance(older, Unavailable) else (record.change, *older)
