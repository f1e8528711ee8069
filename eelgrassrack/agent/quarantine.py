"""The fingerprints of requests that crash endpoints (queries of death).

Entries decide which fingerprints are quarantined and for how long, and repeat them
with the facts.  A fingerprint that isn't repeated expires here, so that one
released by the entries isn't refused forever.
"""

from collections.abc import Iterable

# Longer than any interval between two repeats, and short enough that an operator
# who has released a request needn't restart the agents.
FINGERPRINT_TTL_SECONDS = 900.0
MAX_FINGERPRINTS = 10_000


class Quarantine:
    """The quarantined fingerprints, each with the time at which it expires."""

    __slots__ = ("_expires_at", "fingerprints")

    def __init__(self) -> None:
        self._expires_at: dict[str, float] = {}
        self.fingerprints: frozenset[str] = frozenset()

    def add(self, fingerprints: Iterable[str], *, now: float) -> None:
        """Add fingerprints received from an entry, or extend their time."""
        for fingerprint in fingerprints:
            self._expires_at.pop(fingerprint, None)
            self._expires_at[fingerprint] = now + FINGERPRINT_TTL_SECONDS
        while len(self._expires_at) > MAX_FINGERPRINTS:
            del self._expires_at[next(iter(self._expires_at))]
        self.fingerprints = frozenset(self._expires_at)

    def expire(self, *, now: float) -> None:
        """Remove the fingerprints that weren't repeated in time."""
        oldest = next(iter(self._expires_at.values()), now + FINGERPRINT_TTL_SECONDS)
        if oldest > now:
            return
        self._expires_at = {
            key: until for key, until in self._expires_at.items() if until > now
        }
        self.fingerprints = frozenset(self._expires_at)
