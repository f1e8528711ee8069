"""The soak of real gateway processes: its checks, and a short seeded run."""

import pytest

from bench.gatewaysoak import leavers
from bench.gatewaysoak.leavers import DRAIN_SECONDS, SLACK_SECONDS, Leavers
from bench.gatewaysoak.play import play

BOUND = DRAIN_SECONDS + SLACK_SECONDS


class Clock:
    """A steady clock that a test sets."""

    now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(leavers, "time", clock)
    return clock


@pytest.mark.processes
@pytest.mark.parametrize("seed", [7])
def test_the_promises_hold_under_series_of_faults(seed):
    """Gateways are killed, stopped and paused; links and the store misbehave."""
    verdict = play(seed, 6.0)
    assert not verdict.faults
    assert verdict.served > 50
    assert sum(verdict.hits.values()) > 5


def test_the_soak_notices_work_for_an_endpoint_that_left(clock):
    """A gateway that missed the news would go on sending there."""
    left = Leavers()
    left.note_left("p1")
    soon, late = 100.0 + BOUND - 0.1, 100.0 + BOUND + 0.1
    assert not left.list_late({"p1": [99.0, soon], "p2": [late]})
    assert left.list_late({"p1": [99.0, soon, late]})


def test_an_outage_gives_gateways_their_time_anew(clock):
    left = Leavers()
    left.note_left("p1")
    clock.now = 101.0
    outage = left.begin_outage()
    assert not left.list_late({"p1": [120.0]})
    outage.ended = 110.0
    assert not left.list_late({"p1": [110.0 + BOUND - 0.1]})
    assert left.list_late({"p1": [110.0 + BOUND + 0.1]})
