"""Keep each bill until an entry has written it to its ledger.

The entry that started an attempt receives the bill with the attempt's end.  If
that entry is lost before it settles the bill, or has closed the ledger, the bill
is reassigned to another ledger, together with the chain of ledgers that may
already hold it.  An unsettled bill is sent again, since the bill or the message
that settles it may have been lost.
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

# An entry flushes its ledger every five seconds, or later if the object API is
# unavailable.
RESEND_SECONDS = 12.0

# An entry flushes a closed ledger completely, too.  A bill is reassigned to the
# next ledger only if it stays unsettled for long after that, because the old
# ledger must then be sealed and read.
CLOSED_LEDGER_SECONDS = 30.0

# The largest number of bills in a message, which then takes about 30 kB.
MAX_BILLS = 200

Post = Callable[[str, AnyMessage], None]
BillRoute = tuple[str, str, tuple[str, ...]]


class BillKeeper:
    """Resend unsettled bills and reassign those of lost or closed ledgers."""

    __slots__ = ("_attempts", "_entries", "_post", "_relay")

    def __init__(
        self, *, attempts: Attempts, entries: EntryDirectory, relay: Relay, post: Post
    ) -> None:
        self._attempts = attempts
        self._entries = entries
        self._relay = relay
        self._post = post

    def tick(self, *, now: float) -> None:
        """Reassign the bills of lost or closed ledgers and resend overdue ones."""
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
        log.info("custody: bill of {} reassigned to {}", attempt.key, successor.address)
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
    """Assign an attempt's bill to another entry or ledger."""
    attempt.holders = (*attempt.holders, attempt.ledger)
    attempt.owner = successor.address
    attempt.incarnation = successor.incarnation
    attempt.ledger = successor.ledger
    attempt.bill_sent_at = 0.0


def is_due(attempt: Attempt, now: float) -> bool:
    """Return whether a bill has to be sent or resent now."""
    if attempt.holders and not attempt.bill_sent_at:
        return True
    return now - max(attempt.bill_sent_at, attempt.ended_at) >= RESEND_SECONDS


def find_route(attempt: Attempt) -> BillRoute:
    """Return the entry, the ledger and the earlier ledgers of an attempt's bill."""
    return attempt.owner, attempt.ledger, attempt.holders


def make_reassigned_bill(attempt: Attempt) -> Bill:
    """Return the bill with the name of its new ledger."""
    return msgspec.structs.replace(attempt.ended.bill, ledger=attempt.ledger)
