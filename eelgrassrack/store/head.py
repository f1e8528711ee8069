"""The operators' document: one head that decides which sections count.

The head is changed by conditional update only, and its revision rises by
one with each change.  Two teams that change the document at once race for
the head; the slower one starts anew from the other's document, so that
neither undoes the other's work and the joined document is checked whole:
two sections may each be valid alone and not together.

The answer to an update can be lost.  Each change carries an id, by which
its writer finds it again in the head or, overwritten since, in the audit
trail.

Store calls: for a change a read of the head, a write for each new section
and three more; for each daemon that follows, the end of a watch and a read
for each new section.  The head takes some hundred bytes for each section.
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
from .headreader import Base, HeadReader, HeadState, NoDocument
from .headrecord import KIND, NAME, HeadRecord, make_record
from .objects import Absent, ObjectStore, Unavailable, Unchanged
from .records import NEW, RecordConflict, RecordWritten, put_record
from .texts import SectionTexts

log = logbook.Logger("head")

# A change that lost this many races in a row is given up.
RACES = 8

# The first document names the teams that may change it.
EVERY_SECTION = ("*",)


class Applied(msgspec.Struct, kw_only=True, frozen=True):
    """The change is in the document since this revision."""

    revision: int


class ApplyRefused(msgspec.Struct, kw_only=True, frozen=True):
    """The change was not made, and why."""

    reason: str
    faults: tuple[Fault, ...] = ()


class KeyChange(msgspec.Struct, kw_only=True, frozen=True):
    """One key of a section and the value it is to have."""

    section: SectionName
    key: str
    value: str


class _Lost(msgspec.Struct, kw_only=True, frozen=True):
    """Another change came first."""


class _Edit(msgspec.Struct, kw_only=True, frozen=True):
    """Who makes a change, with the id by which it is found again."""

    id: str
    team: str
    who: str
    at: float


_Compose = Callable[[Base], Mapping[SectionName, str] | Applied | ApplyRefused]


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
        """Return the newest revision once the head isn't at this version."""
        return await self._reader.watch(known_version=known_version, timeout=timeout)

    async def read_revision(self, *, revision: int) -> HeadState | Absent | Unavailable:
        """Return an earlier revision, going back change by change."""
        return await self._reader.read_revision(revision=revision)

    async def initialise(
        self, *, text: str, who: str, now: float
    ) -> Applied | ApplyRefused | Unavailable:
        """Store the first document, comments and all."""

        def compose(base: Base) -> Mapping[SectionName, str] | ApplyRefused:
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

        Applied again, a change that is in force already makes no revision.
        After `Unavailable` with `maybe_written` it is safe to apply it
        again.
        """
        patterns = tuple(patterns)

        def compose(
            base: Base,
        ) -> Mapping[SectionName, str] | Applied | ApplyRefused:
            return _replace(base, team, patterns, proposed)

        edit = _Edit(id=uuid.uuid4().hex, team=team, who=who, at=now)
        return await self._change(edit, compose)

    async def set_keys(
        self, *, team: str, changes: tuple[KeyChange, ...], who: str, now: float
    ) -> Applied | ApplyRefused | Unavailable:
        """Set single keys of sections and leave the rest as it stands.

        Another team may change the same section between an operator's
        reading and writing.  The keys are set in the text that is in force
        when the write takes effect, so that the other change stays.
        """
        patterns = tuple(str(change.section) for change in changes)

        def compose(
            base: Base,
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
        """Make a change on the newest revision, however often it is overtaken."""
        for _ in range(RACES):
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
            if not isinstance(result, _Lost):
                return result
        return Unavailable(reason="the document keeps changing")

    async def _write(
        self, base: Base, sections: Mapping[SectionName, str], edit: _Edit
    ) -> Applied | Unavailable | _Lost:
        """Write the sections, then the head that makes them count."""
        record = make_record(
            before=base.record,
            sections=sections,
            edit=edit.id,
            team=edit.team,
            who=edit.who,
            at=edit.at,
        )
        failed = await self._texts.write(texts=sections.values())
        # The entry of the revision that is about to be overwritten must be
        # in the trail before; afterwards nobody would know of that change.
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
        """Copy the entry of a change that was just made.

        Should that fail, the next change or `audit` does it.
        """
        log.info("head: revision {} by {}", record.revision, record.change.who)
        await copy_entry(store=self._store, entry=record.change)
        return Applied(revision=record.revision)

    async def _find_edit(self, record: HeadRecord) -> Applied | Unavailable | _Lost:
        """Tell whether a change was made and overwritten before it was seen.

        Its answer was lost then, and the next change came right after.
        Whoever made that one has copied this one's entry first.
        """
        entry = await read_entry(store=self._store, revision=record.revision)
        match entry:
            case AuditEntry(edit=edit) if edit == record.change.edit:
                return Applied(revision=record.revision)
            case Unavailable(reason=reason):
                return Unavailable(reason=reason, maybe_written=True)
        return _Lost()


def _replace(
    base: Base, team: str, patterns: tuple[str, ...], proposed: str
) -> Mapping[SectionName, str] | Applied | ApplyRefused:
    """Return the sections with a team's replaced, if it may do that."""
    if base.teams is None:
        known = Team(name=team, sections=EVERY_SECTION)
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
