"""Which endpoints take far longer than others for the same work.

Load pattern: some of a service's endpoints turn four times as slow for some
seconds, and answer everything well.  Weighed by what they have to do, as the
others are, they get their full share of requests, and all of these are late:
an eighth of the endpoints makes an eighth of all callers wait.

Each answer tells how long its first piece took against what was expected.  One
answer says little, since prompts differ and expectations are rough; what all
entries saw of an endpoint within the last seconds says enough.  It is compared
with the other endpoints of its service, since a fault of the expectation, or of
the path, meets them all.
"""

import math
import statistics
from collections.abc import Mapping

import msgspec

# Seconds after which an answer counts half: slow phases last some seconds, and
# an endpoint that is fast again should get its share back soon.
HALF_LIFE = 1.0

# One answer counts up to e times too fast and e^2.5, twelve times, too slow, so
# that none decides alone.
FASTEST = -1.0
SLOWEST = 2.5

# Answers that speak for an endpoint as usual before any was seen.
PRIOR = 1.0

# With fewer answers an endpoint isn't judged, nor with fewer endpoints beside.
LEAST_ANSWERS = 2.0
LEAST_ENDPOINTS = 3

# From this factor on an endpoint counts as slow.  With a dozen answers each the
# means of sound ones lie within 1.5 of each other.
LEAST_FACTOR = 1.8


class Timing(msgspec.Struct, frozen=True):
    """Answers of an endpoint, and the sum of their logarithms of slowness."""

    answers: float = 0.0
    total: float = 0.0

    def __add__(self, other: "Timing") -> "Timing":
        """Return what both saw."""
        return Timing(self.answers + other.answers, self.total + other.total)

    def fade(self, seconds: float) -> "Timing":
        """Return what is left of it after so many seconds."""
        part = 0.5 ** (seconds / HALF_LIFE)
        return Timing(self.answers * part, self.total * part)

    def note(self, *, seen: float, expected: float) -> "Timing":
        """Return it with one more answer; both times are seconds."""
        ratio = math.log(max(seen, 1e-3) / max(expected, 1e-3))
        ratio = min(max(ratio, FASTEST), SLOWEST)
        return Timing(self.answers + 1.0, self.total + ratio)

    @property
    def mean(self) -> float:
        """Return the mean logarithm, drawn towards the usual by few answers."""
        return self.total / (self.answers + PRIOR)


def find_slow(timings: Mapping[str, Timing]) -> dict[str, float]:
    """Return how many times as slow as the others an endpoint is, if it is.

    `timings` holds those of one service's endpoints.
    """
    judged = {
        name: timing
        for name, timing in timings.items()
        if timing.answers >= LEAST_ANSWERS
    }
    if len(judged) < LEAST_ENDPOINTS:
        return {}
    usual = statistics.median(timing.mean for timing in judged.values())
    factors = {name: math.exp(timing.mean - usual) for name, timing in judged.items()}
    return {name: one for name, one in factors.items() if one >= LEAST_FACTOR}
