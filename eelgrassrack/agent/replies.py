"""Answer requests from entries about earlier attempts."""

from collections.abc import Callable

from ..mailbox.messages import (
    Ask,
    Begun,
    Ended,
    Finish,
    NotStarted,
    Refusal,
    Resume,
    Settle,
    UnknownAttempt,
    Waits,
)
from .admission import AgentState
from .attempts import Attempt, Attempts, Phase
from .records import AttemptRecord, ExpiredRecord
from .relay import Relay


class Replies:
    """Handles the messages `Ask`, `Resume` and `Settle`."""

    __slots__ = ("_attempts", "_clock", "_relay", "_state")

    def __init__(
        self,
        *,
        attempts: Attempts,
        relay: Relay,
        state: AgentState,
        clock: Callable[[], float],
    ) -> None:
        self._attempts = attempts
        self._relay = relay
        self._state = state
        self._clock = clock

    def answer(self, ask: Ask, sender: str) -> None:
        """Send the state of an attempt.

        An unknown attempt gets a tombstone, so that "not started" stays true.
        """
        match self._attempts.find(key=ask.attempt):
            case Attempt(phase=Phase.QUEUED):
                self._relay.send(sender, Waits(attempt=ask.attempt))
            case Attempt(phase=Phase.RUNNING):
                self._relay.send(sender, Begun(attempt=ask.attempt))
            case Attempt() as attempt:
                self._relay.report_end(attempt, sender)
            case AttemptRecord(message=NotStarted()) if self._is_other_incarnation(
                ask.agent
            ):
                # The tombstone only says that this incarnation never starts the
                # attempt.  It was meant for another one, which may have run it.
                self._relay.send(sender, UnknownAttempt(attempt=ask.attempt))
            case AttemptRecord(message=message):
                self._relay.send(sender, message)
            case ExpiredRecord():
                self._relay.send(sender, UnknownAttempt(attempt=ask.attempt))
            case None if self._is_other_incarnation(ask.agent):
                self._relay.send(sender, UnknownAttempt(attempt=ask.attempt))
            case None:
                self._refuse_unseen(ask.attempt, sender)

    def resume(self, resume: Resume, sender: str) -> None:
        """Resend pieces of an answer, and send later ones to the same entry."""
        match self._attempts.find(key=resume.attempt):
            case None | ExpiredRecord():
                self._relay.send(sender, UnknownAttempt(attempt=resume.attempt))
            case AttemptRecord(message=Ended() as ended) if (
                resume.offset < ended.pieces
            ):
                self._report_missing_pieces(ended, sender)
            case AttemptRecord(message=message):
                self._relay.send(sender, message)
            case Attempt(ended=Ended() as ended) as attempt if (
                len(attempt.pieces) < ended.pieces
            ):
                self._report_missing_pieces(ended, sender)
            case Attempt() as attempt:
                self._relay.replay(attempt, sender, max(resume.offset, 0))

    def _report_missing_pieces(self, ended: Ended, sender: str) -> None:
        """Report that the pieces which an entry lacks aren't kept any more.

        If the entry received the normal end instead, it would ask for the pieces
        again at once, in a loop until its caller's deadline.
        """
        cut = Ended(
            attempt=ended.attempt,
            finish=Finish.CUT,
            pieces=ended.pieces,
            digest=ended.digest,
            reason="the missing pieces are not kept any more",
        )
        self._relay.send(sender, cut)

    def settle(self, settle: Settle) -> None:
        """Note that the bills of these attempts are in a ledger."""
        for key in settle.attempts:
            self._attempts.settle(key=key, now=self._clock())

    def _is_other_incarnation(self, agent: str) -> bool:
        return agent != self._state.incarnation

    def _refuse_unseen(self, key: str, sender: str) -> None:
        if self._attempts.is_full:
            # This incarnation accepts no more starts, so the refusal holds without
            # a tombstone.
            message = NotStarted(attempt=key, refusal=Refusal.NEVER_SEEN)
            self._relay.send(sender, message)
            return
        self._relay.send_tombstone(sender, key, Refusal.NEVER_SEEN, now=self._clock())
