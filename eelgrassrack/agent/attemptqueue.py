"""Attempts that wait: for their turn, for newer facts, or to run alone.

The room is bounded in number and bytes.  When it is full a newcomer doesn't
simply bounce: one of the organisation with the largest share gives way, so
that a burst pushes out its own and not a quiet organisation's request.
"""

import collections
from collections.abc import Callable

from ..decisions.admission import Arrival, Backlog, RetrySchedule, estimate_wait
from ..decisions.fairqueue import FairQueue, QueuedRequest
from ..decisions.waiting import count_ahead, is_patient
from .attempts import Attempt
from .drainrate import DrainRate, find_retry_after

# The bytes bound the agent's memory, the number the work of one turn.
MAX_WAITING = 512
MAX_BYTES = 16_000_000

# Organisations named in a load report, which goes out each second.
MAX_REPORTED_ORGANISATIONS = 8


class AttemptQueue:
    """All attempts that wait."""

    __slots__ = (
        "_attempts",
        "_retries",
        "_bytes",
        "_tokens_by",
        "_patient_tokens_by",
        "_queue",
        "drain",
        "deferred",
    )

    def __init__(self) -> None:
        self.drain = DrainRate()
        self.deferred: dict[str, Attempt] = {}
        self._queue = FairQueue()
        self._attempts: dict[str, Attempt] = {}
        self._retries = RetrySchedule()
        self._bytes = 0
        self._tokens_by: collections.Counter[str] = collections.Counter()
        self._patient_tokens_by: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        """Return how many wait for their turn or for facts."""
        return len(self._attempts) + len(self.deferred)

    @property
    def tokens(self) -> int:
        """Return the tokens of all that wait for their turn."""
        return self._queue.tokens

    @property
    def is_full(self) -> bool:
        """Tell whether somebody has to give way."""
        return len(self) > MAX_WAITING or self._bytes > MAX_BYTES

    def find_largest(self) -> dict[str, int]:
        """Return the organisations with most tokens waiting, with these."""
        return dict(self._tokens_by.most_common(MAX_REPORTED_ORGANISATIONS))

    def find_patient(self) -> dict[str, int]:
        """Return of these organisations the tokens of patient requests."""
        largest = self.find_largest()
        return {
            name: self._patient_tokens_by[name]
            for name in largest
            if self._patient_tokens_by[name]
        }

    def estimate_wait(
        self, attempt: Attempt, *, weights: dict[str, float], window: int
    ) -> float:
        """Return the seconds that an attempt is expected to wait."""
        start = attempt.start
        waiting = {*self._tokens_by, start.organisation}
        own = self._tokens_by[start.organisation]
        patient = self._patient_tokens_by[start.organisation]
        alike = patient if _is_patient(attempt) else own - patient
        backlog = Backlog(
            tokens=self.tokens,
            drain=self.drain.find_rate(window=window),
            own=count_ahead(own=own, alike=alike),
            weights=sum(weights.get(name, 1.0) for name in waiting),
        )
        arrival = Arrival(
            organisation=start.organisation, tokens=start.tokens, within=start.within
        )
        weight = weights.get(start.organisation, 1.0)
        return estimate_wait(arrival=arrival, weight=weight, backlog=backlog)

    def estimate_retry_after(self, *, tokens: int, window: int, now: float) -> float:
        """Return when a refused caller should come back.

        Each refusal books the next stretch of the drain, so that those
        refused together don't come back together.
        """
        rate = self.drain.find_rate(window=window)
        if not rate:
            return find_retry_after(0.0)
        ahead = self._retries.reserve(amount=tokens, rate=rate, now=now)
        return find_retry_after(self.tokens / rate + ahead)

    def add(self, attempt: Attempt, *, weight: float) -> None:
        """Let an attempt wait for its turn."""
        start = attempt.start
        waiting = QueuedRequest(
            key=start.attempt,
            organisation=start.organisation,
            weight=weight,
            tokens=start.tokens,
            deadline=attempt.deadline,
            priority=start.priority,
            arrived=attempt.arrived,
        )
        if not self._queue.push(waiting):
            return
        self._attempts[attempt.key] = attempt
        self._count(attempt, 1)

    def pop(
        self, *, now: float, may_start: Callable[[QueuedRequest], bool] | None = None
    ) -> Attempt | None:
        """Take out the attempt whose turn it is, of those that may start."""
        waiting = self._queue.pop(now=now, may_start=may_start)
        return None if waiting is None else self._forget(waiting.key)

    def discard(self, attempt: Attempt) -> None:
        """Take out an attempt, wherever it waits."""
        self.deferred.pop(attempt.key, None)
        if self._queue.discard(key=attempt.key) is not None:
            self._forget(attempt.key)

    def expire(self, *, now: float) -> list[Attempt]:
        """Take out and return those whose deadline has passed."""
        return [self._forget(each.key) for each in self._queue.expire(now=now)]

    def find_displaced(self) -> Attempt | None:
        """Return who gives way in a full room."""
        waiting = self._queue.find_displaced(limit=-1)
        return None if waiting is None else self._attempts[waiting.key]

    def pop_deferred(self) -> list[Attempt]:
        """Take out and return all that wait for facts."""
        deferred, self.deferred = self.deferred, {}
        return list(deferred.values())

    def _forget(self, key: str) -> Attempt:
        attempt = self._attempts.pop(key)
        self._count(attempt, -1)
        return attempt

    def _count(self, attempt: Attempt, sign: int) -> None:
        start = attempt.start
        self._bytes += sign * len(start.body)
        self._tokens_by[start.organisation] += sign * start.tokens
        if _is_patient(attempt):
            self._patient_tokens_by[start.organisation] += sign * start.tokens
        if self._tokens_by[start.organisation] <= 0:
            del self._tokens_by[start.organisation]
            self._patient_tokens_by.pop(start.organisation, None)


def _is_patient(attempt: Attempt) -> bool:
    within = attempt.deadline - attempt.arrived
    return is_patient(tokens=attempt.start.tokens, within=within)
