"""Receive attempts, queue or refuse them, and choose which starts next."""

from ..mailbox.messages import Hello, NotStarted, Refusal, Start
from .admission import Admitted, Deferred, Refused
from .attempts import Attempt, Phase
from .core import Core
from .records import AttemptRecord, ExpiredRecord

# How long an attempt waits if its revision is newer than the agent's facts.  An
# entry sends newer facts within a few milliseconds; after this time the caller is
# better served by another endpoint.
DEFER_SECONDS = 1.0

# Limit for unsettled bills.  A bill is never dropped; at the limit the agent
# refuses new attempts until some bills are settled.
MAX_UNSETTLED = 20_000


class Intake:
    """Handles attempts from their arrival until they may start."""

    __slots__ = ("_core",)

    def __init__(self, *, core: Core) -> None:
        self._core = core

    def receive(self, *, start: Start, sender: str, incarnation: str) -> None:
        """Handle a start message; `incarnation` is the sender's."""
        core = self._core
        match core.attempts.find(key=start.attempt):
            case AttemptRecord(message=NotStarted() as message):
                core.relay.send(sender, message)
                return
            case AttemptRecord() | ExpiredRecord() | Attempt():
                return
        refusal = self._find_refusal(start)
        if refusal is not None:
            core.relay.send(sender, NotStarted(attempt=start.attempt, refusal=refusal))
            return
        now = core.clock()
        attempt = Attempt(
            start=start,
            readers=(sender,),
            owner=sender,
            incarnation=incarnation,
            ledger=start.ledger or incarnation,
            arrived=now,
            deadline=now + start.within,
        )
        if core.attempts.add(attempt):
            self._admit(attempt)

    def release_deferred(self) -> None:
        """Check the attempts that wait for newer facts again."""
        for attempt in self._core.queue.pop_deferred():
            self._admit(attempt)

    def refuse_waiting(self) -> None:
        """Refuse at once all queued attempts that may no longer start."""
        live = list(self._core.attempts.live.values())
        for attempt in live:
            if attempt.phase is not Phase.QUEUED:
                continue
            decision = self._core.check_admission(attempt)
            if isinstance(decision, Refused):
                self._core.refuse(attempt, decision.refusal)

    def refuse_late(self) -> None:
        """Refuse at once the queued attempts whose deadlines are within the rest."""
        core = self._core
        ends_at = core.clock() + core.rest_seconds
        for attempt in core.attempts.find_by_phase(Phase.QUEUED):
            if attempt.deadline <= ends_at:
                core.refuse(attempt, Refusal.FULL)

    def take_back(self, attempt: Attempt) -> None:
        """Queue an attempt again that wasn't sent because the endpoint rests."""
        is_live = self._core.attempts.live.get(attempt.key) is attempt
        if is_live and attempt.phase is Phase.QUEUED:
            self._admit(attempt)

    def tick(self) -> None:
        """Refuse attempts that have waited too long."""
        core = self._core
        now = core.clock()
        for attempt in core.queue.expire(now=now):
            core.refuse(attempt, Refusal.DEADLINE)
        for attempt in list(core.queue.deferred.values()):
            if now >= min(attempt.deferred_until, attempt.deadline):
                late = now >= attempt.deadline
                core.refuse(attempt, Refusal.DEADLINE if late else Refusal.STALE)
        if core.parked is not None and now >= core.parked.deadline:
            core.refuse(core.parked, Refusal.DEADLINE)

    def choose(self) -> Attempt | None:
        """Return the next attempt that may start now, or None."""
        if self._core.wait_seconds:
            return None
        while (attempt := self._find_next()) is not None:
            match self._core.check_admission(attempt):
                case Refused(refusal=refusal):
                    self._core.refuse(attempt, refusal)
                case Deferred():
                    self._defer(attempt)
                case Admitted():
                    return attempt
        return None

    def _find_refusal(self, start: Start) -> Refusal | None:
        """Return why a start is refused without a record, or None if it isn't.

        This incarnation never accepts such a start, neither now nor later, so the
        refusal stays true without a record of it.
        """
        if start.agent != self._core.state.incarnation:
            return Refusal.OTHER_INCARNATION
        return Refusal.FULL if self._core.attempts.is_full else None

    def _admit(self, attempt: Attempt) -> None:
        match self._core.check_admission(attempt):
            case Refused(refusal=refusal):
                self._core.refuse(attempt, refusal)
            case Deferred():
                self._defer(attempt)
            case Admitted():
                self._enqueue(attempt)

    def _defer(self, attempt: Attempt) -> None:
        """Let an attempt wait for newer facts, and ask its owner for them."""
        core = self._core
        now = core.clock()
        if not attempt.deferred_until:
            attempt.deferred_until = now + DEFER_SECONDS
        if now >= attempt.deferred_until:
            core.refuse(attempt, Refusal.STALE)
            return
        core.queue.deferred[attempt.key] = attempt
        core.relay.send(attempt.owner, Hello(question=core.state.question))
        if core.queue.is_full:
            core.refuse(attempt, Refusal.FULL)

    def _enqueue(self, attempt: Attempt) -> None:
        core = self._core
        weights = core.state.facts.weights
        window = core.window.size
        wait = core.queue.estimate_wait(attempt, weights=weights, window=window)
        now = core.clock()
        wait = max(wait, core.pace.measure(now=now, ahead=len(core.queue)))
        late = now + core.rest_seconds + wait >= attempt.deadline
        if late or len(core.attempts.unsettled) >= MAX_UNSETTLED:
            core.refuse(attempt, Refusal.FULL)
            return
        weight = weights.get(attempt.start.organisation, 1.0)
        core.queue.add(attempt, weight=weight)
        if core.queue.is_full:
            core.refuse(core.queue.find_displaced() or attempt, Refusal.FULL)

    def _find_next(self) -> Attempt | None:
        """Return the attempt whose turn it is, or None.

        An attempt that must run alone is parked until all slots are free, and no
        other attempt starts meanwhile.
        """
        core = self._core
        if core.slots.has_alone:
            return None
        if core.parked is not None:
            if len(core.slots):
                return None
            attempt, core.parked = core.parked, None
            return attempt
        free = core.window.count_free(running=len(core.slots))
        if free <= 0:
            return None
        now = core.clock()
        may_start = core.reserve.judge(free=free, window=core.window.size, now=now)
        attempt = core.queue.pop(now=now, may_start=may_start)
        if attempt is not None and attempt.start.alone and len(core.slots):
            core.parked = attempt
            return None
        return attempt
