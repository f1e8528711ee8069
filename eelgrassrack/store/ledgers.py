"""All ledgers of one entry: the one for new work and those running out.

New work is given the current ledger's name.  Its bill goes into that
ledger however late it comes, because the agent names that ledger should
the entry be lost.  A ledger that has grown long, or that somebody sealed,
gets no new work any more and is forgotten once its work has ended.
"""

from collections.abc import Callable

import msgspec

from ..mailbox.messages import Bill
from .ledger import AddResult, Flushed, Ledger, LedgerSealed
from .objects import Unavailable

# An older ledger is kept for the work begun under it.  This is longer than
# the longest deadline a document may allow; a bill that comes even later
# stays with its agent, which hands it over once the ledger's name is gone.
OLD_LEDGER_SECONDS = 3600.0


# A ledger with pages gets no new work after this time, so that one that
# hasn't changed for days (see `folding`) is nobody's current one.
LONGEST_LEDGER_SECONDS = 6 * 3600.0


class FlushedAll(msgspec.Struct, kw_only=True, frozen=True):
    """What one flush of all ledgers did.

    `settled` attempts are billed for good.  `unavailable` says why some
    bills still wait, if they do.
    """

    settled: tuple[str, ...] = ()
    dropped: tuple[str, ...] = ()
    unavailable: Unavailable | None = None


class Ledgers:
    """The ledgers of one entry; `open_ledger` makes one of a new incarnation."""

    __slots__ = ("_current", "_old", "_open_ledger", "_opened_at")

    def __init__(self, *, open_ledger: Callable[[], Ledger]) -> None:
        self._open_ledger = open_ledger
        self._current = open_ledger()
        self._old: dict[str, tuple[Ledger, float]] = {}
        self._opened_at: float | None = None

    @property
    def current(self) -> Ledger:
        """Return the ledger whose name new work is given."""
        return self._current

    @property
    def is_full(self) -> bool:
        """Tell whether the entry should refuse new work."""
        return self._current.is_full or any(
            ledger.is_full for ledger, _ in self._old.values()
        )

    @property
    def waiting(self) -> int:
        """Return how many bills aren't flushed; a graceful stop waits for none."""
        return sum(ledger.waiting for ledger in self._all())

    def find(self, incarnation: str) -> Ledger | None:
        """Return the ledger of this name unless it is gone."""
        if incarnation == self._current.incarnation:
            return self._current
        kept = self._old.get(incarnation)
        return kept[0] if kept else None

    def add(self, *, bill: Bill, into: str) -> AddResult:
        """Add a bill to the ledger that its work was given."""
        ledger = self.find(into)
        if ledger is None:
            return AddResult.OTHER_LEDGER
        return ledger.add(bill=bill, into=into)

    async def flush(self, *, now: float) -> FlushedAll:
        """Flush every ledger and change to a new one where that is due."""
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
        self._change(now)
        return FlushedAll(
            settled=tuple(settled), dropped=tuple(dropped), unavailable=unavailable
        )

    def _all(self) -> list[Ledger]:
        return [self._current, *(ledger for ledger, _ in self._old.values())]

    def _change(self, now: float) -> None:
        """Open a new ledger if the current one gets no more work."""
        self._old = {
            name: (ledger, until)
            for name, (ledger, until) in self._old.items()
            if now < until or ledger.waiting
        }
        if self._opened_at is None or not self._current.pages:
            self._opened_at = now
        is_aged = now - self._opened_at > LONGEST_LEDGER_SECONDS
        if not (self._current.is_sealed or self._current.is_long or is_aged):
            return
        kept = (self._current, now + OLD_LEDGER_SECONDS)
        self._old[self._current.incarnation] = kept
        self._current = self._open_ledger()
        self._opened_at = now
