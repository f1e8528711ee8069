"""What an engine still has to read, by how urgent it is.

Load pattern: under overload engines have seconds of long prompts to read, most
of them of a low rank.  An engine reads the urgent ones first, so that a short
question with a high rank waits for hardly anything.  Whoever takes the whole
queue for its wait takes a better model for out of reach, though its answer
costs the engine a fiftieth of what a long prompt does, and gives the caller an
answer of the cheapest one that is worth nothing.
"""

from collections.abc import Iterable

import msgspec

from .urgency import RANKS

# A prompt that is being read isn't put aside for a more urgent one: half of a
# long prompt's time with the best model.
UNDER_WAY_SECONDS = 0.1

# What is less urgent counts by this part when engines are compared: it doesn't
# hold the request up, but the request holds it up.
BEHIND_PART = 0.2

# Less is what rounding leaves of work that has ended.
LEAST_SECONDS = 1e-6


class Split(msgspec.Struct, frozen=True):
    """Seconds of reading `ahead` of a request and `behind` it."""

    ahead: float
    behind: float

    @property
    def wait(self) -> float:
        """Return the seconds before the request is read."""
        return self.ahead + min(self.behind, UNDER_WAY_SECONDS)

    @property
    def burden(self) -> float:
        """Return the seconds by which engines are compared for the request."""
        return self.ahead + self.behind * BEHIND_PART


class ReadingBacklog:
    """Seconds of reading by urgency, 0 for the most urgent."""

    __slots__ = ("_seconds",)

    def __init__(self, parts: Iterable[tuple[int, float]] = ()) -> None:
        self._seconds = [0.0] * RANKS
        for urgency, seconds in parts:
            self.add(urgency, seconds)

    def add(self, urgency: int, seconds: float) -> None:
        """Count more to read, or less where `seconds` is negative."""
        self._seconds[urgency] += seconds

    @property
    def whole(self) -> float:
        """Return the seconds of all there is to read."""
        return sum(self._seconds)

    def split(self, urgency: int) -> "Split":
        """Return what is read before a request of an urgency, and after it."""
        ahead = sum(self._seconds[: urgency + 1])
        return Split(ahead, self.whole - ahead)

    def list_parts(self) -> list[tuple[int, float]]:
        """Return the seconds of each urgency of which there are any."""
        return [
            (urgency, seconds)
            for urgency, seconds in enumerate(self._seconds)
            if seconds > LEAST_SECONDS
        ]
