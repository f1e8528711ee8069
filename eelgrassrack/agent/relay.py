"""Send entries the progress of their attempts, and keep it for resending."""

import msgspec
import xxhash

from ..mailbox.messages import (
    AnyMessage,
    Begun,
    Bill,
    Ended,
    Finish,
    NotStarted,
    Piece,
    Refusal,
    Waits,
)
from ..metrics import ENDED, NOT_STARTED, STARTED, Metrics
from .attempts import Attempt, Attempts, Phase
from .outbox import Outbox


class Relay:
    """Sends messages about attempts to entries."""

    __slots__ = ("_attempts", "_metrics", "_outbox")

    def __init__(self, *, attempts: Attempts, outbox: Outbox, metrics: Metrics) -> None:
        self._attempts = attempts
        self._outbox = outbox
        self._metrics = metrics

    def send(self, to: str, message: AnyMessage) -> None:
        """Send a message after all earlier ones."""
        self._outbox.add(to, message)

    def send_to_readers(self, attempt: Attempt, message: AnyMessage) -> None:
        """Send a message to all readers of an attempt."""
        for reader in attempt.readers:
            self.send(reader, message)

    def send_tombstone(
        self, to: str, key: str, refusal: Refusal, *, now: float
    ) -> None:
        """Record that an attempt never starts, and tell one entry."""
        self.send(to, self._attempts.add_tombstone(key=key, refusal=refusal, now=now))

    def refuse(
        self, attempt: Attempt, refusal: Refusal, *, retry_after: float, now: float
    ) -> None:
        """Record that a queued attempt never starts, and tell its readers."""
        self._attempts.add_tombstone(key=attempt.key, refusal=refusal, now=now)
        message = NotStarted(
            attempt=attempt.key, refusal=refusal, retry_after=retry_after
        )
        self.send_to_readers(attempt, message)
        self._metrics.count(NOT_STARTED, label=refusal.value)

    def begin(self, attempt: Attempt) -> None:
        """Announce the start of an attempt, before its first byte is sent."""
        self._metrics.count(STARTED)
        self.send_to_readers(attempt, Begun(attempt=attempt.key))
        self._outbox.flush()

    def relay_piece(self, attempt: Attempt, data: bytes) -> None:
        """Store a piece of the answer and send it to the readers."""
        number = self._attempts.keep_piece(attempt, data)
        piece = Piece(attempt=attempt.key, number=number, data=data)
        self.send_to_readers(attempt, piece)

    def end(
        self,
        attempt: Attempt,
        finish: Finish,
        *,
        now: float,
        reason: str = "",
        status: int = 200,
        headers: tuple[tuple[str, str], ...] = (),
        bill: Bill | None = None,
    ) -> None:
        """Record how a running attempt ended, and tell its readers and owner."""
        self._metrics.count(ENDED, label=finish.value)
        ended = Ended(
            attempt=attempt.key,
            finish=finish,
            pieces=len(attempt.pieces),
            digest=digest_pieces(attempt.pieces),
            status=status,
            headers=headers,
            reason=reason,
            bill=bill,
        )
        self._attempts.end(attempt, ended=ended, now=now)
        for reader in {*attempt.readers, attempt.owner}:
            self.report_end(attempt, reader)
        self._outbox.flush()

    def report_end(self, attempt: Attempt, to: str) -> None:
        """Send the end of an attempt; only its owner receives the bill.

        An entry that takes over an answer isn't sent the bill.  Otherwise both
        entries would write it to their ledgers.
        """
        ended = attempt.ended
        if to != attempt.owner or attempt.holders or attempt.settled:
            ended = msgspec.structs.replace(ended, bill=None)
        self.send(to, ended)

    def replay(self, attempt: Attempt, reader: str, offset: int) -> None:
        """Resend an attempt's pieces from number `offset` on.

        The reader receives all later pieces, too.  The earlier readers still
        receive them, because the entry that sent the attempt has a waiting caller
        as well.
        """
        if reader not in attempt.readers:
            attempt.readers = (*attempt.readers, reader)
        if attempt.phase is Phase.QUEUED:
            self.send(reader, Waits(attempt=attempt.key))
            return
        for number in range(offset, len(attempt.pieces)):
            data = attempt.pieces[number]
            piece = Piece(attempt=attempt.key, number=number, data=data)
            self.send(reader, piece)
        if attempt.phase is Phase.ENDED:
            self.report_end(attempt, reader)


def digest_pieces(pieces: list[bytes]) -> str:
    """Return the hexadecimal digest of all pieces in order."""
    digest = xxhash.xxh3_64()
    for piece in pieces:
        digest.update(piece)
    return digest.hexdigest()
