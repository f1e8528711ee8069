"""Tests of the evidence for and against a version on trial."""

import math
import random

import pytest

from eelgrassrack.decisions.versionevidence import (
    NO_TIMES,
    Demand,
    Tally,
    TimeSums,
    Verdict,
    confirm,
    judge,
)

NEW = "v2"


def find_verdict(tallies, *, recent=(), endpoints=None):
    names = {row.endpoint for row in tallies if row.version == NEW}
    demand = Demand(endpoints=endpoints or len(names))
    return judge(tallies=tallies, recent=recent, version=NEW, demand=demand).verdict


def is_bad(rows, **rest):
    return find_verdict([Tally(*row) for row in rows], **rest) is Verdict.BAD


def sum_times(times):
    return sum((TimeSums.make(one) for one in times), NO_TIMES)


def make_tally(rng, endpoint, *, answers=10, mean=0.0, signal="whole", route="r"):
    """Return the tally of answers with a slowness about `mean` in one signal."""
    version = NEW if endpoint else ""
    times = {
        name: sum_times(
            rng.gauss(mean if name == signal else 0.0, 0.4) for _ in range(answers)
        )
        for name in ("whole", "first", "pace")
    }
    return Tally(version, route, endpoint, answers, 0, **times)


def make_version(rng, *, means, **rest):
    """Return the old version's tally, and one of each new endpoint by its mean."""
    new = [
        make_tally(rng, f"e{number}", mean=mean, **rest)
        for number, mean in enumerate(means)
    ]
    return [make_tally(rng, "", answers=300, route=rest.get("route", "r")), *new]


def test_half_of_the_answers_bad_on_several_endpoints_is_bad():
    assert is_bad([("v2", "r", "e1", 6, 3), ("v2", "r", "e2", 6, 3)])


def test_one_broken_endpoint_is_no_bad_version():
    """One endpoint of the new version is broken."""
    rows = [("v2", "r", "e1", 12, 9), *[("v2", "r", f"g{n}", 12, 0) for n in range(8)]]
    assert not is_bad(rows)


def test_a_bad_version_with_one_endpoint_is_bad():
    """With one endpoint, a fault of the version looks like a fault of the endpoint.

    Without a special rule the version would never be found bad, and would get all
    requests in the end.
    """
    rows = [("v2", "r", "e1", 40, 30), ("", "r", "", 400, 4)]
    assert is_bad(rows)
    assert is_bad(rows, endpoints=9)
    assert not is_bad([("v2", "r", "e1", 12, 9), ("", "r", "", 400, 4)], endpoints=9)


def test_a_version_with_healthy_endpoints_is_not_bad():
    """One of three endpoints is broken for a long time."""
    rows = [("v2", "r", "e1", 40, 30), *[("v2", "r", f"g{n}", 40, 0) for n in range(2)]]
    assert not is_bad(rows)


@pytest.mark.parametrize("bad", [(4, 6, 7), (9, 4, 6)])
def test_a_bad_version_with_three_endpoints_is_bad(bad):
    """Half of its answers fail, and a tenth of the old version's.

    Chance alone lets three endpoints differ by much, so that their differences must
    not clear the version.
    """
    rows = [("v2", "r", f"e{number}", 11, count) for number, count in enumerate(bad)]
    assert is_bad([*rows, ("", "r", "", 300, 33)])


def test_a_third_of_the_endpoints_broken_is_no_bad_version():
    """Some endpoints of the new version fail for reasons of their own."""
    rows = [("v2", "r", f"e{number}", 12, 5) for number in range(2)]
    rows += [("v2", "r", f"g{number}", 12, 0) for number in range(4)]
    assert not is_bad([*rows, ("", "r", "", 400, 10)])


def test_a_fault_that_both_versions_share_is_no_bad_version():
    rows = [("v2", "r", "e1", 20, 4), ("v2", "r", "e2", 20, 4), ("", "r", "", 200, 40)]
    assert not is_bad(rows)


def test_bad_on_one_route_only_is_bad():
    """The other route has far more answers, all of them good."""
    rows = [
        ("v2", "a", "e1", 8, 4),
        ("v2", "a", "e2", 8, 4),
        ("v2", "b", "e1", 200, 0),
        ("v2", "b", "e2", 200, 0),
        ("", "a", "", 100, 0),
    ]
    assert is_bad(rows)


@pytest.mark.parametrize("share", [0.4, 0.5, 0.6])
def test_a_bad_version_is_found_before_fifty_bad_answers(share):
    rng = random.Random(int(share * 10))
    for _ in range(200):
        counts = {name: [0, 0] for name in ("e1", "e2", "e3")}
        bad = 0
        while bad < 50:
            row = counts[rng.choice(list(counts))]
            failed = rng.random() < share
            row[0] += 1
            row[1] += failed
            bad += failed
            if is_bad([("v2", "r", name, *row) for name, row in counts.items()]):
                break
        assert bad < 25


def test_a_good_version_is_rarely_found_bad_by_noise():
    """A tenth of all answers fails on both versions, and it is judged all the time."""
    rng = random.Random(1)
    wrong = 0
    for _ in range(300):
        counts = {name: [0, 0] for name in ("e1", "e2", "e3")}
        found = False
        for _ in range(150):
            row = counts[rng.choice(list(counts))]
            row[0] += 1
            row[1] += rng.random() < 0.1
            rows = [("v2", "r", name, *row) for name, row in counts.items()]
            found |= is_bad([*rows, ("", "r", "", 1_000, 100)])
        wrong += found
    assert wrong <= 3


@pytest.mark.parametrize("signal", ["whole", "first", "pace"])
def test_a_version_that_is_several_times_slower_is_bad(signal):
    """Half of the answers take three times as long, whatever callers notice of it."""
    rng = random.Random(signal)
    mean = math.log(3.0) / 2
    found = [
        find_verdict(make_version(rng, means=[mean] * 6, signal=signal))
        for _ in range(50)
    ]
    assert found.count(Verdict.GOOD) == 0
    assert found.count(Verdict.BAD) >= 10
    found = [
        find_verdict(make_version(rng, means=[math.log(8.0) / 2] * 4, signal=signal))
        for _ in range(50)
    ]
    assert found == [Verdict.BAD] * 50


def test_slow_on_one_route_only_is_bad():
    rng = random.Random(5)
    slow = make_version(rng, means=[1.0] * 4, route="a")
    usual = make_version(rng, means=[0.0] * 4, route="b", answers=100)
    assert find_verdict([*slow, *usual]) is Verdict.BAD


def test_a_good_version_is_good():
    rng = random.Random(6)
    found = [find_verdict(make_version(rng, means=[0.0] * 6)) for _ in range(300)]
    assert found.count(Verdict.BAD) == 0
    assert found.count(Verdict.GOOD) >= 290


def test_a_third_of_the_endpoints_slow_is_no_bad_version():
    """Some endpoints of the new version are slow for reasons of their own."""
    rng = random.Random(7)
    means = [math.log(4.0)] * 2 + [0.0] * 4
    found = [find_verdict(make_version(rng, means=means)) for _ in range(300)]
    assert found.count(Verdict.BAD) == 0
    assert found.count(Verdict.GOOD) >= 250


def test_few_answers_are_no_evidence():
    """A version that hardly any caller has met mustn't be taken over."""
    rng = random.Random(8)
    few = make_version(rng, means=[0.0] * 4, answers=2)
    assert find_verdict(few) is Verdict.OPEN
    assert find_verdict([make_tally(rng, "", answers=300)]) is Verdict.OPEN


def test_latest_answers_show_a_version_that_turned_bad():
    """It was good for an hour, and nearly all of its answers are good."""
    rng = random.Random(9)
    rows = [Tally("v2", "r", f"e{n}", 5_000, 4) for n in range(4)]
    rows.append(Tally("", "r", "", 50_000, 0))
    recent = [Tally("v2", "r", f"e{n}", 8, 4) for n in range(4)]
    recent.append(Tally("", "r", "", 500, 0))
    assert find_verdict(rows, recent=recent) is Verdict.BAD
    slow = [make_tally(rng, f"e{n}", answers=8, mean=1.0) for n in range(4)]
    recent = [make_tally(rng, "", answers=200), *slow]
    assert find_verdict(rows, recent=recent) is Verdict.BAD


def test_usual_failures_are_no_fault_once_all_requests_have_moved():
    """Of the latest answers none is of the old version, which failed as often."""
    rows = [Tally("v2", "r", f"e{n}", 50, 5) for n in range(4)]
    rows.append(Tally("", "r", "", 1_000, 100))
    recent = [Tally("v2", "r", f"e{n}", 12, 3) for n in range(4)]
    assert find_verdict(rows, recent=recent) is not Verdict.BAD


@pytest.mark.parametrize(
    ("mean", "answers", "verdict"),
    [(0.0, 10, Verdict.GOOD), (0.0, 1, Verdict.OPEN), (0.7, 10, Verdict.OPEN)],
)
def test_a_version_is_taken_over_only_once_it_bears_the_full_load(
    mean, answers, verdict
):
    """It was as good as the old one while it had few requests."""
    rng = random.Random(10)
    rows = make_version(rng, means=[mean] * 6, answers=answers)
    demand = Demand(endpoints=6)
    found = confirm(tallies=rows, version=NEW, demand=demand)
    assert found.verdict in {verdict, Verdict.BAD if mean else verdict}
    assert found.verdict is not Verdict.GOOD or not mean
