"""Tests of the call budget, the backoff and the gate."""

import itertools
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassrack.store.budget import Backoff, CallBudget, CircuitBreaker

GAPS = st.lists(st.floats(min_value=0, max_value=3), min_size=1, max_size=60)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(gaps=GAPS)
def test_no_stretch_of_time_admits_more_than_burst_and_rate(gaps):
    """A daemon in a loop calls the platform as fast as it can.

    Without a budget it would take the share of all others, who would then
    see their claims and configuration refused.
    """
    budget = CallBudget(per_second=2.0, burst=5.0)
    times = list(itertools.accumulate(gaps))
    admitted = [now for now in times if budget.admit(now=now)]
    for (first, start), (last, end) in itertools.combinations(enumerate(admitted), 2):
        assert last - first + 1 <= 5.0 + 2.0 * (end - start) + 1e-6


def test_a_refused_call_is_admitted_after_the_wait_that_was_told():
    budget = CallBudget(per_second=4.0, burst=1.0)
    assert budget.admit(now=10.0)
    assert not budget.admit(now=10.0)
    wait = budget.find_wait(now=10.0)
    assert wait == 0.25
    assert budget.admit(now=10.0 + wait)


def test_a_clock_that_steps_back_takes_no_budget_away():
    budget = CallBudget(per_second=1.0, burst=2.0)
    assert budget.admit(now=100.0)
    assert budget.admit(now=50.0)
    assert budget.admit(now=51.0)


def test_delays_double_to_the_most_and_begin_anew_after_a_success():
    backoff = Backoff(base=1.0, most=4.0)
    assert [backoff.next_delay(jitter=1.0) for _ in range(4)] == [1.0, 2.0, 4.0, 4.0]
    assert backoff.next_delay(jitter=0.0) == 2.0
    backoff.reset()
    assert backoff.next_delay(jitter=1.0) == 1.0


def make_shut_gate(*, now):
    gate = CircuitBreaker(backoff=Backoff(base=1.0, most=4.0))
    for _ in range(3):
        assert gate.find_wait(now=now) == 0.0
        gate.fail(now=now, jitter=1.0)
    return gate


def test_a_shut_gate_lets_one_probe_through_and_opens_on_its_success():
    gate = make_shut_gate(now=10.0)
    assert gate.find_wait(now=10.0) == 1.0
    assert gate.find_wait(now=11.0) == 0.0
    gate.begin(now=11.0, timeout=2.0)
    assert gate.find_wait(now=11.5) == 1.5
    gate.succeed()
    assert gate.find_wait(now=11.5) == 0.0
    assert gate.is_open


def test_a_probe_that_was_cancelled_shuts_nobody_out_for_good():
    """The task that probes is cancelled and never tells how it ended.

    If the others waited for its word the daemon would never call the
    platform again, though that is back.
    """
    gate = make_shut_gate(now=10.0)
    gate.begin(now=11.0, timeout=2.0)
    assert gate.find_wait(now=13.0) == 0.0


def test_a_platform_that_names_a_time_is_left_alone_until_then():
    gate = CircuitBreaker(backoff=Backoff(base=0.1, most=4.0))
    gate.fail(now=10.0, jitter=0.0, retry_after=5.0)
    assert gate.find_wait(now=10.0) == 5.0


def simulate_return(*, daemons, chances):
    """Return when each daemon first calls after an outage of a minute."""
    returned = []
    for _ in range(daemons):
        gate = CircuitBreaker(backoff=Backoff(base=0.1, most=4.0))
        now = 0.0
        while now < 60.0:
            gate.fail(now=now, jitter=next(chances))
            now += gate.find_wait(now=now) or 0.01
        returned.append(now)
    return returned


def test_an_outage_does_not_end_in_a_herd():
    """All daemons lose the platform at once, and it comes back at once.

    Had they no jitter they would all call in the same instant and bring
    it down again; users would see one outage after another.
    """
    draw = random.Random(7)
    spread = simulate_return(daemons=380, chances=iter(draw.random, None))
    together = simulate_return(daemons=380, chances=itertools.repeat(0.5))

    def most_in_a_tenth(times):
        return max(sum(at <= each < at + 0.1 for each in times) for at in times)

    assert most_in_a_tenth(together) == 380
    assert most_in_a_tenth(spread) < 60
    assert max(spread) <= 64.0
