"""Tests of the canary release of a service version."""

import random

import pytest

from eelgrassrack.decisions.versiontrial import (
    MAX_TRIAL_SHARE,
    STEPS,
    Tally,
    find_share,
    find_trial_share,
    is_bad,
    is_slow,
    may_end,
)


def judge(rows):
    return is_bad(tallies=[Tally(*row) for row in rows], version="v2")


def test_the_share_is_small_in_the_first_half_and_never_falls():
    shares = [
        find_share(elapsed=part / 100, limit=1.0, allowed=0.15) for part in range(101)
    ]
    assert shares[:50] == [MAX_TRIAL_SHARE] * 50
    assert shares == sorted(shares)
    assert shares[-1] == STEPS[-1][1] == 1.0


def test_the_share_follows_what_operators_allow():
    """Operators allow a smaller share than usual for a bad version.

    A fixed trial share would use it up before the version is found bad.
    """
    share = find_share(elapsed=0.1, limit=1.0, allowed=0.06)
    assert share == find_trial_share(0.06)
    assert 0 < share < 0.04


def test_old_endpoints_are_kept_while_they_work():
    assert not may_end(elapsed=8.0, limit=10.0, old_running=0)
    assert not may_end(elapsed=8.5, limit=10.0, old_running=2)
    assert may_end(elapsed=8.5, limit=10.0, old_running=0)
    assert may_end(elapsed=9.4, limit=10.0, old_running=2)


def test_half_of_the_answers_bad_on_several_endpoints_is_bad():
    assert judge([("v2", "r", "e1", 6, 3), ("v2", "r", "e2", 6, 3)])


def test_one_broken_endpoint_is_no_bad_version():
    """One endpoint of the new version is broken."""
    rows = [("v2", "r", "e1", 12, 9), *[("v2", "r", f"g{n}", 12, 0) for n in range(8)]]
    assert not judge(rows)


def test_a_bad_version_with_one_endpoint_is_bad():
    """With one endpoint, a fault of the version looks like a fault of the endpoint.

    Without a special rule the version would never be found bad, and would get all
    requests in the end.
    """
    assert judge([("v2", "r", "e1", 40, 30), ("", "r", "", 400, 4)])
    assert not judge([("v2", "r", "e1", 12, 9), ("", "r", "", 400, 4)])


def test_a_version_with_healthy_endpoints_is_not_bad():
    """One of three endpoints is broken for a long time."""
    rows = [("v2", "r", "e1", 40, 30), *[("v2", "r", f"g{n}", 40, 0) for n in range(2)]]
    assert not judge(rows)


def test_a_fault_that_both_versions_share_is_no_bad_version():
    rows = [("v2", "r", "e1", 20, 4), ("v2", "r", "e2", 20, 4), ("", "r", "", 200, 40)]
    assert not judge(rows)


def test_bad_on_one_route_only_is_bad():
    """The other route has far more answers, all of them good."""
    rows = [
        ("v2", "a", "e1", 8, 4),
        ("v2", "a", "e2", 8, 4),
        ("v2", "b", "e1", 200, 0),
        ("v2", "b", "e2", 200, 0),
        ("", "a", "", 100, 0),
    ]
    assert judge(rows)


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
            if judge([("v2", "r", name, *row) for name, row in counts.items()]):
                break
        assert bad < 25


def test_a_good_version_is_rarely_found_bad_by_noise():
    """A tenth of all answers fails on both versions."""
    rng = random.Random(1)
    wrong = 0
    for _ in range(300):
        counts = {name: [0, 0] for name in ("e1", "e2", "e3")}
        for _ in range(150):
            row = counts[rng.choice(list(counts))]
            row[0] += 1
            row[1] += rng.random() < 0.1
        rows = [("v2", "r", name, *row) for name, row in counts.items()]
        wrong += judge([*rows, ("", "r", "", 1_000, 100)])
    assert wrong <= 3


def test_slow_is_far_beyond_the_usual():
    assert not is_slow(seconds=5.0, usual=None)
    assert not is_slow(seconds=0.3, usual=0.1)
    assert is_slow(seconds=0.8, usual=0.1)
