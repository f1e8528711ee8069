"""Decide whether an attempt may start now, from what the agent knows.

The check is made when an attempt arrives, when its turn comes, and again right
before it starts.  In between a version may be withdrawn or a failure domain taken
out, and attempts that were queued before such a change must not run after it.
"""

import msgspec

from ..mailbox.messages import Facts, Refusal, Start


class Admitted(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt may start."""


class Deferred(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt must wait for newer facts before this can be decided."""


class Refused(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt must not start."""

    refusal: Refusal


AdmissionDecision = Admitted | Deferred | Refused


class AgentState(msgspec.Struct, kw_only=True):
    """What an agent knows about itself and its endpoint.

    `confirmed` is false after a pause of this process until an entry has confirmed
    that the facts still hold.  `question` is the nonce of the agent's request for
    that confirmation, a new one after each pause.  `engine_leaving` is whether the
    engine said so in its present lifetime.
    """

    endpoint: str
    domain: str
    pool: str
    incarnation: str
    facts: Facts | None = None
    confirmed: bool = True
    question: int = 0
    leaving: bool = False
    listed_leaving: bool = False
    engine_leaving: bool = False
    engine_up: bool = True
    quarantined: frozenset[str] = frozenset()

    def is_withdrawn(self, start: Start) -> bool:
        """Return whether the attempt's version is withdrawn."""
        return bool(start.version) and start.version in self.facts.withdrawn

    def is_out(self) -> bool:
        """Return whether the endpoint's failure domain is taken out."""
        return self.domain in self.facts.domains_out

    def is_leaving(self) -> bool:
        """Return whether the endpoint is leaving and accepts no new work."""
        if self.leaving or self.listed_leaving or self.engine_leaving:
            return True
        return self.facts is not None and self.endpoint in self.facts.endpoints_out

    def is_served(self, start: Start) -> bool:
        """Return whether the endpoint serves the attempt's version or service."""
        if start.service or self.facts.service:
            return start.service == self.facts.service
        return start.version in self.facts.serves


def check_admission(
    *, start: Start, state: AgentState, deadline: float, now: float
) -> AdmissionDecision:
    """Return whether the attempt may start now."""
    if start.agent != state.incarnation:
        return Refused(refusal=Refusal.OTHER_INCARNATION)
    if state.is_leaving():
        return Refused(refusal=Refusal.LEAVING)
    if now >= deadline:
        return Refused(refusal=Refusal.DEADLINE)
    facts = state.facts
    if facts is None or not state.confirmed or facts.revision < start.revision:
        return Deferred()
    if state.is_out():
        return Refused(refusal=Refusal.DOMAIN_OUT)
    if state.is_withdrawn(start):
        return Refused(refusal=Refusal.WITHDRAWN)
    if not state.is_served(start):
        return Refused(refusal=Refusal.NOT_SERVED)
    if not state.quarantined.isdisjoint((start.fingerprint, *start.parts)):
        return Refused(refusal=Refusal.QUARANTINED)
    if not state.engine_up:
        return Refused(refusal=Refusal.ENGINE_DOWN)
    return Admitted()


def merge_facts(known: Facts | None, offered: Facts) -> Facts:
    """Return the offered facts, or the known ones if their revision is higher."""
    if known is not None and offered.revision < known.revision:
        return known
    return offered
