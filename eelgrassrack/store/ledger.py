"""Ledgers, which store bills so that each attempt is billed exactly once.

An agent creates one bill for each attempt and keeps it until an entry reports it
as settled.  The entry collects bills in a ledger of its own.  The ledger's head
object alone determines which pages count, and changes only by conditional update.

If the entry is lost, another entry seals the head and adds the bills that are
missing there to its own ledger (see `recovery`).  The lost entry may only have
been paused.  When it resumes, its next update of the head fails.  It then drops
its unflushed bills, which the other entry bills, so none is billed twice.

A bill may go only into the ledger that its agent has on record for it, because the
agent names that ledger to the entry that recovers the bill.  If a bill for a sealed
ledger went into the next ledger instead, it would be billed twice.

Store calls: two writes for each flush that has bills.  With a flush every five
seconds, 380 entries make 152 writes a second.  A page takes at most `PAGE_BYTES`,
a line 110 bytes, and a head 28 bytes for each organisation.
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
    make_page_name,
)
from .records import NEW, RecordConflict, RecordWritten, VersionedRecord, put_record

log = logbook.Logger("ledger")

# With this many unflushed bills an entry refuses new work.  At 82 requests a second
# that covers an outage of two minutes.  A bill takes 290 bytes of memory.
BACKLOG_BILLS = 10_000

# Room for the bills of requests that are in flight when the backlog fills up.
# Further bills stay with their agents.
IN_FLIGHT_BILLS = 5_000

# How many flushed attempts are remembered, at 150 bytes each, to recognise bills
# that are sent again.
REMEMBERED_ATTEMPTS = 20_000

# A ledger with this many pages is replaced by a new one, because an entry that
# recovers its bills must read all of them.
MAX_LEDGER_PAGES = 128


class AddResult(enum.Enum):
    """The result of adding a bill.

    A `FLUSHED` bill may be settled at once.  After `FULL`, `SEALED` and
    `OTHER_LEDGER` the ledger didn't take the bill, and its agent keeps it.
    """

    ADDED = "added"
    WAITING = "waiting"
    FLUSHED = "flushed"
    FULL = "full"
    SEALED = "sealed"
    OTHER_LEDGER = "other_ledger"


class Flushed(msgspec.Struct, kw_only=True, frozen=True):
    """The bills of these attempts are stored in the ledger and may be settled."""

    attempts: tuple[str, ...]


class LedgerSealed(msgspec.Struct, kw_only=True, frozen=True):
    """The ledger is sealed without the bills of these attempts, which were dropped."""

    dropped: tuple[str, ...]


class Ledger:
    """One ledger of one entry.

    `price` returns a bill's price in millionths of the money unit; `clock` is the
    wall clock.
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
        """Return whether the entry should refuse new work."""
        return len(self._backlog) >= BACKLOG_BILLS

    @property
    def is_sealed(self) -> bool:
        """Return whether the ledger is known to be sealed."""
        return self._sealed

    @property
    def is_long(self) -> bool:
        """Return whether new work should go to a new ledger."""
        return self._head.pages >= MAX_LEDGER_PAGES

    @property
    def has_forgotten(self) -> bool:
        """Return whether there are flushed bills that `add` wouldn't recognise."""
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
        """Add a bill for which its agent has ledger `into` on record."""
        if into != self.incarnation:
            return AddResult.OTHER_LEDGER
        if bill.attempt in self._remembered:
            return AddResult.FLUSHED
        if self._sealed:
            return AddResult.SEALED
        if bill.attempt in self._backlog:
            return AddResult.WAITING
        if len(self._backlog) >= BACKLOG_BILLS + IN_FLIGHT_BILLS:
            return AddResult.FULL
        self._backlog[bill.attempt] = make_line(bill=bill, money=self._price(bill))
        return AddResult.ADDED

    async def flush(self) -> Flushed | LedgerSealed | Unavailable:
        """Write the unflushed bills as one page and count it in the head.

        After `Unavailable` the next flush retries with the identical page, which
        may already be stored.  A page of the same number with other lines couldn't
        be written.
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
        """Write a page, then count it in the head."""
        number = self._head.pages
        result = await put_record(
            store=self._store,
            kind=PAGE_KIND,
            name=make_page_name(incarnation=self.incarnation, number=number),
            record=page,
            version=NEW,
            is_own=page.__eq__,
        )
        match result:
            case Unavailable():
                return result
            case RecordConflict():
                return self._stop_writing(f"page {number} has other lines")
        return await self._count_page(page)

    async def _count_page(self, page: Page) -> Flushed | LedgerSealed | Unavailable:
        """Update the head so that it counts the page."""
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
                return self._handle_seal(head, found, page)
            case RecordConflict(found=Absent()):
                return self._seal()
        return self._stop_writing("the head was changed by somebody else")

    def _handle_seal(
        self, head: LedgerHead, found: LedgerHead, page: Page
    ) -> Flushed | LedgerSealed:
        """Settle the page if it was counted before the ledger was sealed.

        The update may have taken effect although its answer was lost.  The sealed
        head then counts the page, and the entry that sealed it hasn't billed its
        attempts again.
        """
        self._sealed = True
        if found.pages < head.pages:
            return self._drop()
        return self._settle(head, page)

    def _stop_writing(self, detail: str) -> LedgerSealed:
        """Stop, because another process writes under this incarnation."""
        self._invariants.check(Promise.BILLED_ONCE, False, detail)
        return self._seal()

    def _seal(self) -> LedgerSealed:
        self._sealed = True
        return self._drop()

    def _drop(self) -> LedgerSealed:
        """Drop the unflushed bills, which the agents still have."""
        dropped = tuple(self._backlog)
        self._backlog.clear()
        self._page = None
        if dropped:
            log.info("ledger: sealed: {}: {} dropped", self.incarnation, len(dropped))
        return LedgerSealed(dropped=dropped)

    def _settle(self, head: LedgerHead, page: Page) -> Flushed:
        """Record that the head counts the page."""
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
