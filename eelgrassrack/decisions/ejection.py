"""Outlier detection: ejects endpoints that fail or are slow.

An endpoint that fails every request at once looks idle and would attract more and more
load; one that is ten times slower than its peers would keep its callers waiting.

An endpoint is ejected after consecutive failures, or if its average time to the first
piece of an answer is far above that of its group.  After the ejection it is tried with
one request at a time; each further ejection lasts longer.  If less than half of the
endpoints would remain, the cause is probably common to all.  Ejections are then
ignored, since the few that remain would be overloaded and fail too.
"""

import math
from collections.abc import Sequence

from .candidate import Candidate

# Consecutive failures that eject an endpoint.  A healthy endpoint with an error rate of
# 5% reaches three by chance once in 8,000 requests.
FAILURES_TO_EJECT = 3

# An endpoint is slow at three times its group's average time.  Differences between
# prompts of usual length stay below that when averaged over a few answers.
SLOW_FACTOR = 3.0

# Weight of a new answer in an endpoint's average, which thus covers about eight
# answers, and the number of answers before the average counts.
AVERAGE_WEIGHT = 1 / 8
MIN_SAMPLES = 8

# The group's average moves more slowly than an endpoint's, so that a slow endpoint
# hardly raises the average that it is compared with.
GROUP_WEIGHT = 1 / 128

# The first ejection lasts as long as a short engine restart.  Each further one lasts
# twice as long, up to a minute, so that a repaired endpoint is soon used again.
MIN_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
MAX_DOUBLINGS = 4

# Complete answers, one at a time, that end the trial after an ejection.
TRIAL_ANSWERS = 3

# Ejections are ignored if less than this share of the endpoints would remain.
MIN_USABLE_SHARE = 0.5

# Lower bound of an answer's time, such as one from a cache, since logarithms are
# averaged.
MIN_SECONDS = 1e-4


class Record:
    """The failures, times and ejections of one endpoint.

    `average` is that of the logarithms of seconds; `until` is when the latest
    ejection ends.
    """

    __slots__ = (
        "average",
        "ejections",
        "failures",
        "samples",
        "trials",
        "until",
    )

    def __init__(self) -> None:
        self.average = 0.0
        self.samples = 0
        self.failures = 0
        self.ejections = 0
        self.trials = 0
        self.until = float("-inf")


class Ejection:
    """Eject endpoints that fail or are slow, and retry them one request at a time."""

    __slots__ = ("_ejected", "_groups", "_records")

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._ejected: set[str] = set()
        self._groups: dict[str, float] = {}

    def select(
        self, *, candidates: Sequence[Candidate], now: float
    ) -> Sequence[Candidate]:
        """Return the endpoints that may get a request."""
        if not self._ejected:
            return candidates
        usable = [
            candidate
            for candidate in candidates
            if candidate.name not in self._ejected or self._may_try(candidate, now=now)
        ]
        if len(usable) < len(candidates) * MIN_USABLE_SHARE:
            return candidates
        return usable

    def is_ejected(self, *, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is ejected and may not yet be tried again."""
        return endpoint in self._ejected and now < self._records[endpoint].until

    def note(
        self, *, endpoint: str, group: str, succeeded: bool, seconds: float, now: float
    ) -> None:
        """Learn from the end of a request; `seconds` is the time to its first piece."""
        record = self._records.get(endpoint)
        if record is None:
            record = self._records[endpoint] = Record()
        if not succeeded:
            self._note_failure(endpoint=endpoint, record=record, now=now)
            return
        if self.is_ejected(endpoint=endpoint, now=now):
            return
        record.failures = 0
        on_trial = endpoint in self._ejected
        required = TRIAL_ANSWERS if on_trial else MIN_SAMPLES
        slow = self._note_seconds(group=group, record=record, seconds=seconds)
        if slow and record.samples >= required:
            self._eject(endpoint=endpoint, record=record, now=now)
        elif on_trial:
            self._note_trial(endpoint=endpoint, record=record)

    def forget(self, *, endpoint: str) -> None:
        """Delete the record of an endpoint."""
        self._records.pop(endpoint, None)
        self._ejected.discard(endpoint)

    def _may_try(self, candidate: Candidate, *, now: float) -> bool:
        """Return whether an ejected endpoint may get a request on trial."""
        return candidate.local == 0 and now >= self._records[candidate.name].until

    def _note_failure(self, *, endpoint: str, record: Record, now: float) -> None:
        record.failures += 1
        on_trial = endpoint in self._ejected and now >= record.until
        if on_trial or record.failures >= FAILURES_TO_EJECT:
            self._eject(endpoint=endpoint, record=record, now=now)

    def _note_seconds(self, *, group: str, record: Record, seconds: float) -> bool:
        """Average the time of an answer; return whether the endpoint is slow."""
        value = math.log(max(seconds, MIN_SECONDS))
        group_average = self._groups.setdefault(group, value)
        self._groups[group] = group_average + (value - group_average) * GROUP_WEIGHT
        record.samples += 1
        weight = max(1 / record.samples, AVERAGE_WEIGHT)
        record.average += (value - record.average) * weight
        return record.average > group_average + math.log(SLOW_FACTOR)

    def _note_trial(self, *, endpoint: str, record: Record) -> None:
        record.trials += 1
        if record.trials >= TRIAL_ANSWERS:
            self._ejected.discard(endpoint)
            record.ejections -= 1

    def _eject(self, *, endpoint: str, record: Record, now: float) -> None:
        """Eject an endpoint; the end of earlier requests doesn't extend an ejection."""
        if endpoint in self._ejected and now < record.until:
            return
        duration = min(MIN_EJECTION_SECONDS * 2**record.ejections, MAX_EJECTION_SECONDS)
        record.until = now + duration
        record.ejections = min(record.ejections + 1, MAX_DOUBLINGS)
        record.trials = 0
        record.samples = 0
        record.failures = 0
        self._ejected.add(endpoint)
