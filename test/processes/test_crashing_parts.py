"""Gateway processes that are killed while a prompt part crashes endpoints."""

import itertools
import signal

import pytest

from eelgrassrack.standins.directengine import Events
from test.gateway.crashing import Callers, CrashingFleet, check, play_calls
from test.gateway.world import make_world, run, wait_for

from .test_gateway_start import connect_when_open
from .test_stated_limits import start_gateways

pytestmark = pytest.mark.processes


def test_processes_that_come_and_go_keep_a_crashing_part_from_endpoints(tmp_path):
    """Guards against gateways that start anew and crash three endpoints each."""

    async def main():
        async with make_world() as world:
            fleet = CrashingFleet(world=world, count=8, step=Events(count=4, gap=0.04))
            await fleet.start()
            with start_gateways(world, tmp_path) as gateways:
                for gateway in gateways:
                    (await connect_when_open(gateway.listen)).close()
                turns = itertools.cycle((*gateways, None))
                callers = Callers(
                    list_addresses=lambda: [one.listen for one in gateways], seed=1
                )

                async def disturb(fleet):
                    gateway = next(turns)
                    if gateway is None:
                        fleet.crash()
                        return
                    gateway.send(signal.SIGKILL)
                    await wait_for(lambda: not gateway.is_up)
                    gateway.start()

                await play_calls(fleet, callers, disturb)
                check(fleet, callers)

    run(main())
