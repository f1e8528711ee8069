"""Attempts under way, seen from the entry that dispatched them.

A channel gathers what an agent says of one attempt and proves that the
answer is whole: pieces are numbered, and the end names their count and
digest.  Every message names its attempt, so an answer that comes late or
for another attempt finds no channel and goes nowhere.
"""

import asyncio
import math
from collections.abc import Callable

import logbook
import msgspec
import xxhash

from ..invariants import Invariants, Promise
from ..mailbox.messages import (
    Ask,
    Begun,
    Bill,
    Cancel,
    Ended,
    Finish,
    NotStarted,
    Piece,
    Refusal,
    Resume,
    UnknownAttempt,
    Waits,
)
from .refusals import STOPPING

log = logbook.Logger("channels")

Post = Callable[[str, object], None]
Sink = Callable[[bytes], None]

# An agent that said nothing of an attempt for this long is asked.  A
# healthy one answers a start within a round trip of a few milliseconds.
ASK_AFTER = 1.0

# After this many seconds of unanswered questions the agent counts as gone.
GONE_AFTER = 5.0

# At its deadline an attempt is cancelled, and the agent has this long to
# say whether it had started.  The caller's answer waits for no more.
LAST_WORD = 0.25

# A caller whose request was withdrawn because this entry ends finds another.
COME_BACK_SECONDS = 1.0


class Completed(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt ran and its whole answer is here."""

    attempt: str
    pieces: tuple[bytes, ...]
    status: int
    headers: tuple[tuple[str, str], ...]
    bill: Bill | None


class NeverStarted(msgspec.Struct, kw_only=True, frozen=True):
    """The agent vowed that the attempt hasn't started and never will."""

    refusal: Refusal
    retry_after: float


class AttemptFailed(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt started and ended without a whole answer."""

    finish: Finish
    reason: str


class OutcomeUnknown(msgspec.Struct, kw_only=True, frozen=True):
    """Nobody can say whether the attempt ran."""

    reason: str


Outcome = Completed | NeverStarted | AttemptFailed | OutcomeUnknown


class Channel:
    """One attempt: what came of it so far and how it ended."""

    __slots__ = (
        "_asked_at",
        "_ended",
        "_hash",
        "_post",
        "address",
        "agent",
        "attempt",
        "begun",
        "cancelled_at",
        "deadline",
        "endpoint",
        "expected",
        "first_at",
        "heard_at",
        "is_shortened",
        "keeps",
        "outcome",
        "pieces",
        "repeatable",
        "sink",
    )

    def __init__(
        self,
        *,
        attempt: str,
        endpoint: str,
        agent: str,
        address: str,
        deadline: float,
        now: float,
        post: Post,
        sink: Sink | None = None,
        keeps: bool = True,
        repeatable: bool = True,
    ) -> None:
        self.attempt = attempt
        self.endpoint = endpoint
        self.agent = agent
        self.address = address
        self.deadline = deadline
        self.heard_at = now
        self.is_shortened = False
        self.begun = False
        self.first_at: float | None = None
        self.repeatable = repeatable
        self.cancelled_at: float | None = None
        self.expected = 0
        self.pieces: list[bytes] = []
        self.sink = sink
        self.keeps = keeps
        self.outcome: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._hash = xxhash.xxh3_64()
        self._post = post
        self._ended: Ended | None = None
        self._asked_at: float | None = None

    @property
    def has_delivered(self) -> bool:
        """Tell whether bytes of this answer went to the caller."""
        return self.sink is not None and self.expected > 0

    def end_by(self, time: float) -> None:
        """Give the attempt until this entry ends."""
        if time <= self.deadline:
            self.deadline = time
            self.is_shortened = True

    def take_piece(self, piece: Piece, now: float) -> None:
        """Take the next piece; ask again for one that is missing."""
        self.heard_at = now
        self.begun = True
        if piece.number < self.expected or self.outcome.done():
            return
        if piece.number > self.expected:
            self._ask_for_missing(now)
            return
        if not self.expected:
            self.first_at = now
        self.expected += 1
        self._hash.update(piece.data)
        if self.keeps:
            self.pieces.append(piece.data)
        if self.sink is not None:
            self.sink(piece.data)
        if self._ended is not None:
            self._finish_if_complete(self._ended, now)

    def take(self, message: object, now: float) -> None:
        """Take what the agent says of the attempt."""
        self.heard_at = now
        self._asked_at = None
        match message:
            case Begun():
                self.begun = True
            case Waits():
                pass
            case NotStarted(refusal=refusal, retry_after=retry_after):
                if self._was_stopped:
                    retry_after = max(retry_after, COME_BACK_SECONDS)
                self.settle(NeverStarted(refusal=refusal, retry_after=retry_after))
            case UnknownAttempt():
                self.settle(OutcomeUnknown(reason="the agent was restarted"))
            case Ended(finish=Finish.WHOLE):
                self.begun = True
                self._ended = message
                self._finish_if_complete(message, now)
            case Ended(finish=Finish.CANCELLED) if self._was_stopped:
                self.begun = True
                self._end_cancelled()
            case Ended(finish=finish, reason=reason):
                self.begun = True
                self.settle(AttemptFailed(finish=finish, reason=reason or finish.value))

    def settle(self, outcome: Outcome) -> None:
        """End the attempt for the waiting dispatcher; the first end counts."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)

    def watch(self, now: float) -> None:
        """Ask a silent agent, cancel at the deadline, give up at last."""
        if self.outcome.done():
            return
        if self.cancelled_at is not None:
            if now - self.cancelled_at >= LAST_WORD:
                self._end_cancelled()
        elif now >= self.deadline - LAST_WORD:
            self.cancel(now)
        elif now - self.heard_at >= GONE_AFTER and not self.begun:
            self.settle(OutcomeUnknown(reason="the agent is silent"))
        elif now - self.heard_at >= ASK_AFTER and not self.begun:
            self._ask(now)
        elif self._ended is not None and now - self.heard_at >= ASK_AFTER:
            self._ask_for_missing(now)

    def cancel(self, now: float) -> None:
        """Withdraw the attempt and wait briefly for the agent's word.

        What may not be repeated is left to run if it has started: cut
        off, nobody could say what effect it had.
        """
        self.cancelled_at = now
        message = Cancel(
            attempt=self.attempt,
            agent=self.agent,
            only_waiting=not self.repeatable,
        )
        self._post(self.address, message)

    @property
    def _was_stopped(self) -> bool:
        """Tell whether the attempt was withdrawn because this entry ends."""
        return self.is_shortened and self.cancelled_at is not None

    def _end_cancelled(self) -> None:
        reason = STOPPING if self.is_shortened else "deadline"
        finish = Finish.CUT if self.is_shortened else Finish.DEADLINE
        if self.begun and self.repeatable:
            self.settle(AttemptFailed(finish=finish, reason=reason))
        else:
            self.settle(OutcomeUnknown(reason=reason))

    def _ask(self, now: float) -> None:
        if self._asked_at is not None and now - self._asked_at < ASK_AFTER:
            return
        self._asked_at = now
        self._post(self.address, Ask(attempt=self.attempt, agent=self.agent))

    def _ask_for_missing(self, now: float) -> None:
        # A parcel lost on a cut connection leaves a gap in the numbers.
        # The agent keeps the pieces, so the rest is asked for again
        # instead of passing on an answer with a hole in it.
        if self._asked_at is not None and now - self._asked_at < LAST_WORD:
            return
        self._asked_at = now
        self._post(self.address, Resume(attempt=self.attempt, offset=self.expected))

    def _finish_if_complete(self, ended: Ended, now: float) -> None:
        if self.expected < ended.pieces:
            self._ask_for_missing(now)
            return
        if self._hash.hexdigest() != ended.digest:
            self.settle(AttemptFailed(finish=Finish.CUT, reason="digest differs"))
            return
        self.settle(
            Completed(
                attempt=self.attempt,
                pieces=tuple(self.pieces),
                status=ended.status,
                headers=ended.headers,
                bill=ended.bill,
            )
        )


def _speaks_for_other(message: object) -> bool:
    """Tell whether a restarted agent says this of its predecessor's attempt.

    A start is sent once, and a connection delivers it once at most.  One
    that reached the new incarnation, which refuses it, never reached the
    old one.
    """
    match message:
        case UnknownAttempt():
            return True
        case NotStarted(refusal=Refusal.OTHER_INCARNATION):
            return True
    return False


class Channels:
    """All channels of an entry, by attempt."""

    __slots__ = ("_by_attempt", "_ends_at", "_invariants")

    def __init__(self, *, invariants: Invariants) -> None:
        self._by_attempt: dict[str, Channel] = {}
        self._ends_at = math.inf
        self._invariants = invariants

    def __len__(self) -> int:
        """Return how many attempts are under way."""
        return len(self._by_attempt)

    def add(self, channel: Channel) -> None:
        """Follow an attempt; its name must be new."""
        self._invariants.check(
            Promise.WHOLE_ANSWER,
            channel.attempt not in self._by_attempt,
            "an attempt id was used twice",
        )
        channel.end_by(self._ends_at)
        self._by_attempt[channel.attempt] = channel

    def end_by(self, time: float) -> None:
        """Have all attempts ended by the end of this entry."""
        self._ends_at = time
        for channel in self._by_attempt.values():
            channel.end_by(time)

    def remove(self, channel: Channel) -> None:
        """Stop following an attempt; whatever still comes is dropped."""
        self._by_attempt.pop(channel.attempt, None)

    def find(self, attempt: str) -> Channel | None:
        """Return the channel of an attempt."""
        return self._by_attempt.get(attempt)

    def take_piece(self, piece: Piece, sender: str, now: float) -> None:
        """Hand a piece to its channel if it comes from the right agent."""
        channel = self._by_attempt.get(piece.attempt)
        if channel is not None and sender == channel.agent:
            channel.take_piece(piece, now)

    def take(self, message: object, sender: str, now: float) -> None:
        """Hand a message to its channel if it comes from the right agent."""
        if isinstance(message, Piece):
            self.take_piece(message, sender, now)
            return
        channel = self._by_attempt.get(message.attempt)
        if channel is None:
            return
        # Another process may listen at the agent's old address.  Its
        # answers are about its own attempts, never about this one.
        if sender == channel.agent or _speaks_for_other(message):
            channel.take(message, now)

    def watch(self, now: float) -> None:
        """Look after every attempt that is overdue."""
        for channel in tuple(self._by_attempt.values()):
            channel.watch(now)

    def lose_agent(self, *, agent: str, reason: str) -> None:
        """Settle the attempts of an agent that is gone."""
        for channel in tuple(self._by_attempt.values()):
            if channel.agent == agent:
                channel.settle(OutcomeUnknown(reason=reason))
