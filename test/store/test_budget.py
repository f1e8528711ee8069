"""Tests of the call budget, the backoff and the circuit breaker."""

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


def test_delays_double_to_the_maximum_and_restart_after_a_success():
    backoff = Backoff(base=1.0, maximum=4.0)
    assert [backoff.next_delay(jitter=1.0) for _ in range(4)] == [1.0, 2.0, 4.0, 4.0]
    assert backoff.next_delay(jitter=0.0) == 2.0
    backoff.reset()
    assert backoff.next_delay(jitter=1.0) == 1.0


def make_open_breaker(*, now):
    breaker = CircuitBreaker(backoff=Backoff(base=1.0, maximum=4.0))
    for _ in range(3):
        assert breaker.find_wait(now=now) == 0.0
        breaker.fail(now=now, jitter=1.0)
    return breaker


def test_an_open_breaker_admits_one_probe_and_closes_on_its_success():
    breaker = make_open_breaker(now=10.0)
    assert breaker.find_wait(now=10.0) == 1.0
    assert breaker.find_wait(now=11.0) == 0.0
    breaker.begin(now=11.0, timeout=2.0)
    assert breaker.find_wait(now=11.5) == 1.5
    breaker.succeed()
    assert breaker.find_wait(now=11.5) == 0.0
    assert breaker.is_closed


def test_a_cancelled_probe_does_not_block_calls_forever():
    """The task that makes the probe call is cancelled and never reports its outcome.

    If other calls waited for that report, the daemon would never call the platform
    again, although it is back.
    """
    breaker = make_open_breaker(now=10.0)
    breaker.begin(now=11.0, timeout=2.0)
    assert breaker.find_wait(now=13.0) == 0.0


def test_retry_after_is_respected():
    breaker = CircuitBreaker(backoff=Backoff(base=0.1, maximum=4.0))
    breaker.fail(now=10.0, jitter=0.0, retry_after=5.0)
    assert breaker.find_wait(now=10.0) == 5.0


def simulate_return(*, daemons, jitters):
    """Return when each daemon first calls after an outage of a minute."""
    returned = []
    for _ in range(daemons):
        breaker = CircuitBreaker(backoff=Backoff(base=0.1, maximum=4.0))
        now = 0.0
        while now < 60.0:
            breaker.fail(now=now, jitter=next(jitters))
            now += breaker.find_wait(now=now) or 0.01
        returned.append(now)
    return returned


def test_an_outage_does_not_end_in_a_thundering_herd():
    """All daemons lose the platform at once, and it comes back at once.

    Without jitter they would all call in the same instant and bring it down again.
    Users would see one outage after another.
    """
    draw = random.Random(7)
    spread = simulate_return(daemons=380, jitters=iter(draw.random, None))
    together = simulate_return(daemons=380, jitters=itertools.repeat(0.5))

    def find_peak_per_tenth(times):
        return max(
            sum(start <= time < start + 0.1 for time in times) for start in times
        )

    assert find_peak_per_tenth(together) == 380
    assert find_peak_per_tenth(spread) < 60
    assert max(spread) <= 64.0
