"""How much new work each version of a model gets while it is rolled out.

Load pattern: a version at a tenth of the traffic turns bad: it fails, is
rated low, or takes far longer.  Without this module it keeps its fixed
weight until somebody notices, and each tenth answer is bad until then.

Each version is compared with the other versions of its model by three
sequential tests: failures, ratings, slow answers.  The module `detection`
tells how, and why answers of the same time are compared.

A suspect version gets a tenth of its share, and all of it again when its
evidence falls.  A bad one gets none until operators change its weight or
state.  Nothing here raises a version above its planned weight relative to
the sound ones.  If every version is bad, all keep their plan: the tests
then don't tell which is better.
"""

import enum
import itertools
import math
from collections.abc import Iterable, Mapping

import msgspec

from ..document.sections import Policy
from .detection import Detector, Mean
from .weights import weigh_exposure

# Thresholds of evidence.  At worst, that is for a version worse by exactly
# the margin, a test takes it for suspect once in 10 bets and for bad once in
# 1,000.  For versions that are equal both are far rarer;
# test/decisions/test_rollout.py measures them.
SUSPECT_EVIDENCE = 10.0
BAD_EVIDENCE = 1_000.0

# A suspect still gets enough to be cleared or found out.  Where exposure
# counts more in the policy, less evidence makes a suspect and it gets less.
SUSPECT_FACTOR = 0.1

# An answer is slow if it takes three times the usual time of the model's
# fastest version.  A version half as slow again by design then stays below
# the margin where times spread as usual (log-normal, sigma about 0.6).  The
# fastest is the measure since the usual time over all versions would follow
# a version with most of the traffic that turns slow.
SLOW_FACTOR = 3.0
LEAST_TIMED = 10
SHORTEST_SECONDS = 1e-4


# Without a word from the document all measures count alike.
EVEN = Policy()


class Signal(enum.Enum):
    """What a version is judged by."""

    FAILURES = "failures"
    RATINGS = "ratings"
    SECONDS = "seconds"


class Health(enum.Enum):
    """What the evidence says of a version."""

    SOUND = "sound"
    SUSPECT = "suspect"
    BAD = "bad"


class PlannedVersion(msgspec.Struct, kw_only=True, frozen=True):
    """A version as the document plans it; `name` is `model/label`."""

    name: str
    weight: float
    active: bool


class Sample(msgspec.Struct, kw_only=True, frozen=True):
    """One answer of a version; `rating` is None if it wasn't rated.

    `seconds` is zero for a rating that came after its answer was counted.
    """

    version: str
    failed: bool
    rating: float | None
    seconds: float


class Verdict(msgspec.Struct, kw_only=True, frozen=True):
    """Why a version has the share it has, for operators.

    `own_loss` and `others_loss` are mean losses (0 to 1) by the signal
    with the most evidence; `since` is when the health last changed.
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
    """What is known of one version."""

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
        """Work out the health from the evidence; bad stays bad."""
        evidence = self.detectors[self.find_strongest()].evidence
        health = _find_health(evidence, exposure=exposure)
        if self.health is not Health.BAD and health is not self.health:
            self.health = health
            self.since = now


class RolloutHealth:
    """Lower the share of versions that are worse than their peers."""

    __slots__ = ("_exposure", "_models")

    def __init__(self) -> None:
        self._exposure = 1.0
        self._models: dict[str, dict[str, Record]] = {}

    def note(self, *, sample: Sample, now: float) -> None:
        """Learn from an answer."""
        records = self._find_records(version=sample.version)
        own = _find_record(records, version=sample.version)
        own.samples += 1
        # A bad version is no measure for the others.
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
        """Return the share of new work, adding up to one, of each version.

        From here on evidence is judged by the policy's exposure as well.

        A changed weight or state is the operators' word on a suspect or bad
        version: what was known of it is dropped.  A sound one's record is
        kept, so that each step of a roll-out is watched from its start.
        """
        self._exposure = weigh_exposure(policy)
        active = [planned for planned in versions if self._heed(planned, now=now)]
        lowered = {
            planned.name: planned.weight * self._find_factor(planned.name)
            for planned in active
        }
        if not any(lowered.values()):
            lowered = {planned.name: planned.weight for planned in active}
        total = sum(lowered.values())
        return {name: weight / total for name, weight in lowered.items()}

    def explain(self, *, version: str) -> Verdict:
        """Return what the evidence says of a version."""
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
        """Drop what is known of a version that the document no longer has."""
        self._find_records(version=version).pop(version, None)

    def _heed(self, planned: PlannedVersion, *, now: float) -> bool:
        """Take over the plan; return whether the version may have a share."""
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
    """Draw a version by its share; None if there is none."""
    if not shares:
        return None
    bounds = itertools.accumulate(shares.values())
    drawn = (
        name
        for (name, share), bound in zip(shares.items(), bounds, strict=True)
        if share > 0 and chance < bound
    )
    # The shares may add up to a little less than one by rounding.
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
    """Yield the losses of an answer by signal."""
    if sample.failed or sample.seconds > 0:
        yield Signal.FAILURES, float(sample.failed)
    if sample.failed:
        return
    if sample.rating is not None and 0.0 <= sample.rating <= 1.0:
        yield Signal.RATINGS, 1.0 - sample.rating
    # A rating alone has no time: counted as one it would pull the usual time
    # towards zero, until every answer looked slow and no version stood out.
    if sample.seconds <= 0:
        return
    usual = min(
        (
            record.log_seconds.value
            for record in records.values()
            if record.log_seconds.samples >= LEAST_TIMED
        ),
        default=math.inf,
    )
    slow = _log(sample.seconds) > usual + math.log(SLOW_FACTOR)
    yield Signal.SECONDS, float(slow)


def _log(seconds: float) -> float:
    return math.log(max(seconds, SHORTEST_SECONDS))
