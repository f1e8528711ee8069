"""Arrival times of requests: a Poisson process whose rate follows the phases.

Arrivals don't wait for answers (open loop).  A closed loop would slow down
together with the system under load and hide the delays that callers see.
"""

import bisect
import itertools
import random
from collections.abc import Iterator

import msgspec

from .workload import Plan, RequestKind


class Arrival(msgspec.Struct, kw_only=True, frozen=True):
    """One request, to be sent `at` seconds after the start of the run."""

    at: float
    kind: RequestKind


class Schedule:
    """The expected number of arrivals of one kind over time, and its inverse."""

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
        """Return the expected number of arrivals in the whole run."""
        return self._counts[-1]

    def find_time(self, count: float) -> float | None:
        """Return the time in seconds by which `count` arrivals are expected.

        None means that the run ends before.
        """
        if count >= self.total:
            return None
        phase = bisect.bisect_right(self._counts, count) - 1
        return self._starts[phase] + (count - self._counts[phase]) / self._rates[phase]


def draw_arrivals(*, plan: Plan) -> list[Arrival]:
    """Return the arrivals of a run by time, at most `most_requests` of them."""
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
    """Draw the arrivals of one kind.

    A Poisson process of rate 1 is mapped to the rates of the phases.
    """
    schedule = Schedule(plan=plan, kind=kind)
    count = rng.expovariate(1.0)
    while (at := schedule.find_time(count)) is not None:
        yield Arrival(at=at, kind=kind)
        count += rng.expovariate(1.0)
