"""Fingerprints of requests that crash endpoints, as the entries told them.

Entries decide what is quarantined and for how long.  They tell it again
with their facts; what isn't told again is forgotten here, so that a
fingerprint released by the entries doesn't stay refused for good.
"""

from collections.abc import Iterable

# Longer than any gap between two tellings, and short enough that an
# operator who released a request needn't restart agents.
FINGERPRINT_TTL_SECONDS = 900.0
MAX_FINGERPRINTS = 10_000


class Quarantine:
    """Quarantined fingerprints with the time until which each counts."""

    __slots__ = ("_expires_at", "fingerprints")

    def __init__(self) -> None:
        self._expires_at: dict[str, float] = {}
        self.fingerprints: frozenset[str] = frozenset()

    def add(self, fingerprints: Iterable[str], *, now: float) -> None:
        """Take over fingerprints that an entry told."""
        for fingerprint in fingerprints:
            self._expires_at.pop(fingerprint, None)
            self._expires_at[fingerprint] = now + FINGERPRINT_TTL_SECONDS
        while len(self._expires_at) > MAX_FINGERPRINTS:
            del self._expires_at[next(iter(self._expires_at))]
        self.fingerprints = frozenset(self._expires_at)

    def expire(self, *, now: float) -> None:
        """Forget what wasn't told again."""
        oldest = next(iter(self._expires_at.values()), now + FINGERPRINT_TTL_SECONDS)
        if oldest > now:
            return
        self._expires_at = {
            key: until for key, until in self._expires_at.items() if until > now
        }
        self.fingerprints = frozenset(self._expires_at)
