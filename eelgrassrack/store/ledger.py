"""Ledgers: where bills are kept so that each attempt is billed once.

An agent makes one bill for each attempt and keeps it until an entry says
that it is settled.  The entry gathers bills in a ledger of its own, whose
one head object decides alone what counts: a page counts once the head
says so, and the head changes by conditional update.

When the entry is lost, another seals its head and then adds what is
missing there to its own ledger (see `custody`).  The lost entry may only
have been paused.  When it wakes, its next update of the head fails, so
that what it hadn't flushed is dropped here and billed there, never both.

A bill may go only into the ledger that its agent believes to hold it: the
agent names that ledger to whoever recovers the bill.  A bill for a sealed
ledger that slipped into its successor would be billed twice.

Store calls: two writes for each flush that has bills.  At a flush each five
seconds, 380 entries make 152 writes a second.  A page is at most
`PAGE_BYTES`, a line 110 bytes, a head 28 bytes for each organisation.
"""

import asyncio
import collections
import enum
import itertools
import time
from collections.abc import Callable

import logbook
import msgspec

from ..invariants import Invariants, Promise
from ..mailbox.messages import Bill
from .objects import Absent, ObjectStore, Unavailable
from .pages import (
    HEAD_KIND,
    PAGE_KIND,
    BillLine,
    LedgerHead,
    Page,
    add_totals,
    cut_page,
    make_line,
    page_name,
)
from .records import NEW, RecordConflict, RecordWritten, VersionedRecord, put_record

log = logbook.Logger("ledger")

# With this many bills waiting an entry takes no new work.  At 82 requests
# a second that is two minutes of outage.  A bill takes 290 bytes (measured).
BACKLOG_BILLS = 10_000

# Room for the bills of the work under way when the backlog became full.
# Beyond it a bill stays with its agent alone.
UNDER_WAY_BILLS = 5_000

# Flushed attempts that are remembered to recognise a bill sent again, at
# 150 bytes each (measured).
REMEMBERED_ATTEMPTS = 20_000

# A ledger with more pages than this is replaced by a new one, because
# whoever recovers it has to read them all.
LONGEST_LEDGER_PAGES = 128


class AddResult(enum.Enum):
    """What became of a bill that was to be added.

    `FLUSHED` may be settled at once.  After `FULL`, `SEALED` and
    `OTHER_LEDGER` the bill isn't held here; its agent keeps it.
    """

    ADDED = "added"
    WAITING = "waiting"
    FLUSHED = "flushed"
    FULL = "full"
    SEALED = "sealed"
    OTHER_LEDGER = "other_ledger"


class Flushed(msgspec.Struct, kw_only=True, frozen=True):
    """These attempts' bills are in the ledger for good: settle them."""

    attempts: tuple[str, ...]


class LedgerSealed(msgspec.Struct, kw_only=True, frozen=True):
    """Somebody sealed the ledger; these bills were not in it and are dropped."""

    dropped: tuple[str, ...]


class Ledger:
    """One ledger of one entry.

    `price` gives a bill's money in millionths; `clock` is the wall clock.
    """

    __slots__ = (
        "_backlog",
        "_clock",
        "_cut_at",
        "_flushing",
        "_has_forgotten",
        "_head",
        "_invariants",
        "_page",
        "_price",
        "_remembered",
        "_sealed",
        "_store",
        "_version",
        "incarnation",
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        incarnation: str,
        invariants: Invariants,
        price: Callable[[Bill], int],
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.incarnation = incarnation
        self._clock = clock
        self._cut_at = 0.0
        self._store = store
        self._invariants = invariants
        self._price = price
        self._backlog: dict[str, BillLine] = {}
        self._page: Page | None = None
        self._head = LedgerHead()
        self._version = NEW
        self._remembered: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._has_forgotten = False
        self._sealed = False
        self._flushing = asyncio.Lock()

    @property
    def is_full(self) -> bool:
        """Tell whether the entry should refuse new work."""
        return len(self._backlog) >= BACKLOG_BILLS

    @property
    def is_sealed(self) -> bool:
        """Tell whether somebody is known to have sealed the ledger."""
        return self._sealed

    @property
    def is_long(self) -> bool:
        """Tell whether new work should go to a new ledger."""
        return self._head.pages >= LONGEST_LEDGER_PAGES

    @property
    def has_forgotten(self) -> bool:
        """Tell whether there are flushed bills that `add` wouldn't recognise."""
        return self._has_forgotten

    @property
    def pages(self) -> int:
        """Return how many pages the ledger has."""
        return self._head.pages

    @property
    def waiting(self) -> int:
        """Return how many bills aren't flushed yet."""
        return len(self._backlog)

    def add(self, *, bill: Bill, into: str) -> AddResult:
        """Take a bill whose agent believes it to be held by ledger `into`."""
        if into != self.incarnation:
            return AddResult.OTHER_LEDGER
        if bill.attempt in self._remembered:
            return AddResult.FLUSHED
        if self._sealed:
            return AddResult.SEALED
        if bill.attempt in self._backlog:
            return AddResult.WAITING
        if len(self._backlog) >= BACKLOG_BILLS + UNDER_WAY_BILLS:
            return AddResult.FULL
        self._backlog[bill.attempt] = make_line(bill=bill, money=self._price(bill))
        return AddResult.ADDED

    async def flush(self) -> Flushed | LedgerSealed | Unavailable:
        """Write waiting bills as one page and count it in the head.

        After `Unavailable` the next flush goes on with the very same page:
        it may stand in the store already, and a page of the same number
        with other lines would be lost.
        """
        async with self._flushing:
            if self._sealed:
                return self._drop()
            if not self._backlog:
                return Flushed(attempts=())
            if self._page is None:
                self._page = cut_page(self._backlog.values())
                self._cut_at = self._clock()
            return await self._write_page(self._page)

    async def _write_page(self, page: Page) -> Flushed | LedgerSealed | Unavailable:
        """Write a page, then have the head count it."""
        number = self._head.pages
        result = await put_record(
            store=self._store,
            kind=PAGE_KIND,
            name=page_name(incarnation=self.incarnation, number=number),
            record=page,
            version=NEW,
            is_own=page.__eq__,
        )
        match result:
            case Unavailable():
                return result
            case RecordConflict():
                return self._meet_double(f"page {number} has other lines")
        return await self._count_page(page)

    async def _count_page(self, page: Page) -> Flushed | LedgerSealed | Unavailable:
        """Change the head so that it counts the page."""
        head = LedgerHead(
            pages=self._head.pages + 1,
            totals=add_totals(self._head.totals, page.lines),
            changed_at=self._cut_at,
        )
        result = await put_record(
            store=self._store,
            kind=HEAD_KIND,
            name=self.incarnation,
            record=head,
            version=self._version,
            is_own=head.__eq__,
        )
        match result:
            case RecordWritten(version=version):
                self._version = version
                return self._settle(head, page)
            case Unavailable():
                return result
            case RecordConflict(found=VersionedRecord(record=found)) if found.sealed:
                return self._meet_seal(head, found, page)
            case RecordConflict(found=Absent()):
                return self._seal()
        return self._meet_double("the head was changed by somebody else")

    def _meet_seal(
        self, head: LedgerHead, found: LedgerHead, page: Page
    ) -> Flushed | LedgerSealed:
        """Tell whether the page was counted before the ledger was sealed.

        The answer to the update may have been lost after it took effect.
        The sealed head then counts the page, and whoever sealed it has
        left its bills alone.
        """
        self._sealed = True
        if found.pages < head.pages:
            return self._drop()
        return self._settle(head, page)

    def _meet_double(self, detail: str) -> LedgerSealed:
        """Stop writing: another process writes under this incarnation."""
        self._invariants.check(Promise.BILLED_ONCE, False, detail)
        return self._seal()

    def _seal(self) -> LedgerSealed:
        self._sealed = True
        return self._drop()

    def _drop(self) -> LedgerSealed:
        """Forget what isn't flushed; the agents still have it."""
        dropped = tuple(self._backlog)
        self._backlog.clear()
        self._page = None
        if dropped:
            log.info("ledger: sealed: {}: {} dropped", self.incarnation, len(dropped))
        return LedgerSealed(dropped=dropped)

    def _settle(self, head: LedgerHead, page: Page) -> Flushed:
        """Take note that the head counts the page."""
        self._head = head
        self._page = None
        attempts = tuple(line.attempt for line in page.lines)
        for attempt in attempts:
            self._invariants.check(
                Promise.BILLED_ONCE,
                attempt not in self._remembered,
                f"attempt {attempt} was flushed twice",
            )
            del self._backlog[attempt]
        self._remembered.update(dict.fromkeys(attempts))
        excess = len(self._remembered) - REMEMBERED_ATTEMPTS
        for old in tuple(itertools.islice(self._remembered, max(0, excess))):
            del self._remembered[old]
            self._has_forgotten = True
        return Flushed(attempts=attempts)
