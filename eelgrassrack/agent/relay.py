"""Tell entries what becomes of their attempts, and keep it to tell again."""

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
    """What an agent says of attempts."""

    __slots__ = ("_attempts", "_metrics", "_outbox")

    def __init__(self, *, attempts: Attempts, outbox: Outbox, metrics: Metrics) -> None:
        self._attempts = attempts
        self._outbox = outbox
        self._metrics = metrics

    def send(self, to: str, message: AnyMessage) -> None:
        """Send a message behind all that was said before."""
        self._outbox.add(to, message)

    def send_to_readers(self, attempt: Attempt, message: AnyMessage) -> None:
        """Send a message to all that follow an attempt."""
        for reader in attempt.readers:
            self.send(reader, message)

    def send_tombstone(
        self, to: str, key: str, refusal: Refusal, *, now: float
    ) -> None:
        """Say that an attempt never starts, and remember it."""
        self.send(to, self._attempts.add_tombstone(key=key, refusal=refusal, now=now))

    def refuse(
        self, attempt: Attempt, refusal: Refusal, *, retry_after: float, now: float
    ) -> None:
        """Say that a queued attempt never starts, and remember it."""
        self._attempts.add_tombstone(key=attempt.key, refusal=refusal, now=now)
        message = NotStarted(
            attempt=attempt.key, refusal=refusal, retry_after=retry_after
        )
        self.send_to_readers(attempt, message)
        self._metrics.count(NOT_STARTED, label=refusal.value)

    def begin(self, attempt: Attempt) -> None:
        """Say that an attempt starts, before its first byte is sent."""
        self._metrics.count(STARTED)
        self.send_to_readers(attempt, Begun(attempt=attempt.key))
        self._outbox.flush()

    def relay_piece(self, attempt: Attempt, data: bytes) -> None:
        """Send a piece and keep it."""
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
        """Say how a running attempt ended, and keep it."""
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
        """Say how an attempt ended; only its owner gets the bill.

        An entry that takes an answer over isn't given the bill with it.
        Otherwise both would put it in their ledgers.
        """
        ended = attempt.ended
        if to != attempt.owner or attempt.holders or attempt.settled:
            ended = msgspec.structs.replace(ended, bill=None)
        self.send(to, ended)

    def replay(self, attempt: Attempt, reader: str, offset: int) -> None:
        """Send an attempt's pieces again, from a number on.

        What follows goes to this reader too, and still to those before it:
        the entry that sent the attempt has a caller that waits as well.
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
