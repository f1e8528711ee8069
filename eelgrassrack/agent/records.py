"""What an agent remembers of attempts that it no longer keeps.

What was once said of an attempt has to stay true: one that was refused, or
that an entry asked about before it came, never starts; one that started
never starts again, and nobody is told that it didn't run.

A record of each is kept for an hour.  After that an attempt that started is
remembered by its digest, for as long as this incarnation lives: an entry
may ask about a claim days later, and "never seen" would let it run twice.
A refusal needs no memory then: no entry sends a start that old, since one
that was paused for so long learns of it before it acts.  When the digests
are full, no start is taken any more, until the agent goes on as another
incarnation, which knows nothing of the old one's attempts and says so.
"""

import dataclasses

from ..mailbox.messages import Ended, NotStarted, Refusal
from .digests import Digests

# Four times the longest deadline.
RECORD_TTL_SECONDS = 3600.0

# At about 300 bytes a record these take 6 MB.
MAX_RECORDS = 20_000

# Four megabytes; at an engine's usual three requests a second they last
# for two days, longer than most instances live.
MAX_DIGESTS = 500_000


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, eq=False)
class AttemptRecord:
    """The last word on an attempt that is no longer kept."""

    message: NotStarted | Ended
    recorded_at: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, eq=False)
class ExpiredRecord:
    """An attempt that started; how it ended is no longer known."""


class AttemptRecords:
    """Records by attempt, the oldest first."""

    __slots__ = (
        "_by_attempt",
        "_refused",
        "_refused_previous",
        "_started",
        "_rotated_at",
    )

    def __init__(self, *, now: float) -> None:
        self._by_attempt: dict[str, AttemptRecord] = {}
        self._rotated_at = now
        self.clear()

    @property
    def is_full(self) -> bool:
        """Tell whether nothing more can be remembered."""
        return max(len(self._started), len(self._refused)) >= MAX_DIGESTS

    def find(self, *, key: str) -> AttemptRecord | ExpiredRecord | None:
        """Return what is remembered of an attempt."""
        record = self._by_attempt.get(key)
        if record is not None:
            return record
        if key in self._started:
            return ExpiredRecord()
        if key in self._refused or key in self._refused_previous:
            message = NotStarted(attempt=key, refusal=Refusal.NEVER_SEEN)
            return AttemptRecord(message=message, recorded_at=self._rotated_at)
        return None

    def add(self, *, key: str, message: NotStarted | Ended, now: float) -> None:
        """Remember the last word on an attempt."""
        self._by_attempt[key] = AttemptRecord(message=message, recorded_at=now)
        while len(self._by_attempt) > MAX_RECORDS:
            self._compact_oldest(keeps_refusal=True)

    def expire(self, *, now: float) -> None:
        """Compact the records of an hour ago."""
        while self._by_attempt:
            oldest = next(iter(self._by_attempt.values()))
            if now - oldest.recorded_at <= RECORD_TTL_SECONDS:
                break
            self._compact_oldest(keeps_refusal=False)
        if now - self._rotated_at > RECORD_TTL_SECONDS:
            self._rotated_at = now
            self._refused_previous, self._refused = self._refused, Digests()

    def clear(self) -> None:
        """Forget everything; only a new incarnation may do so."""
        self._by_attempt.clear()
        self._started = Digests()
        self._refused = Digests()
        self._refused_previous = Digests()

    def _compact_oldest(self, *, keeps_refusal: bool) -> None:
        key = next(iter(self._by_attempt))
        record = self._by_attempt.pop(key)
        if isinstance(record.message, Ended):
            self._started.add(key)
        elif keeps_refusal:
            self._refused.add(key)
