"""Slow start: a concurrency window for an endpoint in a cold start.

If an engine restarts under full load, or loses its caches, dozens of waiting requests
would reach it at once; it would crash, restart, and crash again.

The window begins at the pool's `cold_concurrency` and grows by half with each round of
complete answers, up to `concurrency`.  Any sign of a cold start resets it at once.  A
new agent knows nothing of its engine, so it begins cold too.  While the engine reports
a cold start, complete answers prove nothing and the window stays at its floor.

An engine that was idle may have restarted between two probes without breaking off an
answer.  Requests that reach an idle engine therefore get the floor until it was probed.
"""

import enum

# Slots added per complete answer.  A round of answers, as many as the window holds,
# thus enlarges the window by half: from 2 to 16 in six rounds.  A whole slot per answer
# would double it, and overshoot the load that the engine can handle by up to as much
# again.
SLOTS_PER_ANSWER = 0.5

# Minimum time from a collapse until the window reaches its ceiling.  Otherwise a burst
# of answers that take a few milliseconds would open the window before the engine has
# loaded anything.  Five seconds are a sixth of the default ramp of a returning failure
# domain, which covers the same warm-up.
MIN_WARM_UP_SECONDS = 5.0


class CollapseReason(enum.Enum):
    """Why a window collapsed to its floor."""

    ENGINE_RESTARTED = "engine_restarted"
    REPORTED_COLD = "reported_cold"
    AGENT_NEW = "agent_new"
    ENGINE_FAILED = "engine_failed"


class Window:
    """The number of requests that an endpoint may run at once.

    `is_growth_paused` is set while the endpoint reports a cold start, `is_unprobed`
    while it hasn't been probed since it was idle.  `reason` is that of the last
    collapse.
    """

    __slots__ = (
        "_collapsed_at",
        "_slots",
        "ceiling",
        "floor",
        "is_growth_paused",
        "is_unprobed",
        "reason",
    )

    def __init__(self, *, floor: int, ceiling: int, now: float) -> None:
        self.floor = max(floor, 1)
        self.ceiling = max(ceiling, self.floor)
        self.is_growth_paused = False
        self.is_unprobed = False
        self.reason = CollapseReason.AGENT_NEW
        self._slots = float(self.floor)
        self._collapsed_at = now

    @property
    def size(self) -> int:
        """Return the size of the window in requests."""
        return int(self._slots)

    @property
    def is_cold(self) -> bool:
        """Return whether the window is smaller than that of a warm endpoint."""
        return self.size < self.ceiling

    @property
    def limit(self) -> int:
        """Return how many requests may run now: the floor until it was probed."""
        return min(self.size, self.floor) if self.is_unprobed else self.size

    @property
    def needs_probe(self) -> bool:
        """Return whether a probe of the endpoint might allow more requests."""
        return self.limit < self.size

    def count_free(self, *, running: int) -> int:
        """Return how many more requests may start besides those `running`."""
        return max(self.limit - running, 0)

    def complete(self, *, now: float, began: float | None = None) -> None:
        """Grow after a complete answer.

        An answer that `began` before the last collapse is ignored: it shows what the
        engine could handle before.
        """
        # An engine that still reports a cold start answers one request after the
        # other.  If the window grew on those answers, the engine would get two
        # requests at once and crash, and both callers would lose their answers.
        if self.is_growth_paused or (began is not None and began < self._collapsed_at):
            return
        warm_up = min(max(now - self._collapsed_at, 0.0) / MIN_WARM_UP_SECONDS, 1.0)
        allowed = self.floor + (self.ceiling - self.floor) * warm_up
        grown = min(self._slots + SLOTS_PER_ANSWER, allowed)
        self._slots = max(self._slots, grown)

    def collapse(self, *, now: float, reason: CollapseReason) -> None:
        """Reset the window to its floor."""
        self.reason = reason
        self._slots = float(self.floor)
        self._collapsed_at = now

    def resize(self, *, floor: int, ceiling: int) -> None:
        """Set new bounds; the window grows into a higher ceiling answer by answer."""
        self.floor = max(floor, 1)
        self.ceiling = max(ceiling, self.floor)
        self._slots = min(max(self._slots, self.floor), self.ceiling)
