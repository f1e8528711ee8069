"""How an entry's load compares with that of others."""

import math
from collections.abc import Iterable

# An entry has far more than its part with this multiple of the others' mean, unless it
# has few requests a second.
UNEVEN_FACTOR = 3.0
MIN_UNEVEN_RATE = 10.0


class RequestRate:
    """Counts requests, and tells their rate over the last whole `SECONDS`."""

    SECONDS = 1.0

    __slots__ = ("_began", "_count", "_rate")

    def __init__(self, *, now: float) -> None:
        self._began = now
        self._count = 0
        self._rate = 0.0

    def note(self, now: float) -> None:
        """Count a request."""
        self._roll(now)
        self._count += 1

    def find(self, now: float) -> float:
        """Return the requests per second."""
        self._roll(now)
        return self._rate

    def _roll(self, now: float) -> None:
        elapsed = now - self._began
        if elapsed >= self.SECONDS:
            self._rate = self._count / elapsed
            self._count = 0
            self._began = now


def compare_load(own: float, others: Iterable[float]) -> float:
    """Return how many times the mean of the other entries' rates an entry has.

    Return 1 if there are no others, or if none has any requests.
    """
    rates = tuple(others)
    mean = sum(rates) / len(rates) if rates else 0.0
    return own / mean if mean else 1.0


def is_uneven(own: float, others: Iterable[float]) -> bool:
    """Return whether an entry has far more than its part of the requests."""
    return own >= MIN_UNEVEN_RATE and compare_load(own, others) >= UNEVEN_FACTOR


class RecentRate:
    """The rate of requests, of which the latest `SECONDS` count most."""

    SECONDS = 0.5

    __slots__ = ("_at", "_count")

    def __init__(self) -> None:
        self._at = 0.0
        self._count = 0.0

    def note(self, amount: float, now: float) -> None:
        """Count `amount` requests."""
        self._count = self._fade(now) + amount
        self._at = now

    def find(self, now: float) -> float:
        """Return the requests per second."""
        return self._fade(now) / self.SECONDS

    def _fade(self, now: float) -> float:
        return self._count * math.exp((self._at - now) / self.SECONDS)
