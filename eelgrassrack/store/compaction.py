"""Folding of old ledgers: totals in place of pages.

Pages grow by 110 bytes with each attempt and would fill the platform's
service.  They are needed for two things: to find out whether a bill that
is handed over late was billed, and to hold attempts against each other.
Both are over within days.  Then the exact totals go into the ledger's
head, and its pages are removed.

A ledger is first sealed when it hasn't changed for `IDLE_SECONDS`, which
no entry's current ledger reaches, and folded `KEPT_SECONDS` after it was
sealed.  A bill that is handed over later than that can't be told from one
that was billed, and is refused.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

import logbook
import msgspec

from .objects import Absent, ObjectStore, Unavailable
from .pages import HEAD_KIND, PAGE_KIND, LedgerHead, Page, Total, page_name
from .records import RecordWritten, VersionedRecord, put_record, read_record
from .recovery import seal_ledger
from .sweeping import Cursor, Swept
from .totals import Lines, read_lines

log = logbook.Logger("folding")

DAY_SECONDS = 24 * 3600.0
IDLE_SECONDS = DAY_SECONDS
KEPT_SECONDS = 7 * DAY_SECONDS

# Ten pages a second: a long ledger is folded within half a minute.
REST_SECONDS = 0.1


class LedgerCompactor:
    """Seal and fold old ledgers, at most one in a sweep.

    `clock` is the wall clock; `rest` is awaited between calls for pages,
    so that folding leaves the daemon's call budget to callers' requests.
    """

    __slots__ = ("_clock", "_cursor", "_rest", "_store")

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Callable[[], float] = time.time,
        rest: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._rest = rest or _rest
        self._store = store
        self._clock = clock
        self._cursor = Cursor(store=store, kind=HEAD_KIND, digits=0)

    async def sweep(self, *, limit: int) -> Swept | Unavailable:
        """Look at `limit` ledgers at most and fold those that are due."""
        names = await self._cursor.read_names(limit=limit)
        if isinstance(names, Unavailable):
            return names
        for name in names:
            result = await self._treat(name)
            if isinstance(result, Unavailable):
                return result
            if result:
                return Swept(looked_at=len(names), removed=1)
        return Swept(looked_at=len(names), removed=0)

    async def _treat(self, incarnation: str) -> bool | Unavailable:
        """Do what is due for one ledger; tell whether it was folded."""
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
        if head.folded:
            return bool(head.pages) and await self._clear(incarnation, head, version)
        if head.sealed and age > KEPT_SECONDS:
            return await self._fold(incarnation, head, version)
        if not head.sealed and age > IDLE_SECONDS:
            sealed = await seal_ledger(
                store=self._store, incarnation=incarnation, clock=self._clock
            )
            return sealed if isinstance(sealed, Unavailable) else False
        return False

    async def _fold(
        self, incarnation: str, head: LedgerHead, version: int
    ) -> bool | Unavailable:
        """Put the exact totals into the head, then remove the pages."""
        lines = Lines()
        for number in range(head.pages):
            await self._rest()
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
        folded = msgspec.structs.replace(head, folded=True, totals=totals)
        written = await self._replace(incarnation, folded, version)
        if not isinstance(written, RecordWritten):
            return written
        log.info("folding: folded: {}: {} pages", incarnation, head.pages)
        return await self._clear(incarnation, folded, written.version)

    async def _clear(
        self, incarnation: str, head: LedgerHead, version: int
    ) -> bool | Unavailable:
        """Remove the pages of a folded ledger, then note that they are gone.

        Whoever is lost in between leaves the number of pages in the head,
        and a later sweep goes on from there.
        """
        for number in range(head.pages):
            await self._rest()
            name = page_name(incarnation=incarnation, number=number)
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
        """Write a head; false when somebody else treated the ledger."""
        result = await put_record(
            store=self._store,
            kind=HEAD_KIND,
            name=incarnation,
            record=head,
            version=version,
            is_own=head.__eq__,
        )
        return result if isinstance(result, RecordWritten | Unavailable) else False


async def _rest() -> None:
    await asyncio.sleep(REST_SECONDS)
