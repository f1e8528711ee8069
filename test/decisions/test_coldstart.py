"""Tests of the cold-start window."""

import hypothesis.strategies as st
from hypothesis import given, settings

from eelgrassrack.decisions.coldstart import MIN_WARM_UP_SECONDS, CollapseReason, Window


def warm_up(window, *, now):
    for _ in range(100):
        window.complete(now=now)


def test_window_grows_with_answers_and_collapses_at_once():
    """A warm engine restarts without warning while its queue is full.

    If it got the whole queue at once it would crash again.
    """
    window = Window(floor=2, ceiling=16, now=0.0)
    assert window.count_free(running=0) == 2
    assert window.count_free(running=5) == 0
    for _ in range(4):
        window.complete(now=100.0)
    assert window.size == 4
    warm_up(window, now=100.0)
    assert window.size == 16
    window.collapse(now=101.0, reason=CollapseReason.ENGINE_RESTARTED)
    assert window.size == 2
    assert window.reason is CollapseReason.ENGINE_RESTARTED


def test_burst_of_short_answers_does_not_open_the_window():
    """An engine answers a hundred cheap lookups before it has warmed up."""
    window = Window(floor=2, ceiling=16, now=0.0)
    warm_up(window, now=MIN_WARM_UP_SECONDS / 10)
    assert window.size <= 3
    warm_up(window, now=MIN_WARM_UP_SECONDS)
    assert window.size == 16


def test_answer_from_before_the_collapse_does_not_count():
    window = Window(floor=2, ceiling=16, now=0.0)
    window.collapse(now=50.0, reason=CollapseReason.REPORTED_COLD)
    for _ in range(20):
        window.complete(now=100.0, began=49.0)
    assert window.size == 2


def test_window_does_not_grow_while_the_endpoint_reports_a_cold_start():
    """A cold engine can handle one request, and answers a few of them one by one.

    It still reports a cold start.  If it got two requests at once it would crash, and
    both callers would lose their answers.
    """
    window = Window(floor=1, ceiling=16, now=0.0)
    window.is_growth_paused = True
    warm_up(window, now=100.0)
    assert window.size == 1
    window.is_growth_paused = False
    warm_up(window, now=100.0)
    assert window.size == 16


def test_new_bounds():
    window = Window(floor=2, ceiling=16, now=0.0)
    warm_up(window, now=100.0)
    window.resize(floor=1, ceiling=4)
    assert window.size == 4
    window.resize(floor=1, ceiling=8)
    assert window.size == 4
    window.resize(floor=6, ceiling=8)
    assert window.size == 6


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["complete", "collapse", "resize"]),
            st.integers(-2, 40),
            st.integers(-2, 40),
            st.floats(0.0, 10.0),
        ),
        max_size=60,
    )
)
def test_stays_within_bounds_and_grows_by_one_at_most(steps):
    window = Window(floor=2, ceiling=16, now=0.0)
    now = 0.0
    for step, low, high, seconds in steps:
        now += seconds
        before = window.size
        match step:
            case "complete":
                window.complete(now=now)
                assert before <= window.size <= before + 1
            case "collapse":
                window.collapse(now=now, reason=CollapseReason.ENGINE_FAILED)
                assert window.size == window.floor
            case "resize":
                window.resize(floor=low, ceiling=high)
        assert 1 <= window.floor <= window.size <= window.ceiling
