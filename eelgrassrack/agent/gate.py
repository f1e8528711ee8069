"""Whether an attempt may start now, from what the agent knows.

The gate is asked twice: when an attempt arrives and again at the moment it
would start.  In between a version may be withdrawn or a failure domain
taken out, and work that was queued before must not run after.
"""

import msgspec

from ..mailbox.messages import Facts, Refusal, Start


class Open(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt may start."""


class Hold(msgspec.Struct, kw_only=True, frozen=True):
    """Whether it may start isn't known until newer facts come."""


class Shut(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt must not start."""

    refusal: Refusal


Verdict = Open | Hold | Shut


class Standing(msgspec.Struct, kw_only=True):
    """What an agent knows of itself and its endpoint.

    `confirmed` is false after a pause of the agent's own, until an entry
    has confirmed that the facts are still in force.  It is asked with
    `question`, which is another one after each pause.
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
    engine_up: bool = True
    quarantined: frozenset[str] = frozenset()

    def is_withdrawn(self, start: Start) -> bool:
        """Tell whether the attempt's version is withdrawn."""
        return bool(start.version) and start.version in self.facts.withdrawn

    def is_out(self) -> bool:
        """Tell whether the endpoint or its failure domain is out."""
        return self.domain in self.facts.domains_out

    def is_leaving(self) -> bool:
        """Tell whether the endpoint takes no new work for good."""
        if self.leaving or self.listed_leaving:
            return True
        return self.facts is not None and self.endpoint in self.facts.endpoints_out

    def is_served(self, start: Start) -> bool:
        """Tell whether the endpoint has what the attempt needs."""
        if start.service or self.facts.service:
            return start.service == self.facts.service
        return start.version in self.facts.serves


def judge(*, start: Start, standing: Standing, deadline: float, now: float) -> Verdict:
    """Return whether the attempt may start now."""
    if start.agent != standing.incarnation:
        return Shut(refusal=Refusal.OTHER_INCARNATION)
    if standing.is_leaving():
        return Shut(refusal=Refusal.LEAVING)
    if now >= deadline:
        return Shut(refusal=Refusal.DEADLINE)
    facts = standing.facts
    if facts is None or not standing.confirmed or facts.revision < start.revision:
        return Hold()
    if standing.is_out():
        return Shut(refusal=Refusal.DOMAIN_OUT)
    if standing.is_withdrawn(start):
        return Shut(refusal=Refusal.WITHDRAWN)
    if not standing.is_served(start):
        return Shut(refusal=Refusal.NOT_SERVED)
    if start.fingerprint and start.fingerprint in standing.quarantined:
        return Shut(refusal=Refusal.QUARANTINED)
    if not standing.engine_up:
        return Shut(refusal=Refusal.ENGINE_DOWN)
    return Open()


def merge_facts(known: Facts | None, offered: Facts) -> Facts:
    """Return the facts in force after others were offered.

    A lower revision never replaces a higher one.
    """
    if known is not None and offered.revision < known.revision:
        return known
    return offered
