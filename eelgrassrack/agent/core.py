"""What the parts of an agent that deal with attempts share."""

import dataclasses
from collections.abc import Callable

import msgspec

from ..decisions.coldstart import CollapseReason, Window
from ..decisions.reserve import SlotReserve
from ..invariants import Invariants, Promise
from ..mailbox.messages import Facts, Load, Refusal
from .attempts import Attempt, Attempts, Phase
from .gate import Standing, Verdict, judge, merge_facts
from .relay import Relay
from .slots import Slots
from .waitingroom import WaitingRoom


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Core:
    """The state of all attempts at one endpoint.

    `notice` is called before each judgement, to find out about a pause.
    """

    standing: Standing
    attempts: Attempts
    relay: Relay
    room: WaitingRoom
    slots: Slots
    reserve: SlotReserve
    window: Window
    clock: Callable[[], float]
    invariants: Invariants
    notice: Callable[[], None]
    parked: Attempt | None = None

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing runs or waits."""
        return not (len(self.slots) or len(self.room) or self.parked)

    def judge(self, attempt: Attempt) -> Verdict:
        """Return whether an attempt may start now."""
        self.notice()
        return judge(
            start=attempt.start,
            standing=self.standing,
            deadline=attempt.deadline,
            now=self.clock(),
        )

    def refuse(self, attempt: Attempt, refusal: Refusal) -> None:
        """Vow that a queued attempt never starts."""
        queued = attempt.phase is Phase.QUEUED
        if not self.invariants.check(Promise.NOT_RUN, queued, attempt.key):
            return
        self.room.discard(attempt)
        if self.parked is attempt:
            self.parked = None
        self.slots.stop(attempt)
        now = self.clock()
        retry_after = self.room.find_retry(
            tokens=attempt.start.tokens, window=self.window.size, now=now
        )
        self.relay.refuse(attempt, refusal, retry_after=retry_after, now=now)

    def take_facts(self, facts: Facts) -> bool:
        """Take over facts; return whether they are newer than those in force."""
        known = self.standing.facts
        merged = merge_facts(known, facts)
        self.invariants.check(
            Promise.CONFIGURATION,
            known is None or merged.revision >= known.revision,
            f"revision {merged.revision} after {known and known.revision}",
        )
        self.standing.facts = merged
        self.window.resize(floor=merged.cold_concurrency, ceiling=merged.concurrency)
        return known is None or merged.revision > known.revision

    def keep_facts(self, *, revision: int, since: int) -> bool:
        """Take it that the facts hold up to a revision.

        Return false if the facts known here are older than `since`: then
        something has changed that isn't known.
        """
        facts = self.standing.facts
        if facts is None or facts.revision < since:
            return False
        if revision > facts.revision:
            self.take_facts(msgspec.structs.replace(facts, revision=revision))
        return True

    def collapse(self, reason: CollapseReason) -> None:
        """Close the window to what a cold endpoint bears."""
        self.window.collapse(now=self.clock(), reason=reason)

    def make_load(self) -> Load:
        """Return the load report that heartbeats carry."""
        facts = self.standing.facts or Facts(revision=0)
        return Load(
            endpoint=self.standing.endpoint,
            domain=self.standing.domain,
            pool=self.standing.pool,
            revision=facts.revision,
            serves=facts.serves,
            service=facts.service,
            window=self.window.size,
            running=len(self.slots),
            queued=len(self.room),
            queued_tokens=self.room.tokens,
            queued_by=self.room.find_largest(),
            patient_by=self.room.find_patient(),
            drain=self.room.drain.find_rate(window=self.window.size),
            leaving=self.standing.is_leaving(),
            cold=self.window.is_cold,
            engine_up=self.standing.engine_up,
        )


def make_core(
    *,
    standing: Standing,
    attempts: Attempts,
    relay: Relay,
    clock: Callable[[], float],
    invariants: Invariants,
    notice: Callable[[], None] = lambda: None,
) -> Core:
    """Return the state of an agent that has just started."""
    return Core(
        standing=standing,
        attempts=attempts,
        relay=relay,
        room=WaitingRoom(),
        slots=Slots(),
        reserve=SlotReserve(),
        window=Window(floor=1, ceiling=1, now=clock()),
        clock=clock,
        invariants=invariants,
        notice=notice,
    )
