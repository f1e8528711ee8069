"""Collects bills from agents and writes them to the ledger.

Agents create the bills and keep each one until it is settled.  If an entry
crashes, the agents hand its unsettled bills to another entry for recovery.
"""

import collections
import itertools
from collections.abc import Callable

import logbook

from ..invariants import Invariants
from ..mailbox.messages import Bill, Custody, Settle
from ..store.ledger import AddResult, Ledger
from ..store.ledgers import Ledgers
from ..store.objects import ObjectStore, Unavailable
from ..store.recovery import RecoveredBills, recover_bills
from ..store.sealed import SealedLedgers
from .meter import Meter

log = logbook.Logger("billing")

Post = Callable[[str, object], None]
Price = Callable[[Bill], int]

ATTEMPTS_PER_MESSAGE = 500

# Queued recoveries.  When the queue is full the oldest is dropped, and its agent
# sends it again.
MAX_RECOVERIES = 64


class Billing:
    """Collects bills, flushes them and tells the agents which are settled."""

    __slots__ = (
        "_agents",
        "_meter",
        "_numbers",
        "_post",
        "_recoveries",
        "_sealed",
        "_store",
        "ledgers",
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        incarnation: str,
        invariants: Invariants,
        meter: Meter,
        price: Price,
        post: Post,
    ) -> None:
        self._store = store
        self._sealed = SealedLedgers(store=store)
        self._meter = meter
        self._post = post
        self._agents: dict[str, str] = {}
        self._recoveries: collections.deque[tuple[str, Custody]] = collections.deque(
            maxlen=MAX_RECOVERIES
        )
        self._numbers = itertools.count(1)

        def open_ledger() -> Ledger:
            return Ledger(
                store=store,
                incarnation=f"{incarnation}.{next(self._numbers)}",
                invariants=invariants,
                price=price,
            )

        self.ledgers = Ledgers(open_ledger=open_ledger)

    @property
    def current(self) -> str:
        """Return the name of the ledger for new requests."""
        return self.ledgers.current.incarnation

    @property
    def is_full(self) -> bool:
        """Whether new requests must be refused until bills are flushed."""
        return self.ledgers.is_full

    @property
    def waiting(self) -> int:
        """Return how many bills haven't been written to the ledger yet."""
        return self.ledgers.waiting

    def take(self, *, bill: Bill, address: str) -> None:
        """Add a bill from the agent at `address` to its ledger."""
        match self.ledgers.add(bill=bill, into=bill.ledger):
            case AddResult.ADDED | AddResult.WAITING:
                self._agents[bill.attempt] = address
            case AddResult.FLUSHED:
                self._post(address, Settle(attempts=(bill.attempt,)))
            case AddResult.FULL | AddResult.SEALED | AddResult.OTHER_LEDGER as adding:
                log.debug(
                    "billing: {} not accepted, its agent keeps it: {}",
                    bill.attempt,
                    adding,
                )

    def take_custody(self, *, custody: Custody, address: str) -> None:
        """Queue the bills of a crashed entry for recovery."""
        self._recoveries.append((address, custody))

    async def flush(self, *, now: float) -> None:
        """Recover queued bills, then write the waiting ones and settle them."""
        while self._recoveries:
            address, custody = self._recoveries.popleft()
            await self._recover(address, custody)
        flushed = await self.ledgers.flush(now=now)
        self._meter.note_settled(len(flushed.settled))
        self._settle(flushed.settled)
        for attempt in flushed.dropped:
            self._agents.pop(attempt, None)
        if flushed.unavailable is not None:
            log.info("billing: flush waits: {}", flushed.unavailable.reason)

    async def _recover(self, address: str, custody: Custody) -> None:
        ledger = self.ledgers.find(custody.into)
        if ledger is None:
            # The agent names the ledger of another incarnation.  It names the
            # current one once it has received a heartbeat of this entry.
            return
        result = await recover_bills(
            store=self._store,
            ledger=ledger,
            sealed=self._sealed,
            into=custody.into,
            holders=custody.holders,
            bills=custody.bills,
        )
        match result:
            case Unavailable(reason=reason):
                log.info("billing: recovery postponed: {}", reason)
            case RecoveredBills(billed=billed, added=added):
                self._agents.update(dict.fromkeys(added, address))
                if billed:
                    self._post(address, Settle(attempts=billed))

    def _settle(self, attempts: tuple[str, ...]) -> None:
        by_agent = collections.defaultdict(list)
        for attempt in attempts:
            address = self._agents.pop(attempt, None)
            if address is not None:
                by_agent[address].append(attempt)
        for address, settled in by_agent.items():
            for start in range(0, len(settled), ATTEMPTS_PER_MESSAGE):
                part = tuple(settled[start : start + ATTEMPTS_PER_MESSAGE])
                self._post(address, Settle(attempts=part))
