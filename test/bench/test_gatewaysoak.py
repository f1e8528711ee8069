"""A short seeded run of the soak of real gateway processes."""

import pytest

from bench.gatewaysoak.play import play


@pytest.mark.processes
@pytest.mark.parametrize("seed", [7])
def test_the_promises_hold_under_series_of_faults(seed):
    """Gateways are killed, stopped and paused; links and the store misbehave."""
    verdict = play(seed, 6.0)
    assert not verdict.faults
    assert verdict.served > 50
    assert sum(verdict.hits.values()) > 5
