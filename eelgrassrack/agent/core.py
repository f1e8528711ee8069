"""The state shared by the parts of an agent that handle attempts."""

import dataclasses
from collections.abc import Callable

import msgspec

from ..decisions.coldstart import CollapseReason, Window
from ..decisions.enginepace import EnginePace
from ..decisions.enginerest import EngineRest
from ..decisions.reserve import SlotReserve
from ..invariants import Invariants, Promise
from ..mailbox.messages import Facts, Load, Refusal
from .admission import AdmissionDecision, AgentState, check_admission, merge_facts
from .attemptqueue import AttemptQueue
from .attempts import Attempt, Attempts, Phase
from .relay import Relay
from .slots import Slots


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Core:
    """The attempts at one endpoint and the limits that apply to them.

    `detect_pause` is called before each admission check, because facts from
    before a pause of this process may be out of date.  `parked` is the attempt
    that must run alone and waits until all slots are free.
    """

    state: AgentState
    attempts: Attempts
    relay: Relay
    queue: AttemptQueue
    slots: Slots
    reserve: SlotReserve
    rest: EngineRest
    pace: EnginePace
    window: Window
    clock: Callable[[], float]
    invariants: Invariants
    detect_pause: Callable[[], None]
    parked: Attempt | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no attempt is queued or running."""
        return not (len(self.slots) or len(self.queue) or self.parked)

    @property
    def rest_seconds(self) -> float:
        """Return how long the endpoint still wants no requests, zero if it doesn't."""
        return self.rest.measure(now=self.clock())

    @property
    def wait_seconds(self) -> float:
        """Return in how many seconds the endpoint takes the next request."""
        return max(self.rest_seconds, self.pace.measure(now=self.clock()))

    def check_admission(self, attempt: Attempt) -> AdmissionDecision:
        """Return whether an attempt may start now."""
        self.detect_pause()
        return check_admission(
            start=attempt.start,
            state=self.state,
            deadline=attempt.deadline,
            now=self.clock(),
        )

    def refuse(self, attempt: Attempt, refusal: Refusal) -> None:
        """Refuse a queued attempt, which then never starts."""
        queued = attempt.phase is Phase.QUEUED
        if not self.invariants.check(Promise.NOT_RUN, queued, attempt.key):
            return
        self.queue.discard(attempt)
        if self.parked is attempt:
            self.parked = None
        self.slots.stop(attempt)
        now = self.clock()
        retry_after = self.queue.estimate_retry_after(
            tokens=attempt.start.tokens, window=self.window.size, now=now
        )
        retry_after = max(retry_after, self.wait_seconds)
        self.relay.refuse(attempt, refusal, retry_after=retry_after, now=now)

    def apply_facts(self, facts: Facts) -> bool:
        """Apply facts; return whether they are newer than the current ones."""
        known = self.state.facts
        merged = merge_facts(known, facts)
        self.invariants.check(
            Promise.CONFIGURATION,
            known is None or merged.revision >= known.revision,
            f"revision {merged.revision} after {known and known.revision}",
        )
        self.state.facts = merged
        self.window.resize(floor=merged.cold_concurrency, ceiling=merged.concurrency)
        return known is None or merged.revision > known.revision

    def confirm_facts(self, *, revision: int, since: int) -> bool:
        """Note that the facts since revision `since` still hold at `revision`.

        Return false if the current facts are older than `since`; they then lack a
        change.
        """
        facts = self.state.facts
        if facts is None or facts.revision < since:
            return False
        if revision > facts.revision:
            self.apply_facts(msgspec.structs.replace(facts, revision=revision))
        return True

    def collapse(self, reason: CollapseReason) -> None:
        """Shrink the concurrency window to what a cold endpoint can handle."""
        self.window.collapse(now=self.clock(), reason=reason)

    def make_load(self) -> Load:
        """Return the load report that heartbeats carry."""
        facts = self.state.facts or Facts(revision=0)
        return Load(
            endpoint=self.state.endpoint,
            domain=self.state.domain,
            pool=self.state.pool,
            revision=facts.revision,
            serves=facts.serves,
            service=facts.service,
            window=self.window.size,
            running=len(self.slots),
            queued=len(self.queue),
            queued_tokens=self.queue.tokens,
            queued_by=self.queue.find_largest(),
            patient_by=self.queue.find_patient(),
            drain=self.queue.drain_rate.find_rate(window=self.window.size),
            leaving=self.state.is_leaving(),
            cold=self.window.is_cold,
            engine_up=self.state.engine_up,
            resting=self.wait_seconds,
        )


def make_core(
    *,
    state: AgentState,
    attempts: Attempts,
    relay: Relay,
    clock: Callable[[], float],
    invariants: Invariants,
    detect_pause: Callable[[], None] = lambda: None,
) -> Core:
    """Return the core of an agent that has just started."""
    return Core(
        state=state,
        attempts=attempts,
        relay=relay,
        queue=AttemptQueue(),
        slots=Slots(),
        reserve=SlotReserve(),
        rest=EngineRest(),
        pace=EnginePace(),
        window=Window(floor=1, ceiling=1, now=clock()),
        clock=clock,
        invariants=invariants,
        detect_pause=detect_pause,
    )
