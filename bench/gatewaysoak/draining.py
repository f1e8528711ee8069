"""Checks that draining endpoints get no more requests, while faults are injected."""

import time

import msgspec

from .lateness import Lateness, format_wall_time

# How long a gateway that reaches the store may still send requests to a draining
# endpoint according to its settings, and what a busy machine adds.
DRAIN_SECONDS = 2.0
SLACK_SECONDS = 1.5


class Outage(msgspec.Struct, kw_only=True):
    """A fault that keeps gateways from learning of changes; times are monotonic."""

    began: float
    ended: float


class DrainingEndpoint(msgspec.Struct, kw_only=True, frozen=True):
    """An endpoint, and the monotonic time at which the store listed it as draining."""

    name: str
    drained_at: float


class DrainTracker:
    """Records when endpoints began to drain, and outages that hide it from gateways."""

    def __init__(self, lateness: Lateness | None = None) -> None:
        self._lateness = lateness or Lateness()
        self._draining: list[DrainingEndpoint] = []
        self._outages: list[Outage] = []

    @property
    def names(self) -> set[str]:
        """Return the names of the draining endpoints."""
        return {one.name for one in self._draining}

    def note_draining(self, name: str) -> None:
        """Note that the store now lists an endpoint as draining."""
        self._draining.append(DrainingEndpoint(name=name, drained_at=time.monotonic()))

    def begin_outage(self) -> Outage:
        """Note a fault of a gateway, of the store or of a link.

        The caller sets the outage's end.
        """
        now = time.monotonic()
        outage = Outage(began=now, ended=float("inf"))
        self._outages.append(outage)
        return outage

    def list_late(self, runs: dict[str, list[float]]) -> list[str]:
        """List requests that reached an endpoint too long after its drain began.

        `runs` holds the monotonic times of each endpoint's requests.  A request
        is too late if gateways had no outage for the whole bound before it.
        """
        return [
            f"{one.name} got a request {at - one.drained_at:.2f} s after it left, "
            f"{self._describe_time(one.drained_at, at)}"
            for one in self._draining
            for at in runs.get(one.name, ())
            if at > one.drained_at and self._is_bound_over(one.drained_at, at)
        ]

    def _is_bound_over(self, drained_at: float, at: float) -> bool:
        """Return whether the bound has passed since the drain and the last outage."""
        return at > self._find_begin(drained_at, at) + DRAIN_SECONDS + SLACK_SECONDS

    def _find_begin(self, drained_at: float, at: float) -> float:
        """Return when gateways that serve at a time could first learn of a drain."""
        last_outage_end = max(
            (one.ended for one in self._outages if one.began < at), default=0.0
        )
        return max(drained_at, last_outage_end)

    def _describe_time(self, drained_at: float, at: float) -> str:
        """Describe a late request's time, and how late this process was before it."""
        begin = self._find_begin(drained_at, at)
        return (
            f"at {format_wall_time(at)}, {at - begin:.2f} s after the last outage, of "
            f"which the soak was held up for {self._lateness.sum_within(begin, at):.2f}"
            " s"
        )
