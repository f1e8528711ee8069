"""Outlier detection by latency: endpoints that take far longer for the same work.

Some endpoints of a service may become four times as slow for some seconds while they
answer everything correctly.  If they were compared only by their backlog they would get
their full share of requests, all of them late: an eighth of the endpoints would delay
an eighth of all callers.

Each answer yields the ratio of the measured to the expected time of its first piece.  A
single answer tells little, because prompts differ and estimates are rough, but the
answers that all entries received from an endpoint in the last seconds tell enough.  An
endpoint is compared with the others of its service, since a wrong estimate or a slow
network path affects them all.
"""

import math
import statistics
from collections.abc import Mapping

import msgspec

# Half-life of an answer's weight: slow phases last some seconds, and an endpoint that
# is fast again should soon get its share back.
HALF_LIFE_SECONDS = 1.0

# Bounds of an answer's logarithmic ratio, so that no single answer decides: e times too
# fast, and e^2.5 (twelve) times too slow.
MIN_LOG_RATIO = -1.0
MAX_LOG_RATIO = 2.5

# Weight, in answers, of the prior assumption that an endpoint is as fast as usual.
PRIOR_ANSWERS = 1.0

# Minimum number of answers of an endpoint, and of such endpoints, for a comparison.
MIN_ANSWERS = 2.0
MIN_ENDPOINTS = 3

# Minimum factor at which an endpoint counts as slow.  With a dozen answers each, the
# means of healthy endpoints differ by a factor of up to 1.5.
SLOW_FACTOR = 1.8


class Timing(msgspec.Struct, frozen=True):
    """The weight of an endpoint's answers, and the sum of their logarithmic ratios."""

    answers: float = 0.0
    total: float = 0.0

    def __add__(self, other: "Timing") -> "Timing":
        """Return the sum of both timings."""
        return Timing(self.answers + other.answers, self.total + other.total)

    def fade(self, seconds: float) -> "Timing":
        """Return the timing with its weight decayed by `seconds`."""
        part = 0.5 ** (seconds / HALF_LIFE_SECONDS)
        return Timing(self.answers * part, self.total * part)

    def note(self, *, seen: float, expected: float) -> "Timing":
        """Return the timing with one more answer; both times are in seconds."""
        ratio = math.log(max(seen, 1e-3) / max(expected, 1e-3))
        ratio = min(max(ratio, MIN_LOG_RATIO), MAX_LOG_RATIO)
        return Timing(self.answers + 1.0, self.total + ratio)

    @property
    def mean(self) -> float:
        """Return the mean logarithmic ratio, which is near zero for few answers."""
        return self.total / (self.answers + PRIOR_ANSWERS)


def find_slow(timings: Mapping[str, Timing]) -> dict[str, float]:
    """Return the slow endpoints with their slowness relative to the others.

    `timings` holds the timings of one service's endpoints by name.
    """
    measured = {
        name: timing
        for name, timing in timings.items()
        if timing.answers >= MIN_ANSWERS
    }
    if len(measured) < MIN_ENDPOINTS:
        return {}
    usual = statistics.median(timing.mean for timing in measured.values())
    factors = {name: math.exp(timing.mean - usual) for name, timing in measured.items()}
    return {name: factor for name, factor in factors.items() if factor >= SLOW_FACTOR}
