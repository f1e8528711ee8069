"""Tests with a prompt part that crashes each endpoint that answers on it."""

import time

import pytest

from eelgrassrack.standins.directengine import Events

from .crashing import CONTACT_SECONDS, MOST_LATE, play
from .world import make_world, run

# Sound requests are served at least this often, compared to before the crashes.
LEAST_SHARE = 0.5


def check(fleet, callers):
    """Check that few guilty requests arrive late and that sound ones are served."""
    first = fleet.crashes[0]
    decisive = fleet.crashes[min(len(fleet.crashes), 5) - 1]
    before = callers.find_share(0.0, first - 0.5)
    after = callers.find_share(decisive + 2 * CONTACT_SECONDS, time.monotonic() - 1.0)
    assert fleet.count_late() <= MOST_LATE, len(fleet.crashes)
    assert after >= LEAST_SHARE * before, len(fleet.crashes)


@pytest.mark.parametrize("seed", [1, 2])
def test_requests_that_share_a_crashing_part_stop(seed):
    """No two are alike; each crashes the endpoints that answer it, one by one."""

    async def main():
        async with make_world() as world:
            check(*await play(world, seed=seed))

    run(main())


def test_a_crashing_part_is_found_though_its_answers_are_dropped():
    """The gateway drops an unsure answer, and its endpoint crashes only then."""

    async def main():
        async with make_world() as world:
            unsure = Events(count=4, gap=0.04, confidence=1)
            check(*await play(world, seed=3, step=unsure))

    run(main())
