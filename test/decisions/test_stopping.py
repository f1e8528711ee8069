"""What a process takes that is going to end, and where it sends the others."""

from hypothesis import given
from hypothesis import strategies as st

from eelgrassrack.decisions.stopping import (
    BACK_SECONDS,
    SOON_SECONDS,
    DrainAction,
    Readiness,
    choose_drain_action,
    find_retry_after,
    may_take,
)

seconds = st.floats(min_value=0.0, max_value=60.0)


@given(remaining=seconds, limit=seconds)
def test_nothing_is_taken_that_may_outlast_the_process(remaining, limit):
    """An answer is passed on as it comes, and the process ends in its middle."""
    assert may_take(remaining=remaining, limit=limit) == (limit <= remaining)


@given(remaining=seconds, limit=seconds, expected=seconds, is_repeatable=st.booleans())
def test_no_estimate_lets_an_answer_begin_that_may_be_cut(
    remaining, limit, expected, is_repeatable
):
    """An answer is expected to be short, is passed on as it comes, and is cut."""
    terms = choose_drain_action(
        remaining=remaining, limit=limit, expected=expected, is_repeatable=is_repeatable
    )
    assert (terms is DrainAction.RELAY) == (limit <= remaining)


@given(remaining=seconds, limit=seconds, expected=seconds)
def test_what_may_not_be_repeated_isnt_taken_by_an_estimate(remaining, limit, expected):
    """A submission's process ends before its answer; nobody knows whether it ran."""
    terms = choose_drain_action(
        remaining=remaining, limit=limit, expected=expected, is_repeatable=False
    )
    assert terms is not DrainAction.HOLD


def test_a_refused_caller_isnt_sent_on_to_entries_that_are_stopping_too():
    """All entries are being stopped, and each sends its callers to the next."""
    none = Readiness(near=3, near_ready=0, far_ready=0)
    few = Readiness(near=7, near_ready=2, far_ready=9)
    assert find_retry_after(none) == find_retry_after(few) == BACK_SECONDS


def test_a_refused_caller_comes_soon_where_others_are_ready():
    """One entry of several is stopped, and its callers wait for nothing."""
    near = Readiness(near=2, near_ready=1, far_ready=0)
    far = Readiness(near=1, near_ready=0, far_ready=2)
    assert find_retry_after(near) == find_retry_after(far) == SOON_SECONDS
