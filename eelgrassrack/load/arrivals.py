"""When requests arrive: a Poisson process whose rate follows the phases.

Arrivals don't wait for answers.  A generator that did would slow down
with the system under load and hide just the waits that callers have.
"""

import bisect
import itertools
import random
from collections.abc import Iterator

import msgspec

from .workload import Plan, RequestKind


class Arrival(msgspec.Struct, kw_only=True, frozen=True):
    """One request to be sent `at` seconds after the start."""

    at: float
    kind: RequestKind


class Schedule:
    """The expected number of a kind's arrivals over time, and its inverse."""

    __slots__ = ("_counts", "_rates", "_starts")

    def __init__(self, *, plan: Plan, kind: RequestKind) -> None:
        phases = plan.phases
        self._rates = [
            kind.requests_per_second * phase.find_factor(kind.name) for phase in phases
        ]
        lengths = [phase.seconds for phase in phases]
        self._starts = list(itertools.accumulate(lengths, initial=0.0))
        expected = (
            rate * length for rate, length in zip(self._rates, lengths, strict=True)
        )
        self._counts = list(itertools.accumulate(expected, initial=0.0))

    @property
    def total(self) -> float:
        """Return how many arrivals the whole run expects."""
        return self._counts[-1]

    def find_time(self, count: float) -> float | None:
        """Return when so many arrivals are expected, or None if never."""
        if count >= self.total:
            return None
        phase = bisect.bisect_right(self._counts, count) - 1
        return self._starts[phase] + (count - self._counts[phase]) / self._rates[phase]


def draw_arrivals(*, plan: Plan) -> list[Arrival]:
    """Return the run's arrivals in order, at most as many as its limits allow."""
    arrivals = [
        arrival
        for number, kind in enumerate(plan.kinds)
        for arrival in itertools.islice(
            _draw_kind(plan, kind, random.Random(f"{plan.limits.seed}-{number}")),
            plan.limits.most_requests,
        )
    ]
    arrivals.sort(key=lambda arrival: arrival.at)
    return arrivals[: plan.limits.most_requests]


def _draw_kind(plan: Plan, kind: RequestKind, rng: random.Random) -> Iterator[Arrival]:
    schedule = Schedule(plan=plan, kind=kind)
    count = rng.expovariate(1.0)
    while (at := schedule.find_time(count)) is not None:
        yield Arrival(at=at, kind=kind)
        count += rng.expovariate(1.0)
