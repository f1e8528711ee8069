"""Tests of which requests a stopping process accepts, and when others may retry."""

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
def test_a_request_that_may_outlast_the_process_is_refused(remaining, limit):
    """Otherwise the process could end in the middle of a streamed answer."""
    assert may_take(remaining=remaining, limit=limit) == (limit <= remaining)


@given(remaining=seconds, limit=seconds, expected=seconds, is_repeatable=st.booleans())
def test_an_estimate_never_allows_streaming(remaining, limit, expected, is_repeatable):
    """An answer that takes longer than estimated would be cut off while it streams."""
    action = choose_drain_action(
        remaining=remaining, limit=limit, expected=expected, is_repeatable=is_repeatable
    )
    assert (action is DrainAction.RELAY) == (limit <= remaining)


@given(remaining=seconds, limit=seconds, expected=seconds)
def test_unrepeatable_requests_are_not_accepted_by_an_estimate(
    remaining, limit, expected
):
    """If the process ended first, nobody would know whether the request ran."""
    action = choose_drain_action(
        remaining=remaining, limit=limit, expected=expected, is_repeatable=False
    )
    assert action is not DrainAction.HOLD


def test_a_refused_caller_waits_while_other_entries_are_stopping_too():
    """All entries are stopping, and each would send its callers to the next."""
    none = Readiness(near=3, near_ready=0, far_ready=0)
    few = Readiness(near=7, near_ready=2, far_ready=9)
    assert find_retry_after(none) == find_retry_after(few) == BACK_SECONDS


def test_a_refused_caller_retries_soon_if_others_are_ready():
    """One of several entries stops; its callers must not wait without need."""
    near = Readiness(near=2, near_ready=1, far_ready=0)
    far = Readiness(near=1, near_ready=0, far_ready=2)
    assert find_retry_after(near) == find_retry_after(far) == SOON_SECONDS
