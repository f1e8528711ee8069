"""Keep bills until an entry has them in its ledger.

The entry that started an attempt gets the bill with its end.  When it is
lost first, its bills are handed to another one, with the chain of ledgers
that may hold them already.  The same is done when the entry lives but has
closed that ledger.  What nobody settles is sent again: the bill or the
answer to it may have been lost.
"""

import itertools
from collections.abc import Callable

import logbook
import msgspec

from ..mailbox.messages import AnyMessage, Bill, Custody, Hello
from .attempts import Attempt, Attempts
from .entries import EntryDirectory, EntryRecord
from .relay import Relay

log = logbook.Logger("custody")

# An entry flushes its ledger each five seconds; the object API may be away.
RESEND_SECONDS = 12.0

# An entry flushes a closed ledger to its end too.  Only a bill that it has
# not settled long after is handed to the next ledger, which costs the
# sealing and reading of the old one.
CLOSED_LEDGER_SECONDS = 30.0

# Bills in one message, which then has about 30 kB.
MAX_BILLS = 200

Post = Callable[[str, AnyMessage], None]
BillRoute = tuple[str, str, tuple[str, ...]]


class BillKeeper:
    """Look after the bills that aren't settled."""

    __slots__ = ("_attempts", "_entries", "_post", "_relay")

    def __init__(
        self, *, attempts: Attempts, entries: EntryDirectory, relay: Relay, post: Post
    ) -> None:
        self._attempts = attempts
        self._entries = entries
        self._relay = relay
        self._post = post

    def tick(self, *, now: float) -> None:
        """Hand over the bills of lost ledgers and send overdue ones again."""
        unsettled = list(self._attempts.unsettled.values())
        for attempt in unsettled:
            if self._needs_reassignment(attempt, now):
                self._reassign(attempt, now)
        for owner in {attempt.owner for attempt in unsettled}:
            if self._entries.is_overdue(address=owner, now=now):
                self._post(owner, Hello())
        self._send([each for each in unsettled if is_due(each, now)], now)

    def _needs_reassignment(self, attempt: Attempt, now: float) -> bool:
        lost = self._entries.is_lost(
            address=attempt.owner, incarnation=attempt.incarnation, now=now
        )
        if lost:
            return True
        closed = self._entries.has_other_ledger(
            address=attempt.owner, ledger=attempt.ledger
        )
        waited = now - attempt.ended_at >= CLOSED_LEDGER_SECONDS
        return closed and (waited or bool(attempt.holders))

    def _reassign(self, attempt: Attempt, now: float) -> None:
        successor = self._entries.find_successor(ledger=attempt.ledger, now=now)
        if successor is None:
            return
        log.info("custody: {} handed to {}", attempt.key, successor.address)
        reassign_bill(attempt, successor)

    def _send(self, attempts: list[Attempt], now: float) -> None:
        for attempt in attempts:
            attempt.bill_sent_at = now
            if not attempt.holders:
                self._relay.report_end(attempt, attempt.owner)
        reassigned = sorted((a for a in attempts if a.holders), key=find_route)
        for (owner, ledger, holders), group in itertools.groupby(
            reassigned, find_route
        ):
            while batch := list(itertools.islice(group, MAX_BILLS)):
                bills = tuple(make_reassigned_bill(attempt) for attempt in batch)
                message = Custody(holders=holders, bills=bills, into=ledger)
                self._post(owner, message)


def reassign_bill(attempt: Attempt, successor: EntryRecord) -> None:
    """Give an attempt's bill to another entry or ledger."""
    attempt.holders = (*attempt.holders, attempt.ledger)
    attempt.owner = successor.address
    attempt.incarnation = successor.incarnation
    attempt.ledger = successor.ledger
    attempt.bill_sent_at = 0.0


def is_due(attempt: Attempt, now: float) -> bool:
    """Tell whether a bill has to be sent (again)."""
    if attempt.holders and not attempt.bill_sent_at:
        return True
    return now - max(attempt.bill_sent_at, attempt.ended_at) >= RESEND_SECONDS


def find_route(attempt: Attempt) -> BillRoute:
    """Return where an attempt's bill goes and where it was before."""
    return attempt.owner, attempt.ledger, attempt.holders


def make_reassigned_bill(attempt: Attempt) -> Bill:
    """Return the bill as it is for the ledger that gets it now."""
    return msgspec.structs.replace(attempt.ended.bill, ledger=attempt.ledger)
