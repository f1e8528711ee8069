"""Endpoints that leave while faults go on, and what may reach them then."""

import time

import msgspec

# What a gateway that reaches the store may take to send nothing more, by its
# settings, and what a busy machine adds.
DRAIN_SECONDS = 2.0
SLACK_SECONDS = 1.5


class Outage(msgspec.Struct, kw_only=True):
    """A fault that keeps gateways from hearing of changes; times are steady."""

    began: float
    ended: float


class Leaver(msgspec.Struct, kw_only=True, frozen=True):
    """An endpoint, and when the store took the news that it leaves."""

    name: str
    told_at: float


class Leavers:
    """Which endpoints left when, and when gateways couldn't hear of it."""

    def __init__(self) -> None:
        self._left: list[Leaver] = []
        self._outages: list[Outage] = []

    @property
    def names(self) -> set[str]:
        """Return the names of those that left."""
        return {one.name for one in self._left}

    def note_left(self, name: str) -> None:
        """Note that the store took an endpoint's leaving."""
        self._left.append(Leaver(name=name, told_at=time.monotonic()))

    def begin_outage(self) -> Outage:
        """Note a fault between gateways and the store, or of a gateway."""
        now = time.monotonic()
        outage = Outage(began=now, ended=float("inf"))
        self._outages.append(outage)
        return outage

    def list_late(self, runs: dict[str, list[float]]) -> list[str]:
        """Return what reached an endpoint too late after it began to leave.

        `runs` holds the times of each endpoint's requests.  A request counts
        if gateways had an untroubled time as long as the bound before it.
        """
        return [
            f"{one.name} got a request {at - one.told_at:.2f} s after it left"
            for one in self._left
            for at in runs.get(one.name, ())
            if at > one.told_at and self._had_time(one.told_at, at)
        ]

    def _had_time(self, told_at: float, at: float) -> bool:
        """Tell whether calm lasted for the bound since the news, until now."""
        calm_since = max(
            (one.ended for one in self._outages if one.began < at), default=0.0
        )
        return at > max(told_at, calm_since) + DRAIN_SECONDS + SLACK_SECONDS
