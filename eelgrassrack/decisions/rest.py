"""Rest: endpoints that turn a request away and want no further ones for a while.

An endpoint that is overloaded spends its time on turning requests away.  It tells each
sender for how long it wants nothing from it.  A sender that comes back sooner is turned
away again, each time at the cost of a retry, and keeps the endpoint from recovering.

The wish holds for one lifetime of an endpoint, whatever else becomes known of it: its
entry may lapse and come back, and configurations may change.
"""

import math

Lifetime = tuple[str, int]


class RestPeriods:
    """Until when endpoints want no requests, in seconds of the caller's clock."""

    __slots__ = ("_ends",)

    def __init__(self) -> None:
        self._ends: dict[Lifetime, float] = {}

    def note(self, *, lifetime: Lifetime, seconds: float, now: float) -> None:
        """Note that an endpoint asked for rest; of several wishes the longest counts.

        Rests that are over are forgotten.
        """
        self._ends = {key: end for key, end in self._ends.items() if end > now}
        self._ends[lifetime] = max(now + seconds, self.find_end(lifetime))

    def find_end(self, lifetime: Lifetime) -> float:
        """Return the time at which an endpoint's rest ends, or ended.

        It is minus infinity if no rest is known.
        """
        return self._ends.get(lifetime, -math.inf)

    def is_resting(self, lifetime: Lifetime, now: float) -> bool:
        """Return whether an endpoint wants no requests now."""
        return now < self.find_end(lifetime)


def may_wait(*, ends_at: float, due_at: float, deadline: float, has_run: bool) -> bool:
    """Return whether a request waits while all its endpoints rest.

    It waits if it can still be answered in time, by `due_at` and its `deadline`.  One
    that has run, or of which the caller has a part, waits for as long as it has: its
    caller can't simply come again.
    """
    return ends_at < (deadline if has_run else min(due_at, deadline))
