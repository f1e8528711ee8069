"""Scenarios of load: what callers receive, against simple rules.

Each test plays a scenario of `python -m bench.scenarios` in virtual time with
one seed or two and holds the order of the rules and generous bounds.
"""

import dataclasses
import functools

import pytest

from bench.scenarios.answers import CascadeCase, FirstRule, RolloutCase, Turn
from bench.scenarios.answertables import (
    POLICIES,
    make_case,
    measure_cascade,
    measure_rollout,
)
from bench.scenarios.calls import End
from bench.scenarios.cases import (
    CASES,
    COLD_NAIVE,
    FIFO,
    FIXED_WINDOW,
    NO_RAMP,
    NO_RESERVE,
    OWN_UNKNOWN,
    PLACEMENTS,
    QUIET,
    Group,
)
from bench.scenarios.events import Timeline
from bench.scenarios.results import firsts, mean, percentile, served, share
from bench.scenarios.rules import MODULES, NAIVE, PlacementRule, change
from eelgrassrack.document.sections import Policy, Preference

# Scenarios with many requests are played for a shorter time than in tables.
SHORTENED = {"overload-2x": 90.0, "overload-5x": 60.0}

BY_NAME = {case.name: case for case in CASES}


@functools.cache
def play(name, *, rules=MODULES, seed=1):
    """Play a scenario once for all tests; nobody changes the result."""
    case = BY_NAME[name]
    seconds = SHORTENED.get(name, case.seconds)
    return dataclasses.replace(case, seconds=seconds).play(rules=rules, seed=seed)


def find_p95(result, group=QUIET):
    sendings = result.select(organisation=group.organisation, kind=group.kind)
    return percentile(firsts(sendings), 0.95)


def find_served(result):
    times = served(result.select()).values()
    return sum(time is not None for time in times) / len(times)


def test_events_run_in_order_of_time():
    timeline, seen = Timeline(), []
    timeline.at(2.0, lambda: seen.append("late"))
    timeline.at(1.0, lambda: timeline.after(0.5, lambda: seen.append("early")))
    timeline.run(until=1.9)
    assert seen == ["early"]
    timeline.run(until=2.0)
    assert seen == ["early", "late"]


def test_same_seed_gives_the_same_run_and_calls():
    """Rules are compared on the same calls, or a difference means nothing."""
    first = play("burst")
    again = BY_NAME["burst"].play(rules=MODULES, seed=1)
    assert first.sendings == again.sendings
    other = play("burst", rules=NAIVE)
    assert {(one.call, one.born, one.tokens) for one in first.sendings} >= {
        (one.call, one.born, one.tokens) for one in other.sendings
    }


@pytest.mark.parametrize("name", ["overload-2x", "overload-5x"])
def test_overload_keeps_goodput_and_the_quiet_caller(name):
    """Callers send a multiple of what the endpoints can do and come back.

    First come, first served makes everyone wait until it is too late; a
    quiet organisation's caller should hardly be slowed down.
    """
    unloaded = find_p95(play("unloaded"))
    result, naive = play(name), play(name, rules=NAIVE)
    assert result.goodput() > 0.88
    assert result.goodput() > 1.5 * naive.goodput()
    assert find_p95(result) < 1.7 * unloaded
    quiet = result.select(organisation=QUIET.organisation)
    assert share(quiet, End.WHOLE) > 0.99
    # Nobody waits for nothing, refused callers hear when to come back, and
    # the entries' own retries don't add to the overload.
    assert share(result.select(), End.LATE) < 0.05
    refused = [one for one in result.select() if one.end is End.REFUSED]
    assert all(one.retry_after >= 1.0 for one in refused)
    assert result.retry_share() <= 0.1


def test_quiet_caller_needs_reserved_slots_and_fair_turns():
    """All slots are taken by long jobs of organisations that send too much."""
    reserved = find_p95(play("overload-2x"))
    assert reserved < 0.9 * find_p95(play("overload-2x", rules=NO_RESERVE))
    assert reserved < 0.2 * find_p95(play("overload-2x", rules=FIFO))


def test_burst_is_served_in_the_end():
    """Four times the capacity arrives for ten seconds.

    Callers who are refused at once and come back are nearly all served.
    """
    result, fifo = play("burst"), play("burst", rules=FIFO)
    assert find_served(result) > 0.9
    assert share(result.select(), End.LATE) < 0.1
    assert find_p95(result) < 0.2 * find_p95(fifo)


def test_hot_organisation_is_refused_and_no_other():
    """One organisation sends three times what all endpoints can do.

    Judged by the whole backlog the others would be refused for it.
    """
    result = play("hot-organisation")
    blind = play("hot-organisation", rules=OWN_UNKNOWN)
    for name in ("college-windsor", "candidates", "assessors"):
        assert share(result.select(organisation=name), End.WHOLE) > 0.97
    assert share(blind.select(organisation="assessors"), End.WHOLE) < 0.6
    assert share(result.select(organisation="college-toledo"), End.REFUSED) > 0.5


def test_hot_prefix_spreads_when_its_endpoint_is_full():
    """A fifth of all requests begin with the same prompt.

    Sent to one endpoint they would wait there while others are idle.
    """
    group = Group(organisation="candidates", kind="prefix")
    pinned = change("pinned", placement=PlacementRule.PINNED)
    result = play("hot-prefix")
    assert find_p95(result, group) < 1.5
    assert find_p95(play("hot-prefix", rules=pinned), group) > 5.0
    homes = [one.endpoint for one in result.select(kind="prefix")]
    most = max(homes.count(name) for name in set(homes))
    assert most > 1.5 * len(homes) / len(set(homes))


def test_slow_endpoint_is_passed_over():
    """One endpoint of twelve answers ten times slower; the load is high."""
    result = play("slow-endpoint")
    for rules in PLACEMENTS:
        other = play("slow-endpoint", rules=rules)
        assert percentile(firsts(result.select()), 0.95) < 0.7 * percentile(
            firsts(other.select()), 0.95
        )
    assert share(result.select(), End.WHOLE) > 0.96


def test_short_requests_pass_long_reviews_which_still_end():
    """Reviews of half a minute fill the endpoints beyond their capacity."""
    name = "long-among-short"
    short = Group(organisation="meubles-beauce", kind="short")
    result, fifo = play(name), play(name, rules=FIFO)
    assert find_p95(result, short) < 5.0
    assert find_p95(result, short) < 0.2 * find_p95(fifo, short)
    # Short requests of the organisation that queues reviews get in as well.
    own = Group(organisation="acier-saguenay", kind="short")
    assert find_p95(result, own) < 15.0
    reviews = result.select(kind="review")
    assert share(reviews, End.LATE) < 0.1
    assert share(result.select(organisation="aluminium-nord"), End.WHOLE) > 0.9
    # The other one sends far more than its share, and still gets its share.
    acier = result.select(organisation="acier-saguenay", kind="review")
    tokens = [one.tokens for one in acier if one.end is End.WHOLE]
    assert sum(tokens) > 0.3 * sum(one.tokens for one in reviews if one.runs)


def test_domain_returns_without_a_collapse():
    """A failure domain leaves at high load, and returns with cold engines.

    Given all they can do when warm they fall over, again and again.
    """
    result, fixed = play("domain-full"), play("domain-full", rules=COLD_NAIVE)
    assert result.crashes == 0
    assert fixed.crashes > 10
    assert find_served(result) > find_served(fixed)
    after = [one for one in result.select() if 40.0 < one.sent < 80.0]
    quiet = [one for one in after if one.organisation == QUIET.organisation]
    assert share(quiet, End.WHOLE) > 0.95
    assert play("domain-full", rules=NO_RAMP).crashes == 0


def test_half_the_pool_cold():
    """Four of nine engines are cold; given too much they fall over."""
    result = play("half-cold")
    fixed = play("half-cold", rules=FIXED_WINDOW)
    free = play("half-cold", rules=COLD_NAIVE)
    assert result.crashes == 0
    assert result.goodput() > 1.1 * fixed.goodput()
    assert find_p95(result) < find_p95(fixed)
    # The budget holds the retries of the same trouble back.
    assert fixed.retry_share() < 0.13
    assert free.retry_share() > 1.5 * fixed.retry_share()


@pytest.mark.parametrize(
    ("turn", "most"),
    [(Turn.FAILS, 0.15), (Turn.RATED_LOW, 0.3), (Turn.SLOW, 0.15)],
)
def test_bad_version_delivers_few_answers(turn, most):
    """A version at a tenth of the traffic turns bad; nobody is watching."""
    case = RolloutCase(turn=turn)
    fixed = measure_rollout(case, is_fixed=True, seeds=1)
    assert measure_rollout(case, is_fixed=False, seeds=1) < most * fixed


def test_ratings_of_all_versions_find_a_slightly_worse_one():
    """One answer in five is rated, so the new version has next to none."""
    even = RolloutCase(turn=Turn.SLIGHTLY, requests=2_000)
    plain = RolloutCase(turn=Turn.SLIGHTLY, requests=2_000, evens_ratings=False)
    found = measure_rollout(even, is_fixed=False, seeds=1)
    assert found < 0.7 * measure_rollout(plain, is_fixed=False, seeds=1)


def test_cost_at_the_quality_target():
    """Cheap answers suffice for most; the target holds as with the best."""
    case = make_case("keelwater", "study", "candidates", policy=Policy())
    case = CascadeCase(
        rungs=case.rungs,
        target=case.target,
        preference=Preference.COST,
        policy=case.policy,
        requests=1_500,
    )
    cost, good, *_ = measure_cascade(case, rule=FirstRule.MODULE, seeds=2)
    cheapest, *_ = measure_cascade(case, rule=FirstRule.CHEAPEST, seeds=2)
    _, best, *_ = measure_cascade(case, rule=FirstRule.BEST, seeds=2)
    assert cost < 0.65
    assert cost < cheapest
    assert good > best - 0.02


def test_rating_service_away_costs_no_more_than_the_best_model():
    """No answer is rated for a while; asking every rung would gain nothing."""
    case = make_case(
        "cimq", "commentary", "acier-saguenay", policy=Policy(), away=(500, 1_500)
    )
    part = slice(520, 1_500)
    cost, good, *_ = measure_cascade(case, rule=FirstRule.MODULE, seeds=1, part=part)
    single = measure_cascade(case, rule=FirstRule.SINGLE, seeds=1, part=part)
    assert cost <= 1.01
    assert good > 0.9 > single[1]


def test_each_user_loses_least_by_its_own_policy():
    """Keelwater's callers wait at a bay, CIMQ's drafts must not be wrong."""
    ours, theirs = POLICIES["Keelwater's 1:3:1"], POLICIES["CIMQ's 3:1:3"]

    def measure(policy):
        case = make_case(
            "cimq",
            "commentary",
            "acier-saguenay",
            policy=policy,
            preference=Preference.LATENCY,
        )
        rollout = RolloutCase(turn=Turn.SLIGHTLY, policy=policy, requests=1_500)
        cost, *_, time = measure_cascade(case, rule=FirstRule.MODULE, seeds=1)
        bad = measure_rollout(rollout, is_fixed=False, seeds=1)
        return cost, time, bad

    hasty, thrifty = measure(ours), measure(theirs)
    assert hasty[0] > thrifty[0]
    assert hasty[1] < thrifty[1]
    assert hasty[2] > thrifty[2]


def test_results_without_values_are_no_numbers():
    assert percentile([], 0.5) != percentile([], 0.5)
    assert mean([1.0, float("nan"), 3.0]) == 2.0
