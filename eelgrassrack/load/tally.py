"""Counts and histograms of one organisation and kind."""

import collections
import enum

from hdrh.histogram import HdrHistogram

LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS = 1, 3_600_000_000, 3
MICROSECONDS_PER_SECOND = 1_000_000


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds, up to one hour."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def add_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Add a time to a histogram, clamped to its range."""
    value = int(seconds * MICROSECONDS_PER_SECOND)
    histogram.record_value(min(max(value, LOWEST_US), HIGHEST_US))


class RequestResult(enum.Enum):
    """The final result of a request after all its tries."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    BROKEN = "broken"
    UNKNOWN = "unknown"
    NOT_SENT = "not sent"


class Tally:
    """Counts and times of one organisation and kind.

    Times to the first token and to the whole answer start at the arrival of
    the request and include all its tries and waits, as its caller sees them.
    """

    __slots__ = (
        "codes",
        "first",
        "gaps",
        "refusals",
        "requests",
        "responses",
        "results",
        "tries",
        "versions",
        "waits",
        "whole",
    )

    def __init__(self) -> None:
        self.codes: collections.Counter[str] = collections.Counter()
        self.first = make_histogram()
        self.gaps = make_histogram()
        self.refusals = 0
        self.requests = 0
        self.responses = 0
        self.results: collections.Counter[RequestResult] = collections.Counter()
        self.tries = 0
        self.versions: collections.Counter[str] = collections.Counter()
        self.waits = make_histogram()
        self.whole = make_histogram()

    def add_first(self, seconds: float) -> None:
        """Record the time from arrival to the first token."""
        add_seconds(self.first, seconds)

    def add_gap(self, seconds: float) -> None:
        """Record the time between two tokens."""
        add_seconds(self.gaps, seconds)

    def add_refusal(self, wait: float | None) -> None:
        """Record a refused try and its `Retry-After` in seconds, if it had one."""
        self.refusals += 1
        if wait is not None:
            add_seconds(self.waits, wait)
