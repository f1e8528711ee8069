"""Cascades, roll-outs and ratings, without the load of a fleet."""

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

# Ratings scatter around the quality of a model for a kind by this much.
SPREAD = 0.08

# How much better or worse than its quality a model is for a kind of request.
EASY, HARD = 0.08, -0.2
EASY_SHARE = 0.7

# The entry rates this share of answers that no cascade waits for.
SAMPLE_SHARE = 0.2

SECONDS_PER_TOKEN = 0.033
PREFILL_SECONDS = 0.25
RATING_SECONDS = 0.3


class FirstRule(enum.Enum):
    """Where a cascade begins."""

    MODULE = "module"
    CHEAPEST = "cheapest first"
    BEST = "best only"
    SINGLE = "cheapest only"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delivered:
    """One answer as its caller got it; `first` is seconds to its first token."""

    cost: float
    rating: float
    first: float
    is_good: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CascadeCase:
    """A cascade of one organisation; ratings are away in a part of the run."""

    rungs: tuple[Rung, ...]
    target: float
    preference: Preference
    policy: Policy
    tokens: float = 100.0
    requests: int = 3_000
    away: tuple[int, int] = (0, 0)
    timeout: float = 1.0


def play_cascade(case: CascadeCase, *, rule: FirstRule, seed: int) -> list[Delivered]:
    """Answer the requests of a case by one rule."""
    dice = random.Random(seed)
    chooser = CascadePlanner()
    return [
        _answer(case, rule, chooser, dice, number) for number in range(case.requests)
    ]


def _answer(
    case: CascadeCase,
    rule: FirstRule,
    chooser: CascadePlanner,
    dice: random.Random,
    number: int,
) -> Delivered:
    # All that is drawn is drawn first, so all rules face the same requests.
    kind = "easy" if dice.random() < EASY_SHARE else "hard"
    tokens = case.tokens * dice.lognormvariate(0, 0.5)
    ratings = [_rate(rung, kind, dice) for rung in case.rungs]
    chance, sampled = dice.random(), dice.random() < SAMPLE_SHARE
    first, direct = _plan(case, rule, chooser, kind, chance)
    is_away = case.away[0] <= number < case.away[1]
    last = len(case.rungs) - 1
    cost = waited = 0.0
    for index in range(first, last + 1):
        rung = case.rungs[index]
        cost += rung.cost * tokens / 1_000
        rating = None if is_away else ratings[index]
        is_sent = index == last or (direct and index == first)
        if is_sent:
            waited += PREFILL_SECONDS
            if sampled:
                _teach(chooser, kind, rung, rating, number)
            break
        waited += PREFILL_SECONDS + tokens * SECONDS_PER_TOKEN
        waited += case.timeout if rating is None else RATING_SECONDS
        _teach(chooser, kind, rung, rating, number)
        verdict = chooser.judge(
            rating=rating, target=case.target, rung=rung, last=False, kind=kind
        )
        if isinstance(verdict, Deliver):
            break
    return Delivered(
        cost=cost,
        rating=ratings[index],
        first=waited,
        is_good=ratings[index] >= case.target,
    )


def _plan(
    case: CascadeCase,
    rule: FirstRule,
    chooser: CascadePlanner,
    kind: str,
    chance: float,
) -> tuple[int, bool]:
    match rule:
        case FirstRule.BEST:
            return len(case.rungs) - 1, True
        case FirstRule.SINGLE:
            return 0, True
        case FirstRule.CHEAPEST:
            return 0, False
    plan = chooser.plan(
        kind=kind,
        target=case.target,
        preference=case.preference,
        rungs=case.rungs,
        chance=chance,
        policy=case.policy,
    )
    return plan.first, plan.direct


def _teach(
    chooser: CascadePlanner, kind: str, rung: Rung, rating: float | None, number: int
) -> None:
    if rating is not None:
        chooser.note(kind=kind, rung_model=rung.model, rating=rating, now=number / 10)


def _rate(rung: Rung, kind: str, dice: random.Random) -> float:
    # The best model is good for hard kinds too; cheap ones aren't.
    shift = EASY if kind == "easy" else HARD * (1 - rung.quality) / 0.26
    return min(max(dice.gauss(rung.quality + shift, SPREAD), 0.0), 1.0)


class Turn(enum.Enum):
    """How a version turns bad."""

    FAILS = "fails nine in ten"
    RATED_LOW = "rated 0.4 lower"
    SLIGHTLY = "rated 0.2 lower"
    SLOW = "six times slower"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutCase:
    """A new version at a share of the traffic that turns bad at `turns_at`."""

    turn: Turn | None
    policy: Policy = Policy()
    quality: float = 0.92
    weight: float = 10.0
    requests: int = 3_000
    turns_at: int = 500
    evens_ratings: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exposure:
    """Answers of the bad version after it turned, and when it was suspected.

    `new` counts its answers in all, which in a sound run are its share.
    """

    bad: int
    new: int


def play_rollout(case: RolloutCase, *, is_fixed: bool, seed: int) -> Exposure:
    """Serve by shares of the health module or by fixed weights."""
    dice = random.Random(seed)
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
        version = choose_version(shares=shares, chance=dice.random())
        is_new = version == "m/new"
        is_bad = is_new and case.turn is not None and number >= case.turns_at
        new += is_new
        bad += is_bad
        rated = SAMPLE_SHARE
        if case.evens_ratings:
            rated = find_sample_share(version=version, shares=shares, budget=rated)
        samples = _make_samples(case, version, is_bad, rated, dice)
        for sample in () if is_fixed else samples:
            health.note(sample=sample, now=now)
    return Exposure(bad=bad, new=new)


def _make_samples(
    case: RolloutCase, version: str, is_bad: bool, rated: float, dice: random.Random
) -> list[Sample]:
    turn = case.turn if is_bad else None
    failed = dice.random() < (0.9 if turn is Turn.FAILS else 0.02)
    slower = 6.0 if turn is Turn.SLOW else 1.0
    lower = {Turn.RATED_LOW: 0.4, Turn.SLIGHTLY: 0.2}.get(turn, 0.0)
    seconds = dice.lognormvariate(0.0, 0.6) * slower
    rating = min(max(dice.gauss(case.quality - lower, SPREAD), 0.0), 1.0)
    samples = [Sample(version=version, failed=failed, rating=None, seconds=seconds)]
    if not failed and dice.random() < rated:
        samples.append(Sample(version=version, failed=False, rating=rating, seconds=0))
    return samples
