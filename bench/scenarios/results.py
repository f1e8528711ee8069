"""The outcomes of all calls in one run, and statistics of them."""

import dataclasses
import statistics
from collections.abc import Iterable

from .calls import SendOutcome, SendRecord


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """The outcomes of one run, and the capacity of its endpoints.

    `capacity` is in tokens for the time after the warm-up.  `attempts` counts what
    the entries sent to endpoints, `retries` the attempts after the first one, and
    `crashes` the crashes of engines.
    """

    records: list[SendRecord]
    capacity: float
    seconds: float
    warm_up: float
    attempts: int
    retries: int
    crashes: int

    def select(
        self, *, organisation: str | None = None, kind: str | None = None
    ) -> list[SendRecord]:
        """Return the records after the warm-up, by organisation and kind if given."""
        return [
            one
            for one in self.records
            if one.sent >= self.warm_up
            and organisation in (None, one.organisation)
            and kind in (None, one.kind)
        ]

    def goodput(self) -> float:
        """Return the tokens of complete answers as a share of the capacity."""
        tokens = sum(
            one.tokens
            for one in self.records
            if one.end is SendOutcome.WHOLE and one.ended >= self.warm_up
        )
        return tokens / self.capacity

    def retry_share(self) -> float:
        """Return the ratio of the entries' retries to their first attempts."""
        return self.retries / max(self.attempts - self.retries, 1)


def find_share(records: Iterable[SendRecord], end: SendOutcome) -> float:
    """Return the share of records with the outcome `end`."""
    ends = [one.end is end for one in records]
    return sum(ends) / max(len(ends), 1)


def find_served_seconds(records: Iterable[SendRecord]) -> dict[int, float | None]:
    """Return by call the seconds from first sending it to its complete answer.

    The value is None for a call without a complete answer.
    """
    ends: dict[int, float | None] = {}
    for one in records:
        ends.setdefault(one.call, None)
        if one.end is SendOutcome.WHOLE:
            ends[one.call] = one.ended - one.created_at
    return ends


def percentile(values: Iterable[float], part: float) -> float:
    """Return the percentile `part`, from 0 to 1; NaN if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)]


def list_first_token_seconds(records: Iterable[SendRecord]) -> list[float]:
    """Return the seconds to the first token of each complete answer."""
    return [one.first for one in records if one.end is SendOutcome.WHOLE]


def mean(values: Iterable[float]) -> float:
    """Return the mean of all values that aren't NaN; NaN if there are none."""
    numbers = [value for value in values if value == value]
    return statistics.fmean(numbers) if numbers else float("nan")
