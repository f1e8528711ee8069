"""Suspected and quarantined requests: those that may crash endpoints.

Agents report which requests were running when an engine crashed.  A request
that is identified as a query of death is quarantined, and its fingerprint is
sent to other entries and agents at once, so that they refuse resends as well.
"""

from collections.abc import Callable

import logbook

from ..decisions.quarantine import Clear, OnTrial, Quarantine, Quarantined, RunAlone
from ..mailbox.messages import Cleared, Crash
from .refusals import CallerError, refuse_overload

log = logbook.Logger("suspects")

UNPROCESSABLE = 422

Spread = Callable[[tuple[str, ...]], None]


class SuspectRequests:
    """Detects requests that crash endpoints and quarantines them."""

    __slots__ = ("_clock", "_quarantine", "_spread")

    def __init__(self, *, clock: Callable[[], float], spread: Spread) -> None:
        self._clock = clock
        self._quarantine = Quarantine()
        self._spread = spread

    @property
    def quarantined(self) -> tuple[str, ...]:
        """Return the fingerprints of all quarantined requests."""
        return self._quarantine.fingerprints

    def judge(self, *, fingerprint: str) -> Clear | RunAlone | CallerError:
        """Return whether a request may run, with others or alone, or its refusal."""
        if not fingerprint:
            return Clear()
        standing = self._quarantine.judge(fingerprint=fingerprint, now=self._clock())
        match standing:
            case Quarantined():
                return refuse_quarantined()
            case OnTrial(retry_after=retry_after):
                return refuse_overload(reason="on_trial", retry_after=retry_after)
        return standing

    def begin_trial(self, *, fingerprint: str) -> None:
        """Note that a suspected request starts to run alone."""
        self._quarantine.begin_trial(fingerprint=fingerprint, now=self._clock())

    def end_trial(self, *, fingerprint: str) -> None:
        """Note that a suspected request that ran alone has ended."""
        self._quarantine.end_trial(fingerprint=fingerprint)

    def take_crash(self, crash: Crash) -> None:
        """Process a crash; spread the requests that it causes to be quarantined."""
        culprits = self._quarantine.note_crash(
            endpoint=crash.endpoint,
            fingerprints=crash.fingerprints,
            alone=crash.alone,
            now=self._clock(),
        )
        if culprits:
            log.warning("suspects: quarantined: {}", ", ".join(culprits))
            self._spread(culprits)

    def take_cleared(self, cleared: Cleared) -> None:
        """Clear suspected requests that ran without a crash."""
        for fingerprint in cleared.fingerprints:
            self._quarantine.note_cleared(fingerprint=fingerprint)

    def merge(self, fingerprints: tuple[str, ...]) -> None:
        """Add the requests that a peer quarantined, and spread the new ones."""
        new = tuple(set(fingerprints) - set(self.quarantined))
        self._quarantine.merge(fingerprints=fingerprints, now=self._clock())
        spread = tuple(sorted(set(new) & set(self.quarantined)))
        if spread:
            self._spread(spread)


def refuse_quarantined() -> CallerError:
    """Return the refusal of a request that crashes endpoints."""
    return CallerError(
        status=UNPROCESSABLE,
        code="quarantined",
        text="This request was not run: it has crashed endpoints before.",
    )
