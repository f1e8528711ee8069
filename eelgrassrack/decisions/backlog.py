"""The prompts that an engine has yet to read (prefill), in seconds by urgency.

Under overload engines have seconds of long prompts to read, most of them of low rank,
but they read urgent prompts first, so a short question of high rank hardly waits.  An
estimate that counted the whole queue would rule out the better models for it, though
its prompt costs the engine a fiftieth of a long one, and the caller would get a
worthless answer from the cheapest model.
"""

from collections.abc import Iterable

import msgspec

from .urgency import RANKS

# Upper bound on the wait for a less urgent prompt that is already being read, since the
# engine doesn't interrupt it: half of a long prompt's time with the best model.
IN_PROGRESS_SECONDS = 0.1

# Weight of less urgent prompts when engines are compared: they don't delay the request,
# but the request delays them.
BEHIND_WEIGHT = 0.2

# Smaller values are rounding errors of work that has ended.
ROUNDING_SECONDS = 1e-6


class Split(msgspec.Struct, frozen=True):
    """Seconds of prompts that an engine reads `ahead` of a request and `behind` it."""

    ahead: float
    behind: float

    @property
    def wait(self) -> float:
        """Return the seconds until the engine starts to read the request."""
        return self.ahead + min(self.behind, IN_PROGRESS_SECONDS)

    @property
    def burden(self) -> float:
        """Return the weighted seconds by which engines are compared."""
        return self.ahead + self.behind * BEHIND_WEIGHT


class ReadingBacklog:
    """Seconds of prompts to read, by urgency; 0 is the most urgent."""

    __slots__ = ("_seconds",)

    def __init__(self, parts: Iterable[tuple[int, float]] = ()) -> None:
        self._seconds = [0.0] * RANKS
        for urgency, seconds in parts:
            self.add(urgency, seconds)

    def add(self, urgency: int, seconds: float) -> None:
        """Add prompts of an urgency, or remove them if `seconds` is negative."""
        self._seconds[urgency] += seconds

    @property
    def whole(self) -> float:
        """Return the seconds of all prompts."""
        return sum(self._seconds)

    def split(self, urgency: int) -> "Split":
        """Split the backlog into what precedes and follows a request of an urgency."""
        ahead = sum(self._seconds[: urgency + 1])
        return Split(ahead, self.whole - ahead)

    def list_parts(self) -> list[tuple[int, float]]:
        """Return (urgency, seconds) of each urgency that has prompts to read."""
        return [
            (urgency, seconds)
            for urgency, seconds in enumerate(self._seconds)
            if seconds > ROUNDING_SECONDS
        ]
