"""Endpoints that ask for rest."""

import math

from hypothesis import given
from hypothesis import strategies as st

from eelgrassrack.decisions.rest import RestPeriods, may_wait

ENDPOINT = ("e1", 1_000)
RESTARTED = ("e1", 2_000)

wishes = st.lists(
    st.tuples(st.floats(0.0, 100.0), st.floats(0.01, 50.0)), min_size=1, max_size=20
)


@given(wishes=wishes, later=st.floats(0.0, 200.0))
def test_an_endpoint_rests_until_its_longest_wish_ends(wishes, later):
    """Guards against a later, shorter wish that ends a longer one."""
    rest = RestPeriods()
    now = 0.0
    for pause, seconds in wishes:
        now += pause
        rest.note(lifetime=ENDPOINT, seconds=seconds, now=now)
        rest.note(lifetime=("other", 1), seconds=0.01, now=now)
    times = [sum(pause for pause, _ in wishes[: n + 1]) for n in range(len(wishes))]
    end = max(at + wish for at, (_, wish) in zip(times, wishes, strict=True))
    assert math.isclose(rest.find_end(ENDPOINT), end)
    assert rest.is_resting(ENDPOINT, now + later) == (
        now + later < rest.find_end(ENDPOINT)
    )


def test_a_restarted_endpoint_has_asked_for_nothing():
    rest = RestPeriods()
    rest.note(lifetime=ENDPOINT, seconds=3.0, now=0.0)
    assert rest.is_resting(ENDPOINT, 1.0)
    assert not rest.is_resting(RESTARTED, 1.0)


def test_rests_that_are_over_take_no_memory():
    rest = RestPeriods()
    for number in range(1_000):
        rest.note(lifetime=(f"e{number}", 1), seconds=1.0, now=float(number))
    assert len(rest._ends) <= 2


def test_only_what_can_be_in_time_or_has_run_waits():
    times = {"due_at": 2.0, "deadline": 5.0}
    assert may_wait(ends_at=1.0, has_run=False, **times)
    assert not may_wait(ends_at=3.0, has_run=False, **times)
    assert may_wait(ends_at=3.0, has_run=True, **times)
    assert not may_wait(ends_at=6.0, has_run=True, **times)
    assert not may_wait(ends_at=1.0, due_at=2.0, deadline=0.5, has_run=False)
