"""Canary analysis: the traffic share of each model version during a roll-out.

If a version at a tenth of the traffic turns bad (it fails, is rated low, or takes far
longer), a fixed weight would make every tenth answer bad until somebody notices.

Three sequential tests compare each version with the other versions of its model:
failures, ratings and slow answers.  The module `detection` describes the tests and why
they compare answers of the same period.

A suspect version gets a tenth of its share, and the whole share again when its evidence
falls.  A bad version gets no new requests until operators change its weight or state.
No version is raised above its planned weight relative to the healthy ones.  If every
version is bad, all keep their planned weights, since the tests don't tell which one is
better.
"""

import enum
import itertools
import math
from collections.abc import Iterable, Mapping

import msgspec

from ..document.sections import Policy
from .detection import Detector, Mean
from .weights import weigh_exposure

# Thresholds of evidence.  In the worst case, a version that is worse by exactly the
# margin, a test raises a false suspicion once in 10 bets and a false alarm once in
# 1,000.  Both are far rarer for equal versions; test/decisions/test_rollout.py measures
# them.
SUSPECT_EVIDENCE = 10.0
BAD_EVIDENCE = 1_000.0

# A suspect version still gets enough traffic to be cleared or found bad.  The higher
# the policy weighs exposure, the less evidence makes a version suspect, and the less
# traffic it gets.
SUSPECT_FACTOR = 0.1

# An answer is slow if it takes three times the usual time of the model's fastest
# version.  A version that is half as slow again by design then stays below the margin,
# given the usual spread of times (log-normal, sigma about 0.6).  The fastest version is
# the reference because the usual time over all versions would follow a version that has
# most of the traffic and turns slow.  A version must have MIN_TIMED_ANSWERS timed
# answers to count.
SLOW_FACTOR = 3.0
MIN_TIMED_ANSWERS = 10
MIN_SECONDS = 1e-4


# The policy if the document states none: equal weights.
EVEN = Policy()


class Signal(enum.Enum):
    """The signals by which versions are compared."""

    FAILURES = "failures"
    RATINGS = "ratings"
    SECONDS = "seconds"


class Health(enum.Enum):
    """The health of a version according to the evidence."""

    SOUND = "sound"
    SUSPECT = "suspect"
    BAD = "bad"


class PlannedVersion(msgspec.Struct, kw_only=True, frozen=True):
    """A version as planned in the document; `name` is `model/label`."""

    name: str
    weight: float
    active: bool


class Sample(msgspec.Struct, kw_only=True, frozen=True):
    """One answer of a version.

    `rating` is None if the answer wasn't rated, `seconds` is 0 for a rating that came
    after its answer was counted.
    """

    version: str
    failed: bool
    rating: float | None
    seconds: float


class Verdict(msgspec.Struct, kw_only=True, frozen=True):
    """The reason for a version's share, for operators.

    `signal` is the one with the most evidence; `own_loss` and `others_loss` are its
    mean losses (0 to 1).  `since` is the time of the last change of `health`.
    """

    version: str
    health: Health
    signal: Signal
    evidence: float
    own_loss: float
    others_loss: float
    samples: int
    since: float


class Record:
    """The evidence and health of one version."""

    __slots__ = ("detectors", "health", "log_seconds", "samples", "since", "weight")

    def __init__(self) -> None:
        self.detectors = {signal: Detector() for signal in Signal}
        self.log_seconds = Mean()
        self.samples = 0
        self.health = Health.SOUND
        self.since = float("-inf")
        self.weight: float | None = None

    def find_strongest(self) -> Signal:
        """Return the signal with the most evidence."""
        return max(Signal, key=lambda signal: self.detectors[signal].evidence)

    def judge(self, *, now: float, exposure: float) -> None:
        """Update the health from the evidence; a bad version stays bad."""
        evidence = self.detectors[self.find_strongest()].evidence
        health = _find_health(evidence, exposure=exposure)
        if self.health is not Health.BAD and health is not self.health:
            self.health = health
            self.since = now


class RolloutHealth:
    """Lower the shares of versions that are worse than the others of their model."""

    __slots__ = ("_exposure", "_models")

    def __init__(self) -> None:
        self._exposure = 1.0
        self._models: dict[str, dict[str, Record]] = {}

    def note(self, *, sample: Sample, now: float) -> None:
        """Learn from an answer."""
        records = self._find_records(version=sample.version)
        own = _find_record(records, version=sample.version)
        own.samples += 1
        # The other versions aren't compared with a bad version.
        others = [
            record
            for name, record in records.items()
            if name != sample.version and own.health is not Health.BAD
        ]
        for signal, loss in _find_losses(sample=sample, records=records):
            if own.detectors[signal].add_own(loss):
                own.judge(now=now, exposure=self._exposure)
            for other in others:
                if other.detectors[signal].add_other(loss):
                    other.judge(now=now, exposure=self._exposure)
        if not sample.failed and sample.seconds > 0:
            own.log_seconds.add(_log(sample.seconds))

    def find_shares(
        self,
        *,
        versions: Iterable[PlannedVersion],
        now: float,
        policy: Policy = EVEN,
    ) -> dict[str, float]:
        """Return each version's share of new requests; the shares add up to one.

        The policy's weight of exposure also applies to evidence from now on.

        If operators change the weight or state of a suspect or bad version, its record
        is reset.  The record of a sound version is kept, so that each step of a
        roll-out is judged from its start.
        """
        self._exposure = weigh_exposure(policy)
        active = [planned for planned in versions if self._apply_plan(planned, now=now)]
        lowered = {
            planned.name: planned.weight * self._find_factor(planned.name)
            for planned in active
        }
        if not any(lowered.values()):
            lowered = {planned.name: planned.weight for planned in active}
        total = sum(lowered.values())
        return {name: weight / total for name, weight in lowered.items()}

    def explain(self, *, version: str) -> Verdict:
        """Return the health of a version and the evidence for it."""
        records = self._find_records(version=version)
        record = records.get(version) or Record()
        signal = record.find_strongest()
        detector = record.detectors[signal]
        return Verdict(
            version=version,
            health=record.health,
            signal=signal,
            evidence=detector.evidence,
            own_loss=detector.loss.value,
            others_loss=detector.others_loss.value,
            samples=record.samples,
            since=record.since,
        )

    def forget(self, *, version: str) -> None:
        """Delete the record of a version that the document no longer has."""
        self._find_records(version=version).pop(version, None)

    def _apply_plan(self, planned: PlannedVersion, *, now: float) -> bool:
        """Apply a version's plan; return whether the version may have a share."""
        records = self._find_records(version=planned.name)
        weight = planned.weight if planned.active else 0.0
        record = _find_record(records, version=planned.name)
        is_changed = record.weight is not None and record.weight != weight
        if is_changed and record.health is not Health.SOUND:
            record = records[planned.name] = Record()
            record.since = now
        record.weight = weight
        return weight > 0

    def _find_factor(self, version: str) -> float:
        match self._find_records(version=version)[version].health:
            case Health.SOUND:
                return 1.0
            case Health.SUSPECT:
                return SUSPECT_FACTOR / self._exposure
            case Health.BAD:
                return 0.0

    def _find_records(self, *, version: str) -> dict[str, Record]:
        return self._models.setdefault(_find_model(version), {})


def choose_version(*, shares: Mapping[str, float], chance: float) -> str | None:
    """Draw a version in proportion to the shares; return None if there are none.

    `chance` is a random number in [0, 1).
    """
    if not shares:
        return None
    bounds = itertools.accumulate(shares.values())
    drawn = (
        name
        for (name, share), bound in zip(shares.items(), bounds, strict=True)
        if share > 0 and chance < bound
    )
    # Due to rounding the shares may add up to slightly less than one.
    last = next(name for name in reversed(shares) if shares[name] > 0)
    return next(drawn, last)


def _find_record(records: dict[str, Record], *, version: str) -> Record:
    record = records.get(version)
    if record is None:
        record = records[version] = Record()
    return record


def _find_model(version: str) -> str:
    return version.partition("/")[0]


def _find_health(evidence: float, *, exposure: float) -> Health:
    if evidence >= BAD_EVIDENCE:
        return Health.BAD
    least = SUSPECT_EVIDENCE / exposure
    return Health.SUSPECT if evidence >= least else Health.SOUND


def _find_losses(
    *, sample: Sample, records: Mapping[str, Record]
) -> Iterable[tuple[Signal, float]]:
    """Yield the signals of an answer with their losses (0 to 1)."""
    if sample.failed or sample.seconds > 0:
        yield Signal.FAILURES, float(sample.failed)
    if sample.failed:
        return
    if sample.rating is not None and 0.0 <= sample.rating <= 1.0:
        yield Signal.RATINGS, 1.0 - sample.rating
    # A sample that is only a rating has no time.  Counted as zero seconds, it would
    # pull the mean time towards zero, until all answers looked slow and no version
    # stood out.
    if sample.seconds <= 0:
        return
    usual = min(
        (
            record.log_seconds.value
            for record in records.values()
            if record.log_seconds.samples >= MIN_TIMED_ANSWERS
        ),
        default=math.inf,
    )
    slow = _log(sample.seconds) > usual + math.log(SLOW_FACTOR)
    yield Signal.SECONDS, float(slow)


def _log(seconds: float) -> float:
    return math.log(max(seconds, MIN_SECONDS))
