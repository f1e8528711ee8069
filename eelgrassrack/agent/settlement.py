"""Settle bills in the agent itself when no entry is left to do so.

A stopping agent sends its bills to entries and waits until they are settled.  If
no entry is reachable for its whole grace period, the bills would be lost with the
agent, and answers that callers have received would never be billed.  The agent then
does once what an entry does in a recovery: it seals the ledgers that were given
the bills, and writes the bills that none of them holds to a ledger of its own.

An agent calls the object API only here, so the number of calls doesn't grow with
the fleet.
"""

import itertools
from collections.abc import Callable, Iterable

import logbook

from ..invariants import Invariants
from ..mailbox.messages import Bill
from ..store.ledger import Flushed, Ledger
from ..store.objects import ObjectStore
from ..store.recovery import RecoveredBills, recover_bills
from ..store.sealed import SealedLedgers
from .attempts import Attempt

log = logbook.Logger("settlement")


class Settlement:
    """Writes bills to a ledger of this agent's own."""

    __slots__ = ("_invariants", "_price", "_store")

    def __init__(
        self,
        *,
        store: ObjectStore,
        invariants: Invariants,
        price: Callable[[Bill], int],
    ) -> None:
        self._invariants = invariants
        self._price = price
        self._store = store

    async def settle(
        self, *, incarnation: str, attempts: Iterable[Attempt]
    ) -> tuple[str, ...]:
        """Settle the bills; return the names of the attempts now in a ledger."""
        ledger = Ledger(
            store=self._store,
            incarnation=incarnation,
            invariants=self._invariants,
            price=self._price,
        )
        sealed = SealedLedgers(store=self._store)
        settled: list[str] = []
        ordered = sorted(attempts, key=_list_holders)
        for holders, group in itertools.groupby(ordered, _list_holders):
            result = await recover_bills(
                store=self._store,
                ledger=ledger,
                into=incarnation,
                holders=holders,
                bills=[attempt.ended.bill for attempt in group],
                sealed=sealed,
            )
            if isinstance(result, RecoveredBills):
                settled.extend(result.billed)
            else:
                log.error("settlement: {}", result.reason)
        match await ledger.flush():
            case Flushed(attempts=flushed):
                settled.extend(flushed)
            case failed:
                log.error("settlement: not flushed: {}", failed)
        return tuple(settled)


def _list_holders(attempt: Attempt) -> tuple[str, ...]:
    return (*attempt.holders, attempt.ledger)
