"""Counters and timers of an entry, for statsd and its status page."""

import collections

from ..invariants import Invariants, Promise
from ..mailbox.messages import Bill
from ..metrics import (
    ANSWERED,
    BILLS,
    BROKEN,
    DURATION,
    ENTRY_REVISION,
    ESCALATIONS,
    FAILED,
    FIRST_TOKEN,
    GAVE_WAY,
    IN_FLIGHT,
    REFUSED,
    REQUESTS,
    RESTARTS,
    RETRIES,
    TOKENS,
    Metrics,
)
from ..supervisor import Supervisor
from .headers import Run
from .refusals import CallerError


class Meter:
    """Counts the events of an entry and sends them to statsd."""

    __slots__ = ("_broken", "_metrics", "_restarts", "counts")

    def __init__(self, *, metrics: Metrics) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._metrics = metrics
        self._broken: collections.Counter[Promise] = collections.Counter()
        self._restarts: collections.Counter[str] = collections.Counter()

    def note_arrival(self) -> None:
        """Count a request."""
        self.counts["requests"] += 1
        self._metrics.count(REQUESTS)

    def note_answer(self, *, seconds: float, first: float) -> None:
        """Count a complete answer.

        `seconds` is its duration, `first` the seconds to its first byte.
        """
        self.counts["answered"] += 1
        self._metrics.count(ANSWERED)
        self._metrics.time(DURATION, seconds)
        self._metrics.time(FIRST_TOKEN, first)

    def note_error(self, error: CallerError) -> None:
        """Count a request that was answered with an error."""
        code = error.code.partition(":")[0]
        is_refused = error.run is Run.NOT_RUN
        kind = "refused" if is_refused else "failed"
        self.counts[f"{kind}_{code}"] += 1
        self._metrics.count(REFUSED if is_refused else FAILED, label=code)

    def count_failed(self, code: str) -> int:
        """Return the number of requests that may have run and got this error."""
        return self.counts[f"failed_{code}"]

    def note_gone(self) -> None:
        """Count a caller that disconnected."""
        self.counts["callers_gone"] += 1

    def note_gave_way(self, phase: str) -> None:
        """Count a caller whose connection made room while it was used for `phase`."""
        self.counts[f"gave_way_{phase}"] += 1
        self._metrics.count(GAVE_WAY, label=phase)

    def note_retry(self) -> None:
        """Count an attempt after the first."""
        self.counts["retries"] += 1
        self._metrics.count(RETRIES)

    def note_escalation(self) -> None:
        """Count a step from one rung of a cascade to the next."""
        self.counts["escalations"] += 1
        self._metrics.count(ESCALATIONS)

    def note_bill(self, bill: Bill) -> None:
        """Count the completion tokens of an ended attempt."""
        self._metrics.count(TOKENS, bill.completion_tokens)

    def note_settled(self, amount: int) -> None:
        """Count bills that were written to the ledger."""
        self.counts["bills"] += amount
        self._metrics.count(BILLS, amount)

    def report(
        self,
        *,
        open_requests: int,
        revision: int,
        invariants: Invariants,
        supervisor: Supervisor,
    ) -> None:
        """Send the gauges, and the counts since the last report."""
        self._metrics.gauge(IN_FLIGHT, open_requests)
        self._metrics.gauge(ENTRY_REVISION, revision)
        for promise, amount in (invariants.broken - self._broken).items():
            self._metrics.count(BROKEN, amount, label=promise.name.lower())
        for task, amount in (supervisor.failures - self._restarts).items():
            self._metrics.count(RESTARTS, amount, label=task)
        self._broken = invariants.broken.copy()
        self._restarts = supervisor.failures.copy()
