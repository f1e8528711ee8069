"""Tests of a gateway that learns late of its stop, as it was frozen."""

import asyncio

from eelgrassrack.standins.directengine import Events

from .world import connect, make_world, run

# How long the gateway was frozen after the signal, of its grace of 6 s.
FROZEN_SECONDS = 3.2
# How much later a request comes: the balancer has long removed the gateway.
LATE_SECONDS = 1.0


def test_a_late_stream_is_refused_or_whole():
    """Guards against taking streams that the end of the grace will cut."""

    async def play():
        async with make_world() as world:
            await world.add_engine("m1", Events(count=30, gap=0.1), service="models")
            await world.start_gateway()
            await world.wait_ready()
            signalled_at = asyncio.get_running_loop().time() - FROZEN_SECONDS
            gateway = world.gateways[0]
            stopping = asyncio.ensure_future(gateway.stop(signalled_at=signalled_at))
            await asyncio.sleep(LATE_SECONDS)
            caller = await connect(world.settings[0].listen)
            caller.send("/final/1", attempt="a1")
            answer = await caller.read()
            assert answer.status == 503 or answer.is_whole
            caller.close()
            stopping.cancel()

    run(play())
