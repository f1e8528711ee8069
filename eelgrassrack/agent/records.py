"""Records of attempts that are no longer kept.

What the agent has said about an attempt must stay true.  An attempt that was
refused, or that an entry asked about before it arrived, never starts; the record
of this is a tombstone.  An attempt that started never starts again, and the agent
never says that it didn't run.

Each record is kept for an hour.  After that the agent still remembers the digest
of an attempt that started, for as long as this incarnation lives: an entry may ask
about a claim days later, and the answer "never seen" would let the request run
twice.  A refusal can be dropped after an hour, because no entry sends a start that
old: an entry that was paused for so long detects the pause before it acts.  When
the digests are full the agent accepts no starts until it continues as a new
incarnation, which says that it knows nothing of the old one's attempts.
"""

import dataclasses

from ..mailbox.messages import Ended, NotStarted, Refusal
from .digests import Digests

# Four times the longest deadline.
RECORD_TTL_SECONDS = 3600.0

# At about 300 bytes per record these take 6 MB.
MAX_RECORDS = 20_000

# These take four megabytes.  At an engine's usual three requests per second they
# last for two days, longer than most instances live.
MAX_DIGESTS = 500_000


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, eq=False)
class AttemptRecord:
    """The final message about an attempt that is no longer kept.

    With `NotStarted` it is a tombstone: the attempt must never start.
    `recorded_at` is in seconds of the agent's clock.
    """

    message: NotStarted | Ended
    recorded_at: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, eq=False)
class ExpiredRecord:
    """An attempt that started, and whose record with the outcome has expired."""


class AttemptRecords:
    """Records by attempt, the oldest first."""

    __slots__ = (
        "_by_attempt",
        "_refused",
        "_refused_previous",
        "_rotated_at",
        "_started",
    )

    def __init__(self, *, now: float) -> None:
        self._by_attempt: dict[str, AttemptRecord] = {}
        self._rotated_at = now
        self.clear()

    @property
    def is_full(self) -> bool:
        """Return whether there is no room for another digest."""
        return max(len(self._started), len(self._refused)) >= MAX_DIGESTS

    def find(self, *, key: str) -> AttemptRecord | ExpiredRecord | None:
        """Return the record of an attempt, or None if it is unknown."""
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
        """Record the final message about an attempt."""
        self._by_attempt[key] = AttemptRecord(message=message, recorded_at=now)
        while len(self._by_attempt) > MAX_RECORDS:
            self._compact_oldest(keeps_refusal=True)

    def expire(self, *, now: float) -> None:
        """Reduce records older than an hour to digests, and drop old refusals."""
        while self._by_attempt:
            oldest = next(iter(self._by_attempt.values()))
            if now - oldest.recorded_at <= RECORD_TTL_SECONDS:
                break
            self._compact_oldest(keeps_refusal=False)
        if now - self._rotated_at > RECORD_TTL_SECONDS:
            self._rotated_at = now
            self._refused_previous, self._refused = self._refused, Digests()

    def clear(self) -> None:
        """Drop all records; only a new incarnation may do so."""
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
