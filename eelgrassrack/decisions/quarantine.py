"""Quarantine of queries of death: requests that crash the endpoints that run them.

The caller of such a request sends it again and again.  Without a quarantine it would
crash one endpoint of the pool after the other, each time together with the batch of
requests that run at the same time.

After a crash all requests that were running are suspects, since the engine doesn't say
which one caused it.  A suspect may run once more, alone, so that another crash can only
be its own.  It is quarantined if it crashed an endpoint alone, or if it was running
when a second endpoint crashed.  One request thus crashes at most two endpoints, and the
harmless requests of a batch are cleared when they complete.  A harmless request that
was in both batches and didn't complete in between is quarantined too, because sparing
it would let the culprit crash a third endpoint.

While a suspect runs alone its copies wait, provided that the entry calls `begin_trial`:
two copies at once would crash two more endpoints.

Suspects are requests here; suspected endpoints are the subject of `suspects`.
"""

from typing import TypeVar

import msgspec

T = TypeVar("T")

# A quarantine ends after an hour: callers give up long before, and an engine that was
# fixed in the meantime should accept the request again.
QUARANTINE_SECONDS = 3_600.0

# An ended quarantine isn't merged from a peer again for ten minutes.  Quarantines end
# at slightly different times at different peers; without this grace peers would pass an
# ended quarantine back and forth for ever.
MERGE_GRACE_SECONDS = 600.0

# A suspect whose caller didn't send it again is forgotten after ten minutes.
SUSPECT_SECONDS = 600.0

# Copies wait for a trial whose end was never reported no longer than the default
# deadline of a request.
TRIAL_SECONDS = 60.0

# Limits the memory that a caller with ever new fingerprints can use.
MAX_SUSPECTS = 10_000


class Clear(msgspec.Struct, kw_only=True, frozen=True):
    """The request may run together with others."""


class RunAlone(msgspec.Struct, kw_only=True, frozen=True):
    """The request is a suspect and may run only while nothing else runs."""


class Quarantined(msgspec.Struct, kw_only=True, frozen=True):
    """The request may not run; it may be sent again after `retry_after` seconds."""

    retry_after: float


class OnTrial(msgspec.Struct, kw_only=True, frozen=True):
    """A copy of the request is on trial; send it again after `retry_after` seconds."""

    retry_after: float


class Suspect:
    """A suspected request: it was running on `endpoints` when they crashed."""

    __slots__ = ("endpoints", "forgotten_at", "trial_until")

    def __init__(self) -> None:
        self.endpoints: set[str] = set()
        self.forgotten_at = 0.0
        self.trial_until = float("-inf")


class Quarantine:
    """Find the requests that crash endpoints and block them."""

    # Each table is ordered by time, since all its entries have the same lifetime:
    # expired ones come first.
    __slots__ = ("_ended", "_now", "_suspects", "_until")

    def __init__(self) -> None:
        self._suspects: dict[str, Suspect] = {}
        self._until: dict[str, float] = {}
        self._ended: dict[str, float] = {}
        self._now = float("-inf")

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Return the quarantined fingerprints as of the latest call."""
        return tuple(self._until)

    def note_crash(
        self, *, endpoint: str, fingerprints: tuple[str, ...], alone: bool, now: float
    ) -> tuple[str, ...]:
        """Note a crash and return the fingerprints that it quarantines.

        `fingerprints` are those of the requests that were running; `alone` says that
        there was only one, on trial.  The same crash may be noted more than once.
        """
        self._advance(now=now)
        known = {
            fingerprint
            for fingerprint in fingerprints
            if fingerprint and fingerprint not in self._until
        }
        culprits = {
            fingerprint
            for fingerprint in known
            if alone or self._crashed_elsewhere(fingerprint, endpoint=endpoint)
        }
        for fingerprint in sorted(culprits):
            self._quarantine(fingerprint)
        for fingerprint in sorted(known - culprits):
            self._suspect(fingerprint, endpoint=endpoint)
        return tuple(sorted(culprits))

    def judge(
        self, *, fingerprint: str, now: float
    ) -> Clear | RunAlone | OnTrial | Quarantined:
        """Return whether and how a request may run."""
        self._advance(now=now)
        if fingerprint in self._until:
            return Quarantined(retry_after=self._until[fingerprint] - now)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return Clear()
        if now < suspect.trial_until:
            return OnTrial(retry_after=suspect.trial_until - now)
        return RunAlone()

    def begin_trial(self, *, fingerprint: str, now: float) -> None:
        """Note that a suspect begins to run alone."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.trial_until = now + TRIAL_SECONDS

    def end_trial(self, *, fingerprint: str) -> None:
        """Note that a trial ended without a result."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.trial_until = float("-inf")

    def note_cleared(self, *, fingerprint: str) -> None:
        """Clear a suspect that has completed; a quarantine stays."""
        self._suspects.pop(fingerprint, None)

    def merge(self, *, fingerprints: tuple[str, ...], now: float) -> None:
        """Add the quarantines of a peer."""
        self._advance(now=now)
        for fingerprint in fingerprints:
            if fingerprint not in self._until and fingerprint not in self._ended:
                self._quarantine(fingerprint)

    def _crashed_elsewhere(self, fingerprint: str, *, endpoint: str) -> bool:
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and bool(suspect.endpoints - {endpoint})

    def _quarantine(self, fingerprint: str) -> None:
        self._suspects.pop(fingerprint, None)
        self._ended.pop(fingerprint, None)
        self._until[fingerprint] = self._now + QUARANTINE_SECONDS

    def _suspect(self, fingerprint: str, *, endpoint: str) -> None:
        suspect = self._suspects.pop(fingerprint, None) or Suspect()
        suspect.endpoints.add(endpoint)
        suspect.forgotten_at = self._now + SUSPECT_SECONDS
        suspect.trial_until = float("-inf")
        self._suspects[fingerprint] = suspect
        if len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

    def _advance(self, *, now: float) -> None:
        """Drop expired entries."""
        self._now = max(self._now, now)
        while self._until and _find_first(self._until) <= self._now:
            fingerprint = next(iter(self._until))
            self._ended[fingerprint] = (
                self._until.pop(fingerprint) + MERGE_GRACE_SECONDS
            )
        while self._ended and _find_first(self._ended) <= self._now:
            del self._ended[next(iter(self._ended))]
        while self._suspects and _find_first(self._suspects).forgotten_at <= self._now:
            del self._suspects[next(iter(self._suspects))]


def _find_first(table: dict[str, T]) -> T:
    return next(iter(table.values()))
