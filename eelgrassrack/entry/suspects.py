"""Suspected and quarantined requests: those that may crash endpoints.

Agents report which requests were running when an engine crashed.  A request
that is identified as a query of death is quarantined, and its fingerprint is
sent to other entries and agents at once, so that they refuse resends as well.

The same holds for messages that prompts share, though no two of the requests with
such a message are alike.
"""

from collections.abc import Callable

import logbook
import xxhash

from ..decisions.crashrecords import NEVER
from ..decisions.quarantine import (
    TRIAL_SECONDS,
    Clear,
    OnTrial,
    Quarantine,
    Quarantined,
    RunAlone,
)
from ..decisions.queryofdeath import Blocked, QueryOfDeathDetector, Suspected
from ..decisions.runs import Crash as EndpointCrash
from ..decisions.runs import Traits
from ..mailbox.messages import Cleared, Crash
from .refusals import CallerError, refuse_overload

log = logbook.Logger("suspects")

UNPROCESSABLE = 422

# Reports of a crash that name the same endpoint within this time are of one crash: the
# agent and each entry with requests there report it.
SAME_CRASH_SECONDS = 2.0

# No request: the quarantine knows requests by their fingerprints.
NO_REQUEST = 0

Spread = Callable[[tuple[str, ...]], None]


class SuspectRequests:
    """Detects requests that crash endpoints and quarantines them."""

    __slots__ = (
        "_clock",
        "_crashes",
        "_detector",
        "_part_trials",
        "_quarantine",
        "_spread",
    )

    def __init__(self, *, clock: Callable[[], float], spread: Spread) -> None:
        self._clock = clock
        self._quarantine = Quarantine()
        self._detector = QueryOfDeathDetector()
        # The latest crash of each endpoint, and the end of each suspected part's trial.
        self._crashes: dict[str, EndpointCrash] = {}
        self._part_trials: dict[int, float] = {}
        self._spread = spread

    @property
    def quarantined(self) -> tuple[str, ...]:
        """Return the fingerprints of all quarantined requests."""
        return self._quarantine.fingerprints

    def judge(
        self, *, fingerprint: str, parts: tuple[str, ...] = ()
    ) -> Clear | RunAlone | CallerError:
        """Return whether a request may run, with others or alone, or its refusal."""
        standing = self._judge_request(fingerprint)
        if not parts or isinstance(standing, CallerError):
            return standing
        return self._judge_parts(parts) or standing

    def _judge_parts(self, parts: tuple[str, ...]) -> RunAlone | CallerError | None:
        if not set(parts).isdisjoint(self.quarantined):
            return refuse_quarantined()
        now = self._clock()
        match self._detector.judge(make_traits(parts), now=now):
            case Blocked():
                return refuse_quarantined()
            case Suspected(traits=traits):
                until = max(self._part_trials.get(trait, now) for trait in traits)
                if until > now:
                    return refuse_overload(reason="on_trial", retry_after=until - now)
                return RunAlone()
        return None

    def _judge_request(self, fingerprint: str) -> Clear | RunAlone | CallerError:
        if not fingerprint:
            return Clear()
        standing = self._quarantine.judge(fingerprint=fingerprint, now=self._clock())
        match standing:
            case Quarantined():
                return refuse_quarantined()
            case OnTrial(retry_after=retry_after):
                return refuse_overload(reason="on_trial", retry_after=retry_after)
        return standing

    def begin_trial(self, *, fingerprint: str, parts: tuple[str, ...] = ()) -> None:
        """Note that a suspected request starts to run alone."""
        now = self._clock()
        self._quarantine.begin_trial(fingerprint=fingerprint, now=now)
        match self._detector.judge(make_traits(parts), now=now):
            case Suspected(traits=traits):
                until = now + TRIAL_SECONDS
                self._part_trials.update(dict.fromkeys(traits, until))

    def end_trial(self, *, fingerprint: str, parts: tuple[str, ...] = ()) -> None:
        """Note that a suspected request that ran alone has ended."""
        self._quarantine.end_trial(fingerprint=fingerprint)
        for trait in make_traits(parts).parts:
            self._part_trials.pop(trait, None)

    def note_answer(self, *, parts: tuple[str, ...]) -> None:
        """Note that an endpoint answered a request with these parts."""
        if parts:
            self._detector.note_answer(make_traits(parts), at=self._clock())

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
        self._blame_parts(crash)

    def _blame_parts(self, crash: Crash) -> None:
        """Count a crash against the parts of the prompts that ran there."""
        if not crash.parts:
            return
        now = self._clock()
        known = self._crashes.get(crash.endpoint)
        is_same = known is not None and now <= known.at + SAME_CRASH_SECONDS
        at = known.at if is_same else now
        noted = EndpointCrash(
            lifetime=xxhash.xxh3_64_intdigest(f"{crash.endpoint}.{at}".encode()),
            at=at,
            # When the requests were sent isn't told: crashes of one moment count once.
            sent_at=dict.fromkeys(make_traits(crash.parts).parts, NEVER),
        )
        self._crashes[crash.endpoint] = noted
        self._detector.note_crash(noted)
        self._quarantine_parts(now)

    def _quarantine_parts(self, now: float) -> None:
        """Quarantine the parts that alone explain crashes, and tell others."""
        guilty = self._detector.find_guilty(now=now)
        names = (format_part(*guilt.parts) for guilt in guilty if len(guilt.parts) == 1)
        found = tuple(name for name in names if name not in self.quarantined)
        if found:
            log.warning("suspects: quarantined parts: {}", ", ".join(found))
            self._quarantine.merge(fingerprints=found, now=now)
            self._spread(found)

    def take_cleared(self, cleared: Cleared) -> None:
        """Clear suspected requests that ran without a crash."""
        for fingerprint in cleared.fingerprints:
            self._quarantine.note_cleared(fingerprint=fingerprint)
        self.note_answer(parts=cleared.parts)

    def merge(self, fingerprints: tuple[str, ...]) -> None:
        """Add the requests that a peer quarantined, and spread the new ones."""
        new = tuple(set(fingerprints) - set(self.quarantined))
        self._quarantine.merge(fingerprints=fingerprints, now=self._clock())
        spread = tuple(sorted(set(new) & set(self.quarantined)))
        if spread:
            self._spread(spread)


def make_traits(parts: tuple[str, ...]) -> Traits:
    """Return what crashes may be blamed on, from the fingerprints of parts."""
    return Traits(NO_REQUEST, frozenset(int(part, 16) for part in parts))


def format_part(trait: int) -> str:
    """Return the fingerprint of a part."""
    return f"{trait:016x}"


def refuse_quarantined() -> CallerError:
    """Return the refusal of a request that crashes endpoints."""
    return CallerError(
        status=UNPROCESSABLE,
        code="quarantined",
        text="This request was not run: it has crashed endpoints before.",
    )
