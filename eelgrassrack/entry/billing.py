"""Bills on their way from agents into the ledger.

Agents make the bills and keep each until it is settled.  The entry only
gathers them: what it loses when it dies, the agents hand to another.
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

# One settle message holds this many attempts at most.
ATTEMPTS_A_MESSAGE = 500

# Recoveries that wait for their turn; agents hand theirs over again.
MOST_RECOVERIES = 64


class Billing:
    """Gather bills, flush them and tell the agents what is settled."""

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
            maxlen=MOST_RECOVERIES
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
        """Return the name of the ledger that new work is given."""
        return self.ledgers.current.incarnation

    @property
    def is_full(self) -> bool:
        """Tell whether new work must be refused until bills are flushed."""
        return self.ledgers.is_full

    @property
    def waiting(self) -> int:
        """Return how many bills aren't in the ledger yet."""
        return self.ledgers.waiting

    def take(self, *, bill: Bill, address: str) -> None:
        """Take a bill from the agent at `address`."""
        match self.ledgers.add(bill=bill, into=bill.ledger):
            case AddResult.ADDED | AddResult.WAITING:
                self._agents[bill.attempt] = address
            case AddResult.FLUSHED:
                self._post(address, Settle(attempts=(bill.attempt,)))
            case AddResult.FULL | AddResult.SEALED | AddResult.OTHER_LEDGER as adding:
                log.debug("billing: {} left to its agent: {}", bill.attempt, adding)

    def take_custody(self, *, custody: Custody, address: str) -> None:
        """Queue the bills of a lost entry for recovery."""
        self._recoveries.append((address, custody))

    async def flush(self, *, now: float) -> None:
        """Recover what was handed over, then write and settle what waits."""
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
            # The agent heard of another incarnation's ledger; it will name
            # the current one once it has heard this entry's heartbeat.
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
                log.info("billing: recovery waits: {}", reason)
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
            for start in range(0, len(settled), ATTEMPTS_A_MESSAGE):
                part = tuple(settled[start : start + ATTEMPTS_A_MESSAGE])
                self._post(address, Settle(attempts=part))
