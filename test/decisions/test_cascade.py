"""Tests of the cascade's choices."""

import math
import random

import pytest

from eelgrassrack.decisions.cascade import (
    SILENT_AFTER,
    CascadePlanner,
    Deliver,
    Escalate,
    EscalateReason,
    Rung,
)
from eelgrassrack.document.sections import Policy, Preference

RUNGS = (
    Rung(model="small", cost=1.0, quality=0.7),
    Rung(model="middle", cost=4.0, quality=0.8),
    Rung(model="large", cost=16.0, quality=0.95),
)
TARGET = 0.8


def plan(chooser, *, kind="k", preference=Preference.COST, chance=0.9):
    return chooser.plan(
        kind=kind, target=TARGET, preference=preference, rungs=RUNGS, chance=chance
    )


def teach(chooser, kind, model, *ratings, now=0.0):
    for rating in ratings:
        chooser.note(kind=kind, rung_model=model, rating=rating, now=now)


def answer(dice, *, good):
    return dice.uniform(0.8, 1.0) if dice.random() < good else dice.uniform(0.3, 0.79)


def test_cost_at_the_target_is_below_the_best_model():
    """Easy kinds are answered well by the small model, hard ones seldom.

    Always the best model costs 16 a request; the target holds for all.
    """
    goods = {"easy": (0.95, 0.97, 0.99), "hard": (0.05, 0.1, 0.97)}
    chooser, dice = CascadePlanner(), random.Random(1)
    costs, delivered = [], []
    firsts = {"easy": [], "hard": []}
    for number in range(2_000):
        kind = "easy" if dice.random() < 0.7 else "hard"
        at = plan(chooser, kind=kind, chance=dice.random()).first
        firsts[kind].append(at)
        cost = 0.0
        for index in range(at, len(RUNGS)):
            rating = answer(dice, good=goods[kind][index])
            cost += RUNGS[index].cost
            teach(chooser, kind, RUNGS[index].model, rating, now=number / 10)
            verdict = chooser.judge(
                rating=rating, target=TARGET, rung=RUNGS[index], last=index == 2
            )
            if verdict == Deliver():
                break
        costs.append(cost)
        delivered.append(rating)
    assert sum(costs) / len(costs) < 0.6 * 16
    assert sum(delivered) / len(delivered) > TARGET
    assert firsts["easy"][200:].count(0) > 0.95 * len(firsts["easy"][200:])
    assert firsts["hard"][200:].count(2) > 0.9 * len(firsts["hard"][200:])


def test_sure_rung_streams_for_latency_only():
    chooser = CascadePlanner()
    teach(chooser, "k", "small", *[0.9 + n / 1_000 for n in range(40)])
    latency = plan(chooser, preference=Preference.LATENCY)
    assert (latency.first, latency.direct) == (0, True)
    cost = plan(chooser)
    assert (cost.first, cost.direct) == (0, False)


def test_latency_goes_on_less():
    """One in three answers of the small model must be done again."""
    chooser = CascadePlanner()
    ratings = [0.9, 0.85, 0.5] * 20
    teach(chooser, "k", "small", *ratings)
    teach(chooser, "k", "middle", *[0.9 + n / 1_000 for n in range(60)])
    assert plan(chooser).first == 0
    assert plan(chooser, preference=Preference.LATENCY).first == 1


def test_exploring_tries_the_rung_below():
    chooser = CascadePlanner()
    teach(chooser, "k", "small", *[0.1 + n / 1_000 for n in range(40)])
    teach(chooser, "k", "middle", *[0.1 + n / 1_000 for n in range(40)])
    assert plan(chooser).first == 2
    assert plan(chooser, chance=0.0).first == 1


def test_silent_rating_service():
    """The rating service stops answering.

    Asking every rung each time would multiply the load for nothing.
    """
    chooser = CascadePlanner()
    teach(chooser, "easy", "small", *[0.9 + n / 1_000 for n in range(40)])
    escalated = 0
    for _ in range(100):
        verdict = chooser.judge(
            rating=None, target=TARGET, rung=RUNGS[0], last=False, kind="hard"
        )
        escalated += verdict == Escalate(reason=EscalateReason.NO_RATING)
    assert escalated < SILENT_AFTER
    assert chooser.is_blind
    easy, hard = plan(chooser, kind="easy"), plan(chooser, kind="hard")
    assert (easy.first, easy.direct) == (0, True)
    assert (hard.first, hard.direct) == (2, True)
    teach(chooser, "hard", "large", 0.9)
    assert not chooser.is_blind


def test_slow_rating_delivers_what_is_usually_good():
    chooser = CascadePlanner()
    teach(chooser, "k", "small", *[0.9 + n / 1_000 for n in range(40)])
    judged = {
        kind: chooser.judge(
            rating=None, target=TARGET, rung=RUNGS[0], last=False, kind=kind
        )
        for kind in ("k", "unknown")
    }
    assert judged["k"] == Deliver()
    assert judged["unknown"] == Escalate(reason=EscalateReason.NO_RATING)


def test_service_that_rates_all_too_low_costs_no_more_than_the_best():
    chooser, dice = CascadePlanner(), random.Random(1)
    firsts = []
    for _ in range(60):
        at = plan(chooser)
        firsts.append(at.first)
        for rung in RUNGS[at.first :]:
            teach(chooser, "k", rung.model, dice.uniform(0.0, 0.2))
    assert set(firsts[20:]) == {2}


def test_stuck_service_stops_teaching():
    chooser = CascadePlanner()
    teach(chooser, "k", "small", *[1.0] * 60)
    assert chooser.is_blind


@pytest.mark.parametrize("rating", [math.nan, -0.1, 1.5])
def test_impossible_rating_counts_as_none(rating):
    chooser = CascadePlanner()
    verdict = chooser.judge(rating=rating, target=TARGET, rung=RUNGS[0], last=False)
    assert verdict == Escalate(reason=EscalateReason.NO_RATING)
    teach(chooser, "k", "small", rating)
    assert chooser.estimate(kind="k", rung=RUNGS[0], target=TARGET) < 0.5


def test_policy_decides_between_time_and_money():
    """A middling first rung: waiting users skip it, thrifty ones climb.

    A rung that is good in 87 of 100 streams directly only where time counts
    more than a bad answer.
    """
    thrifty, hasty = Policy(cost=3, exposure=3), Policy(latency=3)
    chooser = CascadePlanner()
    teach(chooser, "half", "small", *[0.9, 0.5] * 50)
    teach(chooser, "good", "small", *[0.9, 0.5] * 13, *[0.9] * 37, *[0.95] * 37)

    def begin(kind, policy):
        return chooser.plan(
            kind=kind,
            target=TARGET,
            preference=Preference.LATENCY,
            rungs=(RUNGS[0], RUNGS[2]),
            chance=0.9,
            policy=policy,
        )

    assert begin("half", hasty).first == 1
    assert begin("half", thrifty).first == 0
    assert begin("good", hasty).direct
    assert not begin("good", thrifty).direct
