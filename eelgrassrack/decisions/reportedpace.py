"""How long work takes at an endpoint, by what the endpoint itself reports.

Endpoints of one service differ in speed for good, and share their instances with
others, so that each is slow for parts of a second at a time.  An endpoint that says so
in its answers needn't be found out by late ones.

A report is of one moment.  The lasting pace is the median of reports that lie far
enough apart to be of different moments.  What the latest report differs from it by is
a passing phase, and counts less the older the report is: by the time that several
phases last, it tells nothing.

A report may be missing, garbled or false.  What lies outside the bounds counts as the
bound, and an endpoint whose answers take far longer than its reports say, compared with
others, is found by `slowness` all the same, which multiplies with this.
"""

import collections
import math
import statistics

# Paces are multiples of the usual time.  Beyond these bounds a report isn't believed.
FASTEST = 0.5
SLOWEST = 4.0

# Reports that lie this far apart are of different phases.
APART_SECONDS = 0.5

# The lasting pace is the median of so many of these.
REPORTS = 7

# Mean duration of a passing phase.
PHASE_SECONDS = 0.4

# A phase of a report that is older than this is over.
OVER_SECONDS = 2.0


class ReportedPace:
    """The pace of one lifetime of an endpoint; times are in seconds."""

    __slots__ = ("_latest", "_latest_at", "_noted_at", "_reports", "lasting")

    def __init__(self) -> None:
        self._reports: collections.deque[float] = collections.deque(maxlen=REPORTS)
        self._noted_at = -math.inf
        self._latest = 1.0
        self._latest_at = -math.inf
        self.lasting = 1.0

    def note(self, stretch: float, *, now: float) -> float:
        """Note a report that has just arrived; return it within the bounds."""
        bounded = _bound(stretch)
        if now >= self._noted_at + APART_SECONDS:
            self._noted_at = now
            self._reports.append(bounded)
            self.lasting = statistics.median_low(self._reports)
        self._latest = bounded
        self._latest_at = now
        return bounded

    def find(self, now: float) -> float:
        """Return how long work that begins now probably takes, as a multiple."""
        age = now - self._latest_at
        # A phase only slows.  If a report could make an endpoint look faster than those
        # of its kind, all entries that heard it would send there at once.
        if self._latest <= self.lasting or age > OVER_SECONDS:
            return self.lasting
        part = math.exp(-max(age, 0.0) / PHASE_SECONDS)
        return self.lasting + (self._latest - self.lasting) * part


def _bound(stretch: float) -> float:
    return min(max(stretch, FASTEST), SLOWEST)
