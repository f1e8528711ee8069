"""Checks that draining endpoints get no more requests, while faults are injected."""

import time

import msgspec

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

    def __init__(self) -> None:
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
            f"{one.name} got a request {at - one.drained_at:.2f} s after it left"
            for one in self._draining
            for at in runs.get(one.name, ())
            if at > one.drained_at and self._is_bound_over(one.drained_at, at)
        ]

    def _is_bound_over(self, drained_at: float, at: float) -> bool:
        """Return whether the bound has passed since the drain and the last outage."""
        last_outage_end = max(
            (one.ended for one in self._outages if one.began < at), default=0.0
        )
        return at > max(drained_at, last_outage_end) + DRAIN_SECONDS + SLACK_SECONDS
