"""All ledgers of one entry: the current one and those being phased out.

Each request is assigned the current ledger when it starts.  Its bill goes into that
ledger however late it arrives, because that is the ledger the agent names if the
entry is lost.  A ledger that has grown long or old, or was sealed, is assigned no
new requests, and is dropped after its requests have ended.
"""

from collections.abc import Callable

import msgspec

from ..mailbox.messages import Bill
from .ledger import AddResult, Flushed, Ledger, LedgerSealed
from .objects import Unavailable

# How long a replaced ledger is kept for the requests assigned to it.  This exceeds
# the longest deadline that a document may allow.  A bill that arrives even later
# stays with its agent, which hands it over once the entry no longer has the ledger.
OLD_LEDGER_SECONDS = 3600.0


# A ledger with pages is replaced after this time.  So a ledger that hasn't changed
# for a day (see `compaction`) is no entry's current one.
MAX_LEDGER_SECONDS = 6 * 3600.0


class FlushResult(msgspec.Struct, kw_only=True, frozen=True):
    """The result of flushing all ledgers.

    The bills of `settled` attempts are stored.  Those of `dropped` attempts were
    dropped because their ledger was sealed without them.  `unavailable` says why
    some bills aren't flushed yet, if there are any.
    """

    settled: tuple[str, ...] = ()
    dropped: tuple[str, ...] = ()
    unavailable: Unavailable | None = None


class Ledgers:
    """The ledgers of one entry; `open_ledger` creates one with a new incarnation."""

    __slots__ = ("_current", "_old", "_open_ledger", "_opened_at")

    def __init__(self, *, open_ledger: Callable[[], Ledger]) -> None:
        self._open_ledger = open_ledger
        self._current = open_ledger()
        self._old: dict[str, tuple[Ledger, float]] = {}
        self._opened_at: float | None = None

    @property
    def current(self) -> Ledger:
        """Return the ledger that new requests are assigned."""
        return self._current

    @property
    def is_full(self) -> bool:
        """Return whether the entry should refuse new work."""
        return self._current.is_full or any(
            ledger.is_full for ledger, _ in self._old.values()
        )

    @property
    def waiting(self) -> int:
        """Return how many bills aren't flushed; a graceful stop waits for zero."""
        return sum(ledger.waiting for ledger in self._all())

    def find(self, incarnation: str) -> Ledger | None:
        """Return the ledger with this incarnation, or None if it was dropped."""
        if incarnation == self._current.incarnation:
            return self._current
        kept = self._old.get(incarnation)
        return kept[0] if kept else None

    def add(self, *, bill: Bill, into: str) -> AddResult:
        """Add a bill to the ledger that its request was assigned."""
        ledger = self.find(into)
        if ledger is None:
            return AddResult.OTHER_LEDGER
        return ledger.add(bill=bill, into=into)

    async def flush(self, *, now: float) -> FlushResult:
        """Flush every ledger, and replace the current one if that is due."""
        settled: list[str] = []
        dropped: list[str] = []
        unavailable = None
        for ledger in self._all():
            match await ledger.flush():
                case Flushed(attempts=attempts):
                    settled.extend(attempts)
                case LedgerSealed(dropped=attempts):
                    dropped.extend(attempts)
                case Unavailable() as unavailable:
                    pass
        self._replace_current(now)
        return FlushResult(
            settled=tuple(settled), dropped=tuple(dropped), unavailable=unavailable
        )

    def _all(self) -> list[Ledger]:
        return [self._current, *(ledger for ledger, _ in self._old.values())]

    def _replace_current(self, now: float) -> None:
        """Open a new ledger if the current one is sealed, long or old."""
        self._old = {
            name: (ledger, until)
            for name, (ledger, until) in self._old.items()
            if now < until or ledger.waiting
        }
        if self._opened_at is None or not self._current.pages:
            self._opened_at = now
        is_old = now - self._opened_at > MAX_LEDGER_SECONDS
        if not (self._current.is_sealed or self._current.is_long or is_old):
            return
        kept = (self._current, now + OLD_LEDGER_SECONDS)
        self._old[self._current.incarnation] = kept
        self._current = self._open_ledger()
        self._opened_at = now
