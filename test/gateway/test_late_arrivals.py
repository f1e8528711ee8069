"""Requests that come to a gateway long after it was told to stop."""

import asyncio

from eelgrassrack.gateway.daemon import ROTATION_SECONDS
from eelgrassrack.standins.directengine import Events, Hang

from .world import connect, make_world, run

LONG_PATIENCE_MS = 8_000

# A prompt whose answer is expected to take a tenth of a second.
SHORT_ANSWER = (("X-Token-Usage", "1000,20"),)


async def ask_stopping(world, path, *, after, **rest):
    """Send a request so long after a gateway is told to stop; return the answer."""
    gateway = world.gateways[0]
    keeping = await connect(world.settings[0].listen)
    keeping.send("/once/keep", patience_ms=LONG_PATIENCE_MS)
    await asyncio.sleep(0.1)
    stopping = asyncio.ensure_future(gateway.stop())
    await asyncio.sleep(after)
    caller = await connect(world.settings[0].listen)
    caller.send(path, **rest)
    got = await caller.read()
    await stopping
    caller.close()
    keeping.close()
    return got


def test_a_stream_that_takes_far_longer_than_expected_isnt_cut_by_a_stop():
    """A stopping gateway takes a stream that its endpoint then sends too slowly."""

    async def main():
        async with make_world() as world:
            await world.add_engine(
                "e1",
                Events(count=80, gap=0.1),
                Events(count=40, gap=0.1),
                service="models",
            )
            await world.start_gateway()
            await world.wait_ready()
            got = await ask_stopping(
                world,
                "/chat/late",
                after=ROTATION_SECONDS + 0.6,
                headers=SHORT_ANSWER,
                patience_ms=LONG_PATIENCE_MS,
            )
            assert got.is_whole

    run(main())


def test_a_request_that_is_never_answered_isnt_dropped_by_a_stop():
    """A stopping gateway takes a request and its endpoint falls silent."""

    async def main():
        async with make_world() as world:
            await world.add_engine("e1", Hang(), service="models")
            await world.start_gateway()
            await world.wait_ready()
            got = await ask_stopping(
                world, "/final/late", after=2.0, patience_ms=LONG_PATIENCE_MS
            )
            assert got.is_whole

    run(main())
