"""Tests of the retry budget, which gateways share without coordination."""

import asyncio

from eelgrassrack.standins.directengine import Reply

from .test_cold_starts import isolate_gateways
from .world import make_world, run

GATEWAYS = 3
ASKED = 20
SLACK = 10.0


def test_gateways_that_dont_know_each_other_yet_share_the_slack(monkeypatch):
    """Endpoints fail when gateways have just started and don't know each other.

    Without a share each would use the whole constant part of the budget.
    """
    isolate_gateways(monkeypatch)

    async def main():
        async with make_world() as world:
            engines = [
                await world.add_engine(f"e{number}", Reply(status=500))
                for number in range(3)
            ]
            for number in range(1, GATEWAYS + 1):
                await world.start_gateway(
                    number=number, retry_ratio=0.0, retry_slack=SLACK
                )
            for number in range(GATEWAYS):
                await world.wait_ready(number)
            calls = (
                world.call(number=number % GATEWAYS, attempt=f"a{number}")
                for number in range(ASKED)
            )
            answers = await asyncio.gather(*calls)
            assert {one.status for one in answers} == {500}
            arrived = sum(len(engine.runs) for engine in engines)
            assert arrived - ASKED <= SLACK

    run(main())
