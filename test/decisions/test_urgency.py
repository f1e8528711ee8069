"""Tests of the urgency of prompts."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from eelgrassrack.decisions.urgency import LEAST_URGENT, SIZE_SECONDS, find_urgency

SHORT, MIDDLE, LONG = 0.005, 0.09, 0.9


def read_in_order(prompts):
    """Return when one engine that reads in order of urgency has read each prompt."""
    ends = itertools.accumulate(
        sorted(prompts), lambda end, one: end + one[1], initial=0
    )
    return dict(zip(sorted(prompts), list(ends)[1:], strict=True))


def test_short_ones_are_not_held_up_by_long_ones():
    """Long prompts are queued when short ones arrive.

    In order of arrival each short one would wait for all of the long ones.
    """
    long = [(find_urgency(rank=1, reading=MIDDLE), MIDDLE, n) for n in range(20)]
    short = [(find_urgency(rank=1, reading=SHORT), SHORT, n) for n in range(20)]
    ends = read_in_order([*long, *short])
    assert max(ends[one] for one in short) < 0.11
    alone = read_in_order(long)
    assert max(ends[one] for one in long) - max(alone[one] for one in long) < 0.11


def test_a_costly_model_waits_for_the_cheap_one():
    cheap = find_urgency(rank=1, reading=MIDDLE)
    assert find_urgency(rank=1, reading=LONG) > cheap


@given(rank=st.integers(0, 20), other=st.integers(0, 20), reading=st.floats(0, 100))
def test_operators_ranks_go_first(rank, other, reading):
    mine = find_urgency(rank=rank, reading=reading)
    assert 0 <= mine <= LEAST_URGENT
    if rank < other:
        assert mine <= find_urgency(rank=other, reading=0.0)


@given(first=st.floats(0, 100), second=st.floats(0, 100))
def test_longer_is_never_more_urgent(first, second):
    low, high = sorted((first, second))
    assert find_urgency(rank=1, reading=low) <= find_urgency(rank=1, reading=high)


def test_sizes_have_different_urgencies():
    found = [find_urgency(rank=1, reading=one) for one in (SHORT, MIDDLE, LONG)]
    assert found == sorted(set(found))
    assert SHORT < SIZE_SECONDS[0] < MIDDLE < SIZE_SECONDS[1] < LONG
