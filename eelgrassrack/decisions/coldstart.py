"""How much an endpoint in a cold start is given, and how fast that grows.

Load pattern: an engine restarts under full load, or its caches empty
without warning, while dozens of requests wait for it.  Without this module
all of them reach it at once, it falls over, restarts, and falls over again.

The window begins at what a cold endpoint bears (its pool's
`cold_concurrency`) and grows by half in each round of whole answers up to
what a warm one bears (`concurrency`).  It falls back at once on any sign of
a cold start.  An agent that is itself new knows nothing of the engine, so
it begins cold too.  While the engine itself says that it is cold, whole
answers prove nothing and the window stays at its floor.

What an engine bore before it was idle says nothing of what it bears now: it may
have restarted between two looks at it, and no answer broke off.  So work that
finds it idle gets the floor until the engine has been looked at.
"""

import enum

# Each whole answer adds half a slot, so a round of as many answers as the
# window holds makes it grow by half: 2 becomes 16 in six rounds.  Doubling
# (a whole slot) would overshoot the bearable load by up to as much again.
GROWTH = 0.5

# The window reaches its ceiling no sooner than this after a collapse.
# Without it a burst of answers of a few milliseconds would open the window
# before the engine has loaded anything.  Five seconds are a sixth of the
# default ramp of a returning failure domain, which covers the same warm-up.
SHORTEST_WARM_UP = 5.0


class CollapseReason(enum.Enum):
    """Why a window falls to its floor."""

    ENGINE_RESTARTED = "engine_restarted"
    REPORTED_COLD = "reported_cold"
    AGENT_NEW = "agent_new"
    ENGINE_FAILED = "engine_failed"


class Window:
    """How many requests an endpoint is given at once.

    It doesn't grow while `is_growth_paused`: the endpoint reports a cold start.  While
    `is_unprobed` the endpoint hasn't been looked at since it was idle.
    """

    __slots__ = (
        "_exact",
        "_since",
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
        self._exact = float(self.floor)
        self._since = now

    @property
    def size(self) -> int:
        """Return how many requests may run at once."""
        return int(self._exact)

    @property
    def is_cold(self) -> bool:
        """Tell whether the endpoint gets less than a warm one."""
        return self.size < self.ceiling

    @property
    def limit(self) -> int:
        """Return how many requests may run at once by what is known just now."""
        return min(self.size, self.floor) if self.is_unprobed else self.size

    @property
    def needs_probe(self) -> bool:
        """Tell whether a look at the endpoint may let more requests start."""
        return self.limit < self.size

    def count_free(self, *, running: int) -> int:
        """Return how many more requests may start."""
        return max(self.limit - running, 0)

    def complete(self, *, now: float, began: float | None = None) -> None:
        """Grow after a whole answer.

        Pass `began` to leave out an answer that began before the last
        collapse: it shows what the engine bore before, not what it bears.
        """
        # An engine that still reports a cold start answers one request after
        # the other.  Growing on those would give it two at once, it would
        # crash, and both callers would lose their answers.
        if self.is_growth_paused or (began is not None and began < self._since):
            return
        warm_up = min(max(now - self._since, 0.0) / SHORTEST_WARM_UP, 1.0)
        allowed = self.floor + (self.ceiling - self.floor) * warm_up
        grown = min(self._exact + GROWTH, allowed)
        self._exact = max(self._exact, grown)

    def collapse(self, *, now: float, reason: CollapseReason) -> None:
        """Fall to the floor at once."""
        self.reason = reason
        self._exact = float(self.floor)
        self._since = now

    def resize(self, *, floor: int, ceiling: int) -> None:
        """Take over new bounds; a higher ceiling has to be grown into."""
        self.floor = max(floor, 1)
        self.ceiling = max(ceiling, self.floor)
        self._exact = min(max(self._exact, self.floor), self.ceiling)
