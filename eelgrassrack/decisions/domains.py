"""The traffic ramp of a returning failure domain.

When operators bring a failure domain back under full load, its endpoints are cold and
idle, so they look best to every entry at once and would get the backlog of the whole
system.

A returning domain therefore gets only a share of the requests that would go to it,
which rises from FIRST_SHARE to all of them within the document's `ramp_seconds`.  The
other requests stay with the domains that have served them; none is refused.  A domain
that is out gets none.  Admission protects the others, since its drain rate falls.
"""

# The first requests show whether the domain works at all, and give its cold endpoints
# the complete answers that their windows need to grow.
FIRST_SHARE = 0.05


class DomainRamp:
    """The share of its usual requests that each failure domain gets.

    `seconds` is the usual duration of a ramp.
    """

    __slots__ = ("_ramp_seconds", "_returned_at", "seconds")

    def __init__(self, *, seconds: float) -> None:
        self.seconds = seconds
        # The time at which a domain returned, None while it is out.  Domains that
        # were never out are missing.
        self._returned_at: dict[str, float | None] = {}
        self._ramp_seconds: dict[str, float] = {}

    def note_state(
        self, *, domain: str, is_in: bool, now: float, seconds: float | None = None
    ) -> None:
        """Note whether a domain is in; its return starts the ramp.

        `seconds` is the duration of this domain's ramp if it isn't the usual one.
        """
        self._ramp_seconds[domain] = self.seconds if seconds is None else seconds
        if not is_in:
            self._returned_at[domain] = None
        elif domain in self._returned_at and self._returned_at[domain] is None:
            self._returned_at[domain] = now

    def find_share(self, *, domain: str, now: float) -> float:
        """Return the share, 0 to 1, of its usual requests that a domain gets."""
        if domain not in self._returned_at:
            return 1.0
        returned_at = self._returned_at[domain]
        if returned_at is None:
            return 0.0
        elapsed = max(now - returned_at, 0.0)
        seconds = self._ramp_seconds[domain]
        if elapsed >= seconds:
            return 1.0
        return FIRST_SHARE + (1.0 - FIRST_SHARE) * elapsed / seconds

    def admits(self, *, domain: str, chance: float, now: float) -> bool:
        """Return whether a domain gets a request; `chance` is random in [0, 1)."""
        return chance < self.find_share(domain=domain, now=now)

    def select(
        self, *, domains: frozenset[str], chance: float, now: float
    ) -> frozenset[str]:
        """Return the domains that a request may go to; `chance` is random in [0, 1).

        If the ramps exclude all domains, every domain that is in may be used: a ramp
        only protects a domain from load that others can take.
        """
        shares = {domain: self.find_share(domain=domain, now=now) for domain in domains}
        admitting = {domain for domain, share in shares.items() if chance < share}
        is_in = {domain for domain, share in shares.items() if share > 0}
        return frozenset(admitting or is_in)
