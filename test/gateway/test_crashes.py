"""Tests with endpoints that crash, and of detecting queries of death."""

import asyncio

from eelgrassrack.standins.directengine import (
    Break,
)

from .world import make_world, run, wait_for


async def crash_when_run(engine):
    await wait_for(lambda: engine.runs)
    await engine.stop()


def test_a_query_of_death_is_detected_without_other_requests():
    """A request crashes three endpoints, and no other request is sent to them.

    When it is repeated some seconds later, it must not crash the fourth.
    """

    async def main():
        async with make_world() as world:
            crashing = []
            for number in range(3):
                engine = await world.add_engine(f"e{number}", Break())
                crashing.append(asyncio.ensure_future(crash_when_run(engine)))
            last = await world.add_engine("e3", zone="south")
            await world.start_gateway()
            await world.wait_ready()
            assert (await world.call(body=b"bad")).status == 502
            await asyncio.gather(*crashing)
            await asyncio.sleep(2.2)
            refusal = await world.call(body=b"bad", attempt="a2")
            assert refusal.status == 503
            assert float(refusal.headers["retry-after"]) > 60.0
            assert not last.runs
            assert (await world.call(body=b"good", attempt="a3")).status == 200

    run(main())


def test_answers_lost_at_once_cause_a_single_check():
    """An endpoint breaks the connections of ten requests but is still up."""

    async def main():
        async with make_world() as world:
            engine = await world.add_engine("e1", Break(), slots=100)
            await world.start_gateway()
            await world.wait_ready()
            calls = (world.call("/issue/1", attempt=f"a{n}") for n in range(10))
            answers = await asyncio.gather(*calls)
            assert [one.status for one in answers] == [502] * 10
            await asyncio.sleep(0.5)
            assert engine.connections == 11
            assert (await world.call("/issue/1", attempt="b")).status == 502
            assert engine.connections == 11

    run(main())
