"""Tests of callers that leave: an endpoint gets a whole body or none."""

import asyncio

import pytest

from eelgrassrack.standins.directengine import Reply

from .leaving import Framing, Leaving, leave, make_body, make_request, open_socket
from .virtualtime import run_in_virtual_time
from .world import make_world

FRAMINGS = [Framing(), Framing(chunk=3), Framing(chunk=100), Framing(chunk=4_096)]
SIZES = [600, 4_000, 60_000]

# The endpoint takes so long for each request.
SERVE_SECONDS = 0.1

# After it nothing of a request that has run can be on its way any more.
QUIET_SECONDS = 3.0


async def start(world, *steps):
    """Start a gateway with one endpoint; return the endpoint."""
    engine = await world.add_engine("e1", *(steps or (Reply(),)))
    await world.start_gateway()
    await world.wait_ready()
    return engine


def list_bodies(engine, attempt):
    """Return the bodies with which an endpoint ran a request."""
    return [run.body for run in engine.runs if run.attempt == attempt]


@pytest.mark.parametrize("how", Leaving, ids=lambda how: how.value)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("framing", FRAMINGS, ids=str)
def test_a_request_whose_caller_leaves_runs_whole_or_not_at_all(framing, size, how):
    """Guards against a body that is cut as its caller leaves after the last byte."""

    async def main():
        async with make_world() as world:
            engine = await start(world, Reply(delay=SERVE_SECONDS))
            sock = await open_socket(world.settings[0].listen)
            sock.send(make_request("first", b"ask", framing=framing))
            await asyncio.sleep(SERVE_SECONDS / 2)
            # The connection still serves the first request, so that the gateway reads
            # the second one and the end in one turn of its loop.
            body = make_body("second", size)
            sock.send(make_request("second", body, framing=framing))
            leave(sock, how)
            await asyncio.sleep(QUIET_SECONDS)
            sock.close()
            assert list_bodies(engine, "first") in ([], [b"ask"])
            assert list_bodies(engine, "second") in ([], [body])

    run_in_virtual_time(main())
