"""The queue of attempts that wait for their turn or for newer facts.

The queue is bounded in number and bytes.  When it is full, a request of the
organisation with the largest share is displaced rather than the newest one, so
that a burst displaces its own requests and not those of a quiet organisation.
"""

import collections
from collections.abc import Callable

from ..decisions.admission import Arrival, Backlog, RetrySchedule, estimate_wait
from ..decisions.fairqueue import FairQueue, QueuedRequest
from ..decisions.waiting import count_ahead, is_patient
from .attempts import Attempt
from .drainrate import DrainRate, find_retry_after

# The byte limit bounds the agent's memory, the count the work per iteration.
MAX_WAITING = 512
MAX_BYTES = 16_000_000

# Limit for the organisations in a load report, which is sent every second.
MAX_REPORTED_ORGANISATIONS = 8


class AttemptQueue:
    """The waiting attempts.

    `deferred` holds those that wait for newer facts, by name.  `drain_rate`
    is the measured rate of the endpoint.
    """

    __slots__ = (
        "_attempts",
        "_bytes",
        "_patient_tokens_by",
        "_queue",
        "_retries",
        "_tokens_by",
        "deferred",
        "drain_rate",
    )

    def __init__(self) -> None:
        self.drain_rate = DrainRate()
        self.deferred: dict[str, Attempt] = {}
        self._queue = FairQueue()
        self._attempts: dict[str, Attempt] = {}
        self._retries = RetrySchedule()
        self._bytes = 0
        self._tokens_by: collections.Counter[str] = collections.Counter()
        self._patient_tokens_by: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        """Return how many attempts wait for their turn or for newer facts."""
        return len(self._attempts) + len(self.deferred)

    @property
    def tokens(self) -> int:
        """Return the tokens of all attempts that wait for their turn."""
        return self._queue.tokens

    @property
    def is_full(self) -> bool:
        """Return whether the queue is over its limits and must displace one."""
        return len(self) > MAX_WAITING or self._bytes > MAX_BYTES

    def find_largest(self) -> dict[str, int]:
        """Return the organisations with most waiting tokens, with the tokens."""
        return dict(self._tokens_by.most_common(MAX_REPORTED_ORGANISATIONS))

    def find_patient(self) -> dict[str, int]:
        """Return the tokens of patient requests of the organisations in `find_largest`.

        A patient request is a long job with time to spare.
        """
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
            drain=self.drain_rate.find_rate(window=window),
            own=count_ahead(own=own, alike=alike),
            weights=sum(weights.get(name, 1.0) for name in waiting),
        )
        arrival = Arrival(
            organisation=start.organisation, tokens=start.tokens, within=start.within
        )
        weight = weights.get(start.organisation, 1.0)
        return estimate_wait(arrival=arrival, weight=weight, backlog=backlog)

    def estimate_retry_after(self, *, tokens: int, window: int, now: float) -> float:
        """Return in how many seconds a refused caller should retry.

        Each refusal reserves the next free time at the drain rate, so that callers
        refused together don't retry together.
        """
        rate = self.drain_rate.find_rate(window=window)
        if not rate:
            return find_retry_after(0.0)
        ahead = self._retries.reserve(amount=tokens, rate=rate, now=now)
        return find_retry_after(self.tokens / rate + ahead)

    def add(self, attempt: Attempt, *, weight: float) -> None:
        """Queue an attempt for its turn."""
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
        """Remove and return the next attempt that may start, or None."""
        waiting = self._queue.pop(now=now, may_start=may_start)
        return None if waiting is None else self._forget(waiting.key)

    def discard(self, attempt: Attempt) -> None:
        """Remove an attempt, whatever it waits for."""
        self.deferred.pop(attempt.key, None)
        if self._queue.discard(key=attempt.key) is not None:
            self._forget(attempt.key)

    def expire(self, *, now: float) -> list[Attempt]:
        """Remove and return the attempts whose deadline has passed."""
        return [self._forget(each.key) for each in self._queue.expire(now=now)]

    def find_displaced(self) -> Attempt | None:
        """Return the attempt to displace from a full queue, or None."""
        waiting = self._queue.find_displaced(limit=-1)
        return None if waiting is None else self._attempts[waiting.key]

    def pop_deferred(self) -> list[Attempt]:
        """Remove and return all attempts that wait for newer facts."""
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
