"""Tests of the bound on the requests of a version on trial."""

import random

import pytest

from eelgrassrack.decisions.exposure import Allowance, share_slack


def make_allowance(sent=0, sent_new=0, share=0.15, slack=30.0):
    return Allowance(sent=sent, sent_new=sent_new, share=share, slack=slack)


@pytest.mark.parametrize("seed", range(20))
def test_gateways_alone_keep_to_the_common_bound_at_any_moment(seed):
    """Each asks only itself, and requests come as they like."""
    rng = random.Random(seed)
    count = rng.choice([1, 4, 30])
    part = share_slack(30.0, gateways=count)
    counts = [[0, 0] for _ in range(count)]
    for _ in range(2000):
        own = counts[int(count * rng.random() ** 2)]
        is_new = make_allowance(*own, slack=part).has_room()
        own[0] += 1
        own[1] += is_new
        sent, sent_new = map(sum, zip(*counts, strict=True))
        assert sent_new <= 0.15 * sent + 30.0


def test_a_gateway_that_doesnt_know_the_others_uses_none_of_the_constant():
    assert share_slack(30.0, gateways=None) == 0.0
    assert share_slack(30.0, gateways=4) == 7.5


def test_an_end_asks_for_room_for_a_burst():
    assert make_allowance(sent=100).covers(rate=70.0, remaining=0.5)
    assert not make_allowance(sent=100).covers(rate=100.0, remaining=0.5)
    assert make_allowance(sent=100, sent_new=90).covers(rate=70.0, remaining=0.0)


def test_what_is_kept_back_suffices_for_an_end():
    allowance = make_allowance(sent=1000)
    kept = allowance.find_kept(rate=70.0, remaining=2.0)
    used = int(allowance.left - kept)
    assert make_allowance(sent=1000, sent_new=used).covers(rate=70.0, remaining=0.5)
