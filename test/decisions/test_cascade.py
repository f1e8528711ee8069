"""Tests of the cascade planner."""

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


def plan(planner, *, kind="k", preference=Preference.COST, chance=0.9):
    return planner.plan(
        kind=kind, target=TARGET, preference=preference, rungs=RUNGS, chance=chance
    )


def teach(planner, kind, model, *ratings, now=0.0):
    for rating in ratings:
        planner.note(kind=kind, rung_model=model, rating=rating, now=now)


def answer(rng, *, good):
    return rng.uniform(0.8, 1.0) if rng.random() < good else rng.uniform(0.3, 0.79)


def test_cost_at_the_target_is_below_the_best_model():
    """The small model answers the easy kind well and the hard one seldom.

    The best model alone would cost 16 per request.  All answers together must still
    reach the target on average.
    """
    probabilities = {"easy": (0.95, 0.97, 0.99), "hard": (0.05, 0.1, 0.97)}
    planner, rng = CascadePlanner(), random.Random(1)
    costs, delivered = [], []
    firsts = {"easy": [], "hard": []}
    for number in range(2_000):
        kind = "easy" if rng.random() < 0.7 else "hard"
        at = plan(planner, kind=kind, chance=rng.random()).first
        firsts[kind].append(at)
        cost = 0.0
        for index in range(at, len(RUNGS)):
            rating = answer(rng, good=probabilities[kind][index])
            cost += RUNGS[index].cost
            teach(planner, kind, RUNGS[index].model, rating, now=number / 10)
            verdict = planner.judge(
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
    planner = CascadePlanner()
    teach(planner, "k", "small", *[0.9 + n / 1_000 for n in range(40)])
    latency = plan(planner, preference=Preference.LATENCY)
    assert (latency.first, latency.direct) == (0, True)
    cost = plan(planner)
    assert (cost.first, cost.direct) == (0, False)


def test_latency_escalates_less():
    """One in three answers of the small model must be escalated."""
    planner = CascadePlanner()
    ratings = [0.9, 0.85, 0.5] * 20
    teach(planner, "k", "small", *ratings)
    teach(planner, "k", "middle", *[0.9 + n / 1_000 for n in range(60)])
    assert plan(planner).first == 0
    assert plan(planner, preference=Preference.LATENCY).first == 1


def test_exploring_tries_the_rung_below():
    planner = CascadePlanner()
    teach(planner, "k", "small", *[0.1 + n / 1_000 for n in range(40)])
    teach(planner, "k", "middle", *[0.1 + n / 1_000 for n in range(40)])
    assert plan(planner).first == 2
    assert plan(planner, chance=0.0).first == 1


def test_silent_rating_service():
    """The rating service stops answering.

    Asking every rung each time would multiply the load for no gain.
    """
    planner = CascadePlanner()
    teach(planner, "easy", "small", *[0.9 + n / 1_000 for n in range(40)])
    escalated = 0
    for _ in range(100):
        verdict = planner.judge(
            rating=None, target=TARGET, rung=RUNGS[0], last=False, kind="hard"
        )
        escalated += verdict == Escalate(reason=EscalateReason.NO_RATING)
    assert escalated < SILENT_AFTER
    assert planner.lacks_ratings
    easy, hard = plan(planner, kind="easy"), plan(planner, kind="hard")
    assert (easy.first, easy.direct) == (0, True)
    assert (hard.first, hard.direct) == (2, True)
    teach(planner, "hard", "large", 0.9)
    assert not planner.lacks_ratings


def test_slow_rating_delivers_what_is_usually_good():
    planner = CascadePlanner()
    teach(planner, "k", "small", *[0.9 + n / 1_000 for n in range(40)])
    judged = {
        kind: planner.judge(
            rating=None, target=TARGET, rung=RUNGS[0], last=False, kind=kind
        )
        for kind in ("k", "unknown")
    }
    assert judged["k"] == Deliver()
    assert judged["unknown"] == Escalate(reason=EscalateReason.NO_RATING)


def test_service_that_rates_all_too_low_costs_no_more_than_the_best():
    planner, rng = CascadePlanner(), random.Random(1)
    firsts = []
    for _ in range(60):
        at = plan(planner)
        firsts.append(at.first)
        for rung in RUNGS[at.first :]:
            teach(planner, "k", rung.model, rng.uniform(0.0, 0.2))
    assert set(firsts[20:]) == {2}


def test_stuck_service_stops_teaching():
    planner = CascadePlanner()
    teach(planner, "k", "small", *[1.0] * 60)
    assert planner.lacks_ratings


@pytest.mark.parametrize("rating", [math.nan, -0.1, 1.5])
def test_impossible_rating_counts_as_none(rating):
    planner = CascadePlanner()
    verdict = planner.judge(rating=rating, target=TARGET, rung=RUNGS[0], last=False)
    assert verdict == Escalate(reason=EscalateReason.NO_RATING)
    teach(planner, "k", "small", rating)
    assert planner.estimate(kind="k", rung=RUNGS[0], target=TARGET) < 0.5


def test_policy_decides_between_time_and_money():
    """The first rung is good in half of its answers.

    A policy that favours latency skips it; one that favours cost begins with it and
    escalates.  A rung that is good in 87 of 100 answers streams directly only if
    latency counts more than a bad answer.
    """
    thrifty, hasty = Policy(cost=3, exposure=3), Policy(latency=3)
    planner = CascadePlanner()
    teach(planner, "half", "small", *[0.9, 0.5] * 50)
    teach(planner, "good", "small", *[0.9, 0.5] * 13, *[0.9] * 37, *[0.95] * 37)

    def begin(kind, policy):
        return planner.plan(
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
