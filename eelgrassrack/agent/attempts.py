"""The table of all attempts that the agent was given or asked about.

An attempt is kept while it is queued or running and until its bill is settled,
so that its answer can be sent again.  After that only a record of it remains.
"""

import dataclasses
import enum

from ..mailbox.messages import Ended, NotStarted, Refusal, Start
from .records import AttemptRecord, AttemptRecords, ExpiredRecord

# Bytes of ended answers kept in case an entry asks for their pieces again.
MAX_KEPT_BYTES = 8_000_000

# An attempt without a bill is kept for as long as an entry may need to detect
# that a message batch was lost.
UNBILLED_RETENTION_SECONDS = 30.0

# A billed attempt is kept for at least this long after its end, even if its bill
# is settled sooner.  An entry may settle the bill while it still lacks pieces of
# the answer.  If these were dropped at once they could never be sent again, and
# the caller would wait until its deadline for an answer that existed.  Entries
# ask for missing pieces four times a second.
BILLED_RETENTION_SECONDS = 5.0

# How long a non-repeatable attempt may run on after its caller's deadline.
OVERTIME_SECONDS = 120.0


class Phase(enum.Enum):
    """The state of an attempt that is still kept."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One attempt, with all that is needed to run it and to resend its answer.

    `readers` are the mailboxes that receive the pieces: that of the entry which
    sent the attempt, and those of entries whose callers resent the request.
    `owner` is the mailbox of the entry that bills the attempt, `incarnation` is
    the incarnation of that entry, and `ledger` is the ledger that gets the bill.
    `holders` are the ledgers that were given the bill before `ledger`.
    `settled` is true if there is no bill or it is in a ledger.  `is_suspected`
    is true if the endpoint crashed while the attempt ran.  `pieces` is the
    answer so far and `size` its length in bytes.

    Times are seconds of the agent's clock.  `last_piece_at` is when the last
    piece arrived, or the start if there is none yet.  `deferred_until` limits
    how long the attempt waits for newer facts, zero if it never had to wait.
    `bill_sent_at` is when `BillKeeper` last sent the bill to the current ledger,
    zero if it hasn't done so yet.
    """

    start: Start
    readers: tuple[str, ...]
    owner: str
    incarnation: str
    ledger: str
    arrived: float
    deadline: float
    deferred_until: float = 0.0
    phase: Phase = Phase.QUEUED
    began: float = 0.0
    last_piece_at: float = 0.0
    ended_at: float = 0.0
    pieces: list[bytes] = dataclasses.field(default_factory=list)
    size: int = 0
    ended: Ended | None = None
    settled: bool = True
    is_suspected: bool = False
    holders: tuple[str, ...] = ()
    bill_sent_at: float = 0.0

    @property
    def key(self) -> str:
        """Return the attempt's name."""
        return self.start.attempt

    @property
    def cut_at(self) -> float:
        """Return the time at which a running attempt is cut off.

        A non-repeatable attempt runs on after its caller's deadline.  Cutting it
        would leave its effect unknown, and a resent request asks for its answer.
        """
        overtime = 0.0 if self.start.repeatable else OVERTIME_SECONDS
        return self.deadline + overtime

    def may_be_forgotten(self, now: float) -> bool:
        """Return whether no entry can still lack a piece of this ended attempt."""
        is_billed = self.ended.bill is not None
        kept = BILLED_RETENTION_SECONDS if is_billed else UNBILLED_RETENTION_SECONDS
        return now - self.ended_at > kept


class Attempts:
    """All attempts by name.

    `live` holds every attempt that is kept, `running` those that run, and
    `unsettled` those that have ended with a bill that isn't settled.
    """

    __slots__ = ("_kept_bytes", "_records", "live", "running", "unsettled")

    def __init__(self, *, now: float) -> None:
        self.live: dict[str, Attempt] = {}
        self.running: dict[str, Attempt] = {}
        self.unsettled: dict[str, Attempt] = {}
        self._records = AttemptRecords(now=now)
        self._kept_bytes = 0

    @property
    def is_full(self) -> bool:
        """Return whether the records have no room for another attempt."""
        return self._records.is_full

    def find(self, *, key: str) -> Attempt | AttemptRecord | ExpiredRecord | None:
        """Return the attempt, its record, or None if it is unknown."""
        return self.live.get(key) or self._records.find(key=key)

    def find_by_phase(self, phase: Phase) -> list[Attempt]:
        """Return the live attempts in this phase, in order of arrival."""
        return [each for each in self.live.values() if each.phase is phase]

    def add(self, attempt: Attempt) -> bool:
        """Add a queued attempt; return false if its name was used before."""
        if self.find(key=attempt.key) is not None:
            return False
        self.live[attempt.key] = attempt
        return True

    def add_tombstone(self, *, key: str, refusal: Refusal, now: float) -> NotStarted:
        """Record that an attempt will never start; return the message that says so.

        The attempt must be queued or unknown.
        """
        self.live.pop(key, None)
        message = NotStarted(attempt=key, refusal=refusal)
        self._records.add(key=key, message=message, now=now)
        return message

    def begin(self, attempt: Attempt, *, now: float) -> bool:
        """Mark an attempt as running; return false unless it was queued."""
        queued = self.live.get(attempt.key) is attempt
        if not queued or attempt.phase is not Phase.QUEUED:
            return False
        attempt.phase = Phase.RUNNING
        self.running[attempt.key] = attempt
        attempt.began = attempt.last_piece_at = now
        return True

    def keep_piece(self, attempt: Attempt, piece: bytes) -> int:
        """Store a piece of the answer and return its number."""
        attempt.pieces.append(piece)
        attempt.size += len(piece)
        self._kept_bytes += len(piece)
        return len(attempt.pieces) - 1

    def end(self, attempt: Attempt, *, ended: Ended, now: float) -> None:
        """Mark a running attempt as ended."""
        attempt.phase = Phase.ENDED
        del self.running[attempt.key]
        attempt.ended = ended
        attempt.ended_at = now
        attempt.settled = ended.bill is None
        if ended.bill is not None:
            self.unsettled[attempt.key] = attempt
        self._evict_pieces()

    def settle(self, *, key: str, now: float) -> None:
        """Note that the bill of an attempt is in a ledger."""
        attempt = self.live.get(key)
        if attempt is None or attempt.phase is not Phase.ENDED:
            return
        attempt.settled = True
        self.unsettled.pop(key, None)
        if attempt.may_be_forgotten(now):
            self._forget(attempt, now)

    def expire(self, *, now: float) -> None:
        """Drop attempts and records that nobody can ask for any more."""
        old = [
            attempt
            for attempt in self.find_by_phase(Phase.ENDED)
            if attempt.settled and attempt.may_be_forgotten(now)
        ]
        for attempt in old:
            self._forget(attempt, now)
        self._records.expire(now=now)

    def forget_records(self) -> None:
        """Drop all records; only a new incarnation may do so."""
        self._records.clear()

    def _forget(self, attempt: Attempt, now: float) -> None:
        del self.live[attempt.key]
        self._drop_pieces(attempt)
        message = Ended(
            attempt=attempt.key,
            finish=attempt.ended.finish,
            pieces=attempt.ended.pieces,
            digest=attempt.ended.digest,
            status=attempt.ended.status,
            reason=attempt.ended.reason,
        )
        self._records.add(key=attempt.key, message=message, now=now)

    def _drop_pieces(self, attempt: Attempt) -> None:
        self._kept_bytes -= attempt.size
        attempt.size = 0
        attempt.pieces.clear()

    def _evict_pieces(self) -> None:
        """Drop the pieces of the oldest ended answers when they take too much space.

        Their bills are kept.  An entry that asks for a dropped piece is told that
        the answer was cut off.
        """
        if self._kept_bytes <= MAX_KEPT_BYTES:
            return
        for attempt in self.find_by_phase(Phase.ENDED)[:-1]:
            self._drop_pieces(attempt)
            if self._kept_bytes <= MAX_KEPT_BYTES:
                return
