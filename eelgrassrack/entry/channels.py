"""In-flight attempts, as seen by the entry that dispatched them.

A channel collects an agent's messages about one attempt and verifies that the
answer is complete: pieces are numbered, and the last message holds their
count and digest.  Every message carries its attempt's id, so late messages
and those for other attempts find no channel and are dropped.
"""

import asyncio
import math
from collections.abc import Callable

import logbook
import msgspec
import xxhash

from ..decisions.hearing import Hearing
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

# The entry asks about an attempt if its agent has sent nothing for this long.  A
# healthy agent answers a start within a round trip of a few milliseconds.
ASK_AFTER_SECONDS = 1.0

# The agent counts as gone if it has sent nothing about an attempt for this long while
# the entry could have heard it.
GONE_AFTER_SECONDS = 5.0

# An attempt is cancelled this long before its deadline, so that the agent can
# still report whether it had started before the caller is answered.
CANCEL_REPLY_SECONDS = 0.25

# Retry-After for a request that was cancelled because this entry stops: another
# entry can take it.
STOP_RETRY_SECONDS = 1.0


class Completed(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt ran, and its answer was received completely."""

    attempt: str
    pieces: tuple[bytes, ...]
    status: int
    headers: tuple[tuple[str, str], ...]
    bill: Bill | None


class NeverStarted(msgspec.Struct, kw_only=True, frozen=True):
    """The agent guarantees that the attempt hasn't started and never will.

    `retry_after` is in seconds.
    """

    refusal: Refusal
    retry_after: float


class AttemptFailed(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt started and ended without a complete answer."""

    finish: Finish
    reason: str


class OutcomeUnknown(msgspec.Struct, kw_only=True, frozen=True):
    """It is unknown whether the attempt ran."""

    reason: str


Outcome = Completed | NeverStarted | AttemptFailed | OutcomeUnknown


class Channel:
    """Collects the messages about one attempt and determines its outcome.

    `sink` receives each piece as it arrives, `keeps_pieces` retains the pieces
    for the outcome.  `expected` is the number of the next piece.  All times
    are in the time of the event loop.
    """

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
        "last_message_at",
        "is_deadline_shortened",
        "keeps_pieces",
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
        keeps_pieces: bool = True,
        repeatable: bool = True,
    ) -> None:
        self.attempt = attempt
        self.endpoint = endpoint
        self.agent = agent
        self.address = address
        self.deadline = deadline
        self.last_message_at = now
        self.is_deadline_shortened = False
        self.begun = False
        self.first_at: float | None = None
        self.repeatable = repeatable
        self.cancelled_at: float | None = None
        self.expected = 0
        self.pieces: list[bytes] = []
        self.sink = sink
        self.keeps_pieces = keeps_pieces
        self.outcome: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._hash = xxhash.xxh3_64()
        self._post = post
        self._ended: Ended | None = None
        self._asked_at: float | None = None

    @property
    def has_delivered(self) -> bool:
        """Whether a part of this answer was sent to the caller."""
        return self.sink is not None and self.expected > 0

    def set_end(self, time: float) -> None:
        """End the attempt by `time`, when this entry exits, at the latest."""
        if time <= self.deadline:
            self.deadline = time
            self.is_deadline_shortened = True

    def take_piece(self, piece: Piece, now: float) -> None:
        """Accept the next piece, or request the missing ones after a gap."""
        self.last_message_at = now
        self.begun = True
        if piece.number < self.expected or self.outcome.done():
            return
        if piece.number > self.expected:
            self._request_missing(now)
            return
        if not self.expected:
            self.first_at = now
        self.expected += 1
        self._hash.update(piece.data)
        if self.keeps_pieces:
            self.pieces.append(piece.data)
        if self.sink is not None:
            self.sink(piece.data)
        if self._ended is not None:
            self._finish_if_complete(self._ended, now)

    def take(self, message: object, now: float) -> None:
        """Process a message from the agent about the attempt."""
        self.last_message_at = now
        self._asked_at = None
        match message:
            case Begun():
                self.begun = True
            case Waits():
                pass
            case NotStarted(refusal=refusal, retry_after=retry_after):
                if self._was_stopped:
                    retry_after = max(retry_after, STOP_RETRY_SECONDS)
                self.settle(NeverStarted(refusal=refusal, retry_after=retry_after))
            case UnknownAttempt():
                self.settle(OutcomeUnknown(reason="the agent was restarted"))
            case Ended(finish=Finish.WHOLE):
                self.begun = True
                self._ended = message
                self._finish_if_complete(message, now)
            case Ended(finish=Finish.CANCELLED) if self._was_stopped:
                self.begun = True
                self._settle_cancelled()
            case Ended(finish=finish, reason=reason):
                self.begun = True
                self.settle(AttemptFailed(finish=finish, reason=reason or finish.value))

    def settle(self, outcome: Outcome) -> None:
        """Set the outcome of the attempt, unless it has one."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)

    def check_timeouts(self, now: float, hearing: Hearing) -> None:
        """Ask a silent agent, cancel before the deadline, and give up in the end."""
        if self.outcome.done():
            return
        if self.cancelled_at is not None:
            if now - self.cancelled_at >= CANCEL_REPLY_SECONDS:
                self._settle_cancelled()
        elif now >= self.deadline - CANCEL_REPLY_SECONDS:
            self.cancel(now)
        elif not self.begun and self._is_agent_gone(now, hearing):
            self.settle(OutcomeUnknown(reason="the agent is silent"))
        elif now - self.last_message_at >= ASK_AFTER_SECONDS and not self.begun:
            self._ask(now)
        elif (
            self._ended is not None and now - self.last_message_at >= ASK_AFTER_SECONDS
        ):
            self._request_missing(now)

    def cancel(self, now: float) -> None:
        """Cancel the attempt; `check_timeouts` then waits for the agent's reply.

        An attempt that isn't repeatable goes on if it has started, because
        the effect of a run that was cut off is unknown.
        """
        self.cancelled_at = now
        message = Cancel(
            attempt=self.attempt,
            agent=self.agent,
            only_waiting=not self.repeatable,
        )
        self._post(self.address, message)

    def _is_agent_gone(self, now: float, hearing: Hearing) -> bool:
        silence = hearing.measure_silence(
            sender=self.address, heard_at=self.last_message_at, now=now
        )
        return silence >= GONE_AFTER_SECONDS

    @property
    def _was_stopped(self) -> bool:
        """Whether the attempt was cancelled because this entry stops."""
        return self.is_deadline_shortened and self.cancelled_at is not None

    def _settle_cancelled(self) -> None:
        reason = STOPPING if self.is_deadline_shortened else "deadline"
        finish = Finish.CUT if self.is_deadline_shortened else Finish.DEADLINE
        if self.begun and self.repeatable:
            self.settle(AttemptFailed(finish=finish, reason=reason))
        else:
            self.settle(OutcomeUnknown(reason=reason))

    def _ask(self, now: float) -> None:
        if self._asked_at is not None and now - self._asked_at < ASK_AFTER_SECONDS:
            return
        self._asked_at = now
        self._post(self.address, Ask(attempt=self.attempt, agent=self.agent))

    def _request_missing(self, now: float) -> None:
        # A batch lost with its connection leaves a gap in the numbers.  The
        # agent keeps the pieces, so the missing ones are requested again.
        if self._asked_at is not None and now - self._asked_at < CANCEL_REPLY_SECONDS:
            return
        self._asked_at = now
        self._post(self.address, Resume(attempt=self.attempt, offset=self.expected))

    def _finish_if_complete(self, ended: Ended, now: float) -> None:
        if self.expected < ended.pieces:
            self._request_missing(now)
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


def _is_about_predecessor(message: object) -> bool:
    """Return whether a restarted agent may report this on an earlier attempt.

    A start is sent once, and a connection delivers it at most once.  If it
    reached the new incarnation, which refuses it, it never reached the old
    one.
    """
    match message:
        case UnknownAttempt():
            return True
        case NotStarted(refusal=Refusal.OTHER_INCARNATION):
            return True
    return False


class Channels:
    """The channels of an entry by attempt id."""

    __slots__ = ("_by_attempt", "_ends_at", "_hearing", "_invariants")

    def __init__(
        self, *, invariants: Invariants, hearing: Hearing | None = None
    ) -> None:
        self._by_attempt: dict[str, Channel] = {}
        self._ends_at = math.inf
        self._hearing = hearing or Hearing()
        self._invariants = invariants

    def __len__(self) -> int:
        """Return the number of attempts in flight."""
        return len(self._by_attempt)

    def add(self, channel: Channel) -> None:
        """Add the channel of a new attempt, whose id must be unused."""
        self._invariants.check(
            Promise.WHOLE_ANSWER,
            channel.attempt not in self._by_attempt,
            "an attempt id was used twice",
        )
        channel.set_end(self._ends_at)
        self._by_attempt[channel.attempt] = channel

    def set_end(self, time: float) -> None:
        """End all attempts by `time`, when this entry exits, at the latest."""
        self._ends_at = time
        for channel in self._by_attempt.values():
            channel.set_end(time)

    def remove(self, channel: Channel) -> None:
        """Remove a channel; later messages about its attempt are dropped."""
        self._by_attempt.pop(channel.attempt, None)

    def find(self, attempt: str) -> Channel | None:
        """Return the channel of an attempt, or None if there is none."""
        return self._by_attempt.get(attempt)

    def take_piece(self, piece: Piece, sender: str, now: float) -> None:
        """Pass a piece to its channel if the attempt's agent sent it."""
        channel = self._by_attempt.get(piece.attempt)
        if channel is not None and sender == channel.agent:
            channel.take_piece(piece, now)

    def take(self, message: object, sender: str, now: float) -> None:
        """Pass a message to its channel if the attempt's agent sent it."""
        if isinstance(message, Piece):
            self.take_piece(message, sender, now)
            return
        channel = self._by_attempt.get(message.attempt)
        if channel is None:
            return
        # Another process may now listen at the agent's address.  What it reports
        # isn't about this attempt.
        if sender == channel.agent or _is_about_predecessor(message):
            channel.take(message, now)

    def check_timeouts(self, now: float) -> None:
        """Check the timeouts of every attempt."""
        for channel in tuple(self._by_attempt.values()):
            channel.check_timeouts(now, self._hearing)

    def lose_agent(self, *, agent: str, reason: str) -> None:
        """Set the outcome of all attempts of a lost agent to unknown."""
        for channel in tuple(self._by_attempt.values()):
            if channel.agent == agent:
                channel.settle(OutcomeUnknown(reason=reason))
