"""The operators' document, whose head object decides which sections are in force.

The head changes only by conditional update, and each change increments its
revision.  If two teams change the document concurrently, the slower one starts
again from the other's revision.  So neither team undoes the other's work, and the
combined document is validated as a whole: two sections may each be valid alone but
not together.

The answer to an update can be lost.  Each change therefore carries an id, by which
its writer finds the change in the head or, if that was overwritten, in the audit
trail.

Store calls: a change takes a read of the head, a write for each new section and
three more calls.  Each daemon that follows the document ends one watch and reads
each new section.  The head takes some hundred bytes for each section.
"""

import uuid
from collections.abc import Callable, Iterable, Mapping

import logbook
import msgspec

from ..document.edits import (
    EditRefused,
    join_sections,
    replace_sections,
    set_key,
    split_sections,
)
from ..document.faults import Fault, Faults
from ..document.lines import SectionName
from ..document.parser import parse_document
from ..document.sections import Team
from .audit import AuditEntry, copy_entry, read_entry
from .errors import StoreError
from .headreader import BaseRevision, HeadReader, HeadState, NoDocument
from .headrecord import KIND, NAME, HeadRecord, make_record
from .objects import Absent, ObjectStore, Unavailable, Unchanged
from .records import NEW, RecordConflict, RecordWritten, put_record
from .texts import SectionTexts

log = logbook.Logger("head")

# A change fails after it lost this many races in a row.
MAX_RACES = 8

# Until a document names teams, any team may change any section.
ALL_SECTIONS = ("*",)


class Applied(msgspec.Struct, kw_only=True, frozen=True):
    """The change is in the document as of this revision."""

    revision: int


class ApplyRefused(msgspec.Struct, kw_only=True, frozen=True):
    """The change was refused, for this reason."""

    reason: str
    faults: tuple[Fault, ...] = ()


class KeyChange(msgspec.Struct, kw_only=True, frozen=True):
    """A new value for one key of a section."""

    section: SectionName
    key: str
    value: str


class _RaceLost(msgspec.Struct, kw_only=True, frozen=True):
    """Another change was written first."""


class _Edit(msgspec.Struct, kw_only=True, frozen=True):
    """Who makes a change, and the id by which the change is found again."""

    id: str
    team: str
    who: str
    at: float


_Compose = Callable[[BaseRevision], Mapping[SectionName, str] | Applied | ApplyRefused]


class DocumentHead:
    """Read, follow and change the document."""

    __slots__ = ("_reader", "_store", "_texts")

    def __init__(self, *, store: ObjectStore) -> None:
        self._store = store
        self._texts = SectionTexts(store=store)
        self._reader = HeadReader(store=store, texts=self._texts)

    async def read(self) -> HeadState | NoDocument | Unavailable:
        """Return the newest revision."""
        return await self._reader.read()

    async def watch(
        self, *, known_version: int, timeout: float
    ) -> HeadState | NoDocument | Unchanged | Unavailable:
        """Wait until the head isn't at this version, and return the newest revision."""
        return await self._reader.watch(known_version=known_version, timeout=timeout)

    async def read_revision(self, *, revision: int) -> HeadState | Absent | Unavailable:
        """Return an earlier revision, by undoing the later changes one by one."""
        return await self._reader.read_revision(revision=revision)

    async def initialise(
        self, *, text: str, who: str, now: float
    ) -> Applied | ApplyRefused | Unavailable:
        """Store the first document, including its comments."""

        def compose(base: BaseRevision) -> Mapping[SectionName, str] | ApplyRefused:
            if base.version != NEW:
                return ApplyRefused(reason="there is a document already")
            return split_sections(text)

        edit = _Edit(id=uuid.uuid4().hex, team="", who=who, at=now)
        return await self._change(edit, compose)

    async def apply(
        self,
        *,
        team: str,
        patterns: Iterable[str],
        proposed: str,
        who: str,
        now: float,
    ) -> Applied | ApplyRefused | Unavailable:
        """Replace a team's sections that match the patterns.

        Applying a change that is already in force creates no revision.  After
        `Unavailable` with `maybe_written` it is safe to apply the change again.
        """
        patterns = tuple(patterns)

        def compose(
            base: BaseRevision,
        ) -> Mapping[SectionName, str] | Applied | ApplyRefused:
            return _replace(base, team, patterns, proposed)

        edit = _Edit(id=uuid.uuid4().hex, team=team, who=who, at=now)
        return await self._change(edit, compose)

    async def set_keys(
        self, *, team: str, changes: tuple[KeyChange, ...], who: str, now: float
    ) -> Applied | ApplyRefused | Unavailable:
        """Set single keys of sections and leave the rest unchanged.

        Another team may change the same section between an operator's read and
        write.  The keys are set in the text that is in force when the write takes
        effect, so the other change is kept.
        """
        patterns = tuple(str(change.section) for change in changes)

        def compose(
            base: BaseRevision,
        ) -> Mapping[SectionName, str] | Applied | ApplyRefused:
            text = base.text
            for change in changes:
                text = set_key(
                    text=text,
                    section=change.section,
                    key=change.key,
                    value=change.value,
                )
            return _replace(base, team, patterns, text)

        edit = _Edit(id=uuid.uuid4().hex, team=team, who=who, at=now)
        return await self._change(edit, compose)

    async def audit(self, *, limit: int) -> tuple[AuditEntry, ...] | Unavailable:
        """Return the newest changes, newest first."""
        return await self._reader.read_trail(limit=limit)

    async def _change(
        self, edit: _Edit, compose: _Compose
    ) -> Applied | ApplyRefused | Unavailable:
        """Apply a change to the newest revision, retrying after lost races."""
        for _ in range(MAX_RACES):
            base = await self._reader.read_base()
            if isinstance(base, Unavailable):
                return base
            sections = compose(base)
            if isinstance(sections, Applied | ApplyRefused):
                return sections
            parsed = parse_document(text=join_sections(sections))
            if isinstance(parsed, Faults):
                return ApplyRefused(reason="faults", faults=parsed.faults)
            try:
                result = await self._write(base, sections, edit)
            except StoreError as error:
                return ApplyRefused(reason=str(error))
            if not isinstance(result, _RaceLost):
                return result
        return Unavailable(reason="the document keeps changing")

    async def _write(
        self, base: BaseRevision, sections: Mapping[SectionName, str], edit: _Edit
    ) -> Applied | Unavailable | _RaceLost:
        """Write the sections, then the head that puts them in force."""
        record = make_record(
            before=base.record,
            sections=sections,
            edit=edit.id,
            team=edit.team,
            who=edit.who,
            at=edit.at,
        )
        failed = await self._texts.write(texts=sections.values())
        # The write replaces the audit entry in the head, so that entry must be in
        # the trail first.  Otherwise the record of that change would be lost.
        if not failed and base.record.change:
            failed = await copy_entry(store=self._store, entry=base.record.change)
        if failed:
            return Unavailable(reason=failed.reason, retry_after=failed.retry_after)
        result = await put_record(
            store=self._store,
            kind=KIND,
            name=NAME,
            record=record,
            version=base.version,
            is_own=record.__eq__,
        )
        match result:
            case RecordWritten():
                return await self._conclude(record)
            case Unavailable():
                return result
            case RecordConflict():
                return await self._find_edit(record)

    async def _conclude(self, record: HeadRecord) -> Applied:
        """Copy the audit entry of a change that was just made.

        If that fails, the next change or the next call of `audit` copies it.
        """
        log.info("head: revision {} by {}", record.revision, record.change.who)
        await copy_entry(store=self._store, entry=record.change)
        return Applied(revision=record.revision)

    async def _find_edit(self, record: HeadRecord) -> Applied | Unavailable | _RaceLost:
        """Return whether a change took effect before another change replaced it.

        That happens when the answer to the write is lost and the next change
        follows at once.  The writer of that change copied this entry first.
        """
        entry = await read_entry(store=self._store, revision=record.revision)
        match entry:
            case AuditEntry(edit=edit) if edit == record.change.edit:
                return Applied(revision=record.revision)
            case Unavailable(reason=reason):
                return Unavailable(reason=reason, maybe_written=True)
        return _RaceLost()


def _replace(
    base: BaseRevision, team: str, patterns: tuple[str, ...], proposed: str
) -> Mapping[SectionName, str] | Applied | ApplyRefused:
    """Return the sections with those of a team replaced, if the team may edit them."""
    if base.teams is None:
        known = Team(name=team, sections=ALL_SECTIONS)
    else:
        known = base.teams.get(team)
    if known is None:
        return ApplyRefused(reason=f"there is no team {team}")
    edit = replace_sections(
        current=base.text, proposed=proposed, patterns=patterns, team=known
    )
    if isinstance(edit, EditRefused):
        return ApplyRefused(reason=f"{edit.reason}: {', '.join(edit.sections)}")
    if not edit.changed:
        return Applied(revision=base.record.revision)
    return split_sections(edit.text)
