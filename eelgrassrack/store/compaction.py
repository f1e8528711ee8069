"""Compaction of old ledgers: exact totals replace their pages.

Pages grow by 110 bytes with each attempt and would fill the platform's service.
They serve two purposes: to find out whether a bill that is handed over late was
already billed, and to detect repeated attempts.  Neither is needed after a few
days.  Then the exact totals go into the ledger's head and the pages are removed.

A ledger is sealed when it hasn't changed for `IDLE_SECONDS`, which never happens
to an entry's current ledger.  It is compacted `RETENTION_SECONDS` after that.  A
bill that is handed over later can't be told from one that was already billed, and
is refused.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

import logbook
import msgspec

from .objects import Absent, ObjectStore, Unavailable
from .pages import HEAD_KIND, PAGE_KIND, LedgerHead, Page, Total, make_page_name
from .records import RecordWritten, VersionedRecord, put_record, read_record
from .recovery import seal_ledger
from .sweeping import Cursor, Swept
from .totals import LineSummary, read_lines

log = logbook.Logger("folding")

DAY_SECONDS = 24 * 3600.0
IDLE_SECONDS = DAY_SECONDS
RETENTION_SECONDS = 7 * DAY_SECONDS

# At ten pages a second, a long ledger is compacted within half a minute.
PAUSE_SECONDS = 0.1


class LedgerCompactor:
    """Seal and compact old ledgers, at most one in a sweep.

    `clock` is the wall clock.  `pause` is awaited before each call for a page, so
    that compaction leaves the daemon's call budget to callers' requests.
    """

    __slots__ = ("_clock", "_cursor", "_pause", "_store")

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Callable[[], float] = time.time,
        pause: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._pause = pause or _pause
        self._store = store
        self._clock = clock
        self._cursor = Cursor(store=store, kind=HEAD_KIND, digits=0)

    async def sweep(self, *, limit: int) -> Swept | Unavailable:
        """Check at most `limit` ledgers, and stop after one was compacted."""
        names = await self._cursor.read_names(limit=limit)
        if isinstance(names, Unavailable):
            return names
        for name in names:
            result = await self._process(name)
            if isinstance(result, Unavailable):
                return result
            if result:
                return Swept(looked_at=len(names), removed=1)
        return Swept(looked_at=len(names), removed=0)

    async def _process(self, incarnation: str) -> bool | Unavailable:
        """Do the next step for one ledger; return whether it was compacted."""
        found = await read_record(
            store=self._store, kind=HEAD_KIND, name=incarnation, record=LedgerHead
        )
        match found:
            case Absent():
                return False
            case Unavailable():
                return found
            case VersionedRecord(record=head, version=version):
                age = self._clock() - head.changed_at
        if head.compacted:
            return bool(head.pages) and await self._remove_pages(
                incarnation, head, version
            )
        if head.sealed and age > RETENTION_SECONDS:
            return await self._compact(incarnation, head, version)
        if not head.sealed and age > IDLE_SECONDS:
            sealed = await seal_ledger(
                store=self._store, incarnation=incarnation, clock=self._clock
            )
            return sealed if isinstance(sealed, Unavailable) else False
        return False

    async def _compact(
        self, incarnation: str, head: LedgerHead, version: int
    ) -> bool | Unavailable:
        """Store the exact totals in the head, then remove the pages."""
        lines = LineSummary()
        for number in range(head.pages):
            await self._pause()
            failed = await read_lines(
                store=self._store,
                incarnation=incarnation,
                pages=range(number, number + 1),
                lines=lines,
            )
            if failed:
                return failed
        totals = tuple(
            Total(**msgspec.structs.asdict(bills)) for bills in lines.sum_up()
        )
        compacted = msgspec.structs.replace(head, compacted=True, totals=totals)
        written = await self._replace(incarnation, compacted, version)
        if not isinstance(written, RecordWritten):
            return written
        log.info("folding: compacted ledger {}: {} pages", incarnation, head.pages)
        return await self._remove_pages(incarnation, compacted, written.version)

    async def _remove_pages(
        self, incarnation: str, head: LedgerHead, version: int
    ) -> bool | Unavailable:
        """Remove the pages of a compacted ledger, then set their number to zero.

        If the process is lost in between, the head still holds the number of
        pages, and a later sweep continues from there.
        """
        for number in range(head.pages):
            await self._pause()
            name = make_page_name(incarnation=incarnation, number=number)
            found = await read_record(
                store=self._store, kind=PAGE_KIND, name=name, record=Page
            )
            match found:
                case Unavailable():
                    return found
                case VersionedRecord(version=at):
                    result = await self._store.remove(
                        kind=PAGE_KIND, name=name, version=at
                    )
                    if isinstance(result, Unavailable):
                        return result
        cleared = msgspec.structs.replace(head, pages=0)
        written = await self._replace(incarnation, cleared, version)
        return True if isinstance(written, RecordWritten) else written

    async def _replace(
        self, incarnation: str, head: LedgerHead, version: int
    ) -> RecordWritten | Unavailable | bool:
        """Write a head; return False if another process changed the ledger."""
        result = await put_record(
            store=self._store,
            kind=HEAD_KIND,
            name=incarnation,
            record=head,
            version=version,
            is_own=head.__eq__,
        )
        return result if isinstance(result, RecordWritten | Unavailable) else False


async def _pause() -> None:
    await asyncio.sleep(PAUSE_SECONDS)
