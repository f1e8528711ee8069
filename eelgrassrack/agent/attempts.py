"""The table of all attempts an agent was given or asked about.

An attempt is kept while it waits and runs and until its bill is settled, so
that its answer can be sent again.  After that a record of it remains.
"""

import dataclasses
import enum

from ..mailbox.messages import Ended, NotStarted, Refusal, Start
from .records import AttemptRecord, AttemptRecords, ExpiredRecord

# Bytes of answers kept for entries that may ask for them again.
MAX_KEPT_BYTES = 8_000_000

# An answer that wasn't whole is kept as long as an entry may need to notice
# that a parcel was lost.
FAILED_RETENTION_SECONDS = 30.0

# A whole answer is kept for so long after its end at least, though its bill
# may be settled sooner.  The entry settles the bill of an answer of which it
# still lacks pieces; forgotten at once, these could never be sent again, and
# the caller would wait until its deadline for an answer that was there.
# Entries ask for missing pieces four times a second.
BILLED_RETENTION_SECONDS = 5.0

# What may not be repeated runs on for so long after its caller's deadline.
OVERTIME_SECONDS = 120.0


class Phase(enum.Enum):
    """How far an attempt has come."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One attempt and what is needed to run and to repeat it.

    `readers` are the mailboxes that get the pieces: that of the entry that
    sent it, and of others whose callers sent the same request again.
    `owner` is the mailbox of the entry that bills it, `incarnation` that
    entry's and `ledger` the ledger that gets the bill.
    `settled` tells that nobody waits for a bill of it any more, `holders`
    which ledgers were given the bill before `ledger`.  `is_suspected`
    tells that the endpoint died while it ran.
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
        """Return when a running attempt is cut at the latest.

        Cutting one that may not be repeated at its caller's deadline would
        leave nobody able to say what it did; a resend asks for its answer.
        """
        overtime = 0.0 if self.start.repeatable else OVERTIME_SECONDS
        return self.deadline + overtime

    def may_be_forgotten(self, now: float) -> bool:
        """Tell whether no entry can lack a piece of this ended attempt."""
        is_billed = self.ended.bill is not None
        kept = BILLED_RETENTION_SECONDS if is_billed else FAILED_RETENTION_SECONDS
        return now - self.ended_at > kept


class Attempts:
    """All attempts by name."""

    __slots__ = ("_kept_bytes", "_records", "live", "running", "unsettled")

    def __init__(self, *, now: float) -> None:
        self.live: dict[str, Attempt] = {}
        self.running: dict[str, Attempt] = {}
        self.unsettled: dict[str, Attempt] = {}
        self._records = AttemptRecords(now=now)
        self._kept_bytes = 0

    @property
    def is_full(self) -> bool:
        """Tell whether nothing more can be remembered."""
        return self._records.is_full

    def find(self, *, key: str) -> Attempt | AttemptRecord | ExpiredRecord | None:
        """Return what is known of an attempt."""
        return self.live.get(key) or self._records.find(key=key)

    def find_by_phase(self, phase: Phase) -> list[Attempt]:
        """Return the attempts that have come this far."""
        return [each for each in self.live.values() if each.phase is phase]

    def add(self, attempt: Attempt) -> bool:
        """Take in a queued attempt; return false when its name is known."""
        if self.find(key=attempt.key) is not None:
            return False
        self.live[attempt.key] = attempt
        return True

    def add_tombstone(self, *, key: str, refusal: Refusal, now: float) -> NotStarted:
        """Vow that an attempt never starts, and return what to say of it.

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
        """Keep a piece and return its number."""
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
        """Note that the bill of an answer is in the ledger."""
        attempt = self.live.get(key)
        if attempt is None or attempt.phase is not Phase.ENDED:
            return
        attempt.settled = True
        self.unsettled.pop(key, None)
        if attempt.may_be_forgotten(now):
            self._forget(attempt, now)

    def expire(self, *, now: float) -> None:
        """Forget what nobody may ask for any more."""
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
        """Drop the pieces of the oldest ended answers when there are too many.

        Their bills stay.  An entry that still lacks a piece and asks for it
        is told that the answer is cut.
        """
        if self._kept_bytes <= MAX_KEPT_BYTES:
            return
        for attempt in self.find_by_phase(Phase.ENDED)[:-1]:
            self._drop_pieces(attempt)
            if self._kept_bytes <= MAX_KEPT_BYTES:
                return
