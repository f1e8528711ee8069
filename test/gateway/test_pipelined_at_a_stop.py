"""Tests of requests that stand behind the last answer of a connection."""

import asyncio

from eelgrassrack.standins.directengine import Echo

from .world import connect, make_world, run

# More than a gateway reads of a connection before it answers.
BEHIND_BYTES = 40_000
# How long an unread connection may take to be reset.
RESET_SECONDS = 0.1


def test_an_answer_isnt_lost_by_the_request_behind_it():
    """Guards against a stop that resets connections on which answers are unread."""

    async def play():
        async with make_world() as world:
            engine = await world.add_engine("p1", Echo(delay=0.02))
            await world.start_gateway()
            await world.wait_ready()
            stopping = asyncio.ensure_future(world.gateways[0].stop())
            await asyncio.sleep(0.1)
            caller = await connect(world.settings[0].listen)
            caller.send("/look/1", attempt="a1")
            caller.send("/look/1", attempt="a2", body=b"x" * BEHIND_BYTES)
            answer = await caller.read()
            assert answer.body == b"a1"
            assert answer.headers["connection"] == "close"
            await asyncio.sleep(RESET_SECONDS)
            assert caller.reader.exception() is None
            assert [each.attempt for each in engine.runs] == ["a1"]
            caller.close()
            stopping.cancel()

    run(play())
