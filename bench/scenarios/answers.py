"""Simulated cascades, roll-outs and ratings, without load or queues."""

import dataclasses
import enum
import random

from eelgrassrack.decisions.cascade import CascadePlanner, Deliver, Rung
from eelgrassrack.decisions.rollout import (
    PlannedVersion,
    RolloutHealth,
    Sample,
    choose_version,
)
from eelgrassrack.decisions.sampling import find_sample_share
from eelgrassrack.document.sections import Policy, Preference

# The standard deviation of ratings around the quality of a model for a kind.
RATING_SPREAD = 0.08

# The difference between the ratings of easy or hard requests and a model's quality.
EASY_QUALITY_SHIFT, HARD_QUALITY_SHIFT = 0.08, -0.2
EASY_SHARE = 0.7

# The share of answers outside cascades that an entry has rated.
SAMPLE_SHARE = 0.2

SECONDS_PER_TOKEN = 0.033
PREFILL_SECONDS = 0.25
RATING_SECONDS = 0.3


class CascadeRule(enum.Enum):
    """How the first model of a cascade is chosen."""

    MODULE = "module"
    CHEAPEST = "cheapest first"
    BEST = "best only"
    SINGLE = "cheapest only"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeliveredAnswer:
    """One answer that a caller got; `first` is the seconds to its first token."""

    cost: float
    rating: float
    first: float
    is_good: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CascadeCase:
    """A cascade of one organisation.

    The rating service is unavailable for the request numbers in `outage`, and
    `timeout` is how many seconds a cascade waits for a rating.
    """

    rungs: tuple[Rung, ...]
    target: float
    preference: Preference
    policy: Policy
    tokens: float = 100.0
    requests: int = 3_000
    outage: tuple[int, int] = (0, 0)
    timeout: float = 1.0


def play_cascade(
    case: CascadeCase, *, rule: CascadeRule, seed: int
) -> list[DeliveredAnswer]:
    """Return the answers to the requests of a case under one rule."""
    rng = random.Random(seed)
    planner = CascadePlanner()
    return [
        _answer(case, rule, planner, rng, number) for number in range(case.requests)
    ]


def _answer(
    case: CascadeCase,
    rule: CascadeRule,
    planner: CascadePlanner,
    rng: random.Random,
    number: int,
) -> DeliveredAnswer:
    # Draw every random number before the rule decides anything, so that all rules
    # face the same requests.
    kind = "easy" if rng.random() < EASY_SHARE else "hard"
    tokens = case.tokens * rng.lognormvariate(0, 0.5)
    ratings = [_draw_rating(rung, kind, rng) for rung in case.rungs]
    chance, sampled = rng.random(), rng.random() < SAMPLE_SHARE
    first, direct = _plan(case, rule, planner, kind, chance)
    is_outage = case.outage[0] <= number < case.outage[1]
    last = len(case.rungs) - 1
    cost = waited = 0.0
    for index in range(first, last + 1):
        rung = case.rungs[index]
        cost += rung.cost * tokens / 1_000
        rating = None if is_outage else ratings[index]
        is_sent = index == last or (direct and index == first)
        if is_sent:
            waited += PREFILL_SECONDS
            if sampled:
                _note_rating(planner, kind, rung, rating, number)
            break
        waited += PREFILL_SECONDS + tokens * SECONDS_PER_TOKEN
        waited += case.timeout if rating is None else RATING_SECONDS
        _note_rating(planner, kind, rung, rating, number)
        verdict = planner.judge(
            rating=rating, target=case.target, rung=rung, last=False, kind=kind
        )
        if isinstance(verdict, Deliver):
            break
    return DeliveredAnswer(
        cost=cost,
        rating=ratings[index],
        first=waited,
        is_good=ratings[index] >= case.target,
    )


def _plan(
    case: CascadeCase,
    rule: CascadeRule,
    planner: CascadePlanner,
    kind: str,
    chance: float,
) -> tuple[int, bool]:
    match rule:
        case CascadeRule.BEST:
            return len(case.rungs) - 1, True
        case CascadeRule.SINGLE:
            return 0, True
        case CascadeRule.CHEAPEST:
            return 0, False
    plan = planner.plan(
        kind=kind,
        target=case.target,
        preference=case.preference,
        rungs=case.rungs,
        chance=chance,
        policy=case.policy,
    )
    return plan.first, plan.direct


def _note_rating(
    planner: CascadePlanner, kind: str, rung: Rung, rating: float | None, number: int
) -> None:
    if rating is not None:
        planner.note(kind=kind, rung_model=rung.model, rating=rating, now=number / 10)


def _draw_rating(rung: Rung, kind: str, rng: random.Random) -> float:
    # Better models lose less on hard requests: a model with quality 0.74 has the whole
    # shift, a perfect one none.
    shift = (
        EASY_QUALITY_SHIFT
        if kind == "easy"
        else HARD_QUALITY_SHIFT * (1 - rung.quality) / 0.26
    )
    return min(max(rng.gauss(rung.quality + shift, RATING_SPREAD), 0.0), 1.0)


class Degradation(enum.Enum):
    """How a version becomes worse."""

    FAILS = "fails nine in ten"
    RATED_LOW = "rated 0.4 lower"
    SLIGHTLY = "rated 0.2 lower"
    SLOW = "six times slower"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutCase:
    """A new version that gets `weight` percent of the traffic and becomes worse.

    The version degrades at the request number `degrades_at`, or never if
    `degradation` is None.  If `rates_evenly` is true, versions with a small share
    have a larger part of their answers rated.
    """

    degradation: Degradation | None
    policy: Policy = Policy()
    quality: float = 0.92
    weight: float = 10.0
    requests: int = 3_000
    degrades_at: int = 500
    rates_evenly: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exposure:
    """The number of answers that callers got from the new version.

    `bad` counts the answers after it degraded, `new` all its answers.
    """

    bad: int
    new: int


def play_rollout(case: RolloutCase, *, is_fixed: bool, seed: int) -> Exposure:
    """Run a roll-out with fixed weights or with the shares of the health module."""
    rng = random.Random(seed)
    health = RolloutHealth()
    plan = (
        PlannedVersion(name="m/old", weight=100.0 - case.weight, active=True),
        PlannedVersion(name="m/new", weight=case.weight, active=True),
    )
    fixed = {one.name: one.weight / 100.0 for one in plan}
    bad = new = 0
    for number in range(case.requests):
        now = float(number)
        shares = fixed
        if not is_fixed:
            shares = health.find_shares(versions=plan, now=now, policy=case.policy)
        version = choose_version(shares=shares, chance=rng.random())
        is_new = version == "m/new"
        is_bad = is_new and case.degradation is not None and number >= case.degrades_at
        new += is_new
        bad += is_bad
        rated = SAMPLE_SHARE
        if case.rates_evenly:
            rated = find_sample_share(version=version, shares=shares, budget=rated)
        samples = _make_samples(case, version, is_bad, rated, rng)
        for sample in () if is_fixed else samples:
            health.note(sample=sample, now=now)
    return Exposure(bad=bad, new=new)


def _make_samples(
    case: RolloutCase, version: str, is_bad: bool, rated: float, rng: random.Random
) -> list[Sample]:
    degradation = case.degradation if is_bad else None
    failed = rng.random() < (0.9 if degradation is Degradation.FAILS else 0.02)
    slower = 6.0 if degradation is Degradation.SLOW else 1.0
    lower = {Degradation.RATED_LOW: 0.4, Degradation.SLIGHTLY: 0.2}.get(
        degradation, 0.0
    )
    seconds = rng.lognormvariate(0.0, 0.6) * slower
    rating = min(max(rng.gauss(case.quality - lower, RATING_SPREAD), 0.0), 1.0)
    samples = [Sample(version=version, failed=failed, rating=None, seconds=seconds)]
    if not failed and rng.random() < rated:
        samples.append(Sample(version=version, failed=False, rating=rating, seconds=0))
    return samples
