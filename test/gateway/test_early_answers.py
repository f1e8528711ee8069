"""Tests of endpoints that answer before they have read a request, and read on."""

import asyncio

import pytest

from eelgrassrack.gateway.endpoints import latewrites
from eelgrassrack.gateway.endpoints.latewrites import WRITE_SECONDS
from eelgrassrack.standins.directengine import DirectEngine, Early, Reply

from .world import connect, make_world, run, wait_for

# Bytes that the endpoint's kernel buffers, far fewer than a long body has.
RECEIVE_BYTES = 65_536

# The gateway's patience with an endpoint that doesn't read is longer.
PAUSE_SECONDS = 0.3

# The last is more than the kernel takes for a connection.
SIZES = (600, 60_000, 400_000, 2_000_000, 4_000_000)

# A bound on the rests of all requests that ten long ones exceed.
MOST_BYTES = 400_000


def make_body(number, size):
    """Return a body that differs from others at each place."""
    return b"".join(b"%d:%d;" % (number, at) for at in range(size // 4))[:size]


async def start_early(world, early, *, service="plain"):
    engine = DirectEngine(name="early", script=(Reply(),))
    engine.early = early
    await engine.start(receive_bytes=RECEIVE_BYTES)
    world.engines["early"] = engine
    world.list_engine("early", service=service)
    await world.start_gateway()
    await world.wait_ready()
    return engine


async def check_bodies(engine, bodies):
    """Check that the endpoint reads all bodies as they were sent."""
    await wait_for(lambda: len(engine.runs) + len(engine.shortened) >= len(bodies))
    assert engine.shortened == []
    got = {one.attempt: one.body for one in engine.runs}
    assert {name: got[name] == body for name, body in bodies.items()} == dict.fromkeys(
        bodies, True
    )


@pytest.mark.parametrize("will_close", (False, True))
@pytest.mark.parametrize("after", (0, 500))
@pytest.mark.parametrize("size", SIZES)
def test_an_endpoint_that_answers_early_gets_the_whole_body(size, after, will_close):
    """Guards against a success whose endpoint gets a part of the request."""

    async def main():
        async with make_world() as world:
            early = Early(after=after, pause=PAUSE_SECONDS, will_close=will_close)
            engine = await start_early(world, early)
            bodies = {f"a{number}": make_body(number, size) for number in range(3)}
            caller = await connect(world.settings[0].listen)
            for name, body in bodies.items():
                caller.send("/issue/1", attempt=name, body=body)
                got = await caller.read()
                assert (got.status, got.body) == (200, name.encode())
            await check_bodies(engine, bodies)
            caller.close()

    run(main())


@pytest.mark.parametrize("size", SIZES)
def test_callers_of_an_endpoint_that_answers_early_share_no_bytes(size):
    """Guards against bytes of one request where the rest of another's is due."""

    async def send_all(world, worker, bodies):
        caller = await connect(world.settings[0].listen)
        for number in range(3):
            name = f"{worker}-{number}"
            bodies[name] = make_body(10 * worker + number, size)
            caller.send("/issue/1", attempt=name, body=bodies[name])
            got = await caller.read()
            assert (got.status, got.body) == (200, name.encode())
        caller.close()

    async def main():
        async with make_world() as world:
            engine = await start_early(world, Early(after=1, pause=0.02))
            bodies = {}
            await asyncio.gather(*(send_all(world, one, bodies) for one in range(2)))
            await check_bodies(engine, bodies)

    run(main())


@pytest.mark.parametrize("status", (413, 500))
def test_an_early_failure_leaves_the_request_whole(status):
    """Guards against a part of a request at an endpoint that failed and reads on."""

    async def main():
        async with make_world() as world:
            early = Early(pause=PAUSE_SECONDS, status=status)
            engine = await start_early(world, early)
            body = make_body(1, SIZES[-1])
            got = await world.call("/issue/1", body=body)
            assert (got.status, got.body) == (status, b"a1")
            await check_bodies(engine, {"a1": body})

    run(main())


def test_an_endpoint_that_never_reads_the_rest_is_reset():
    """Guards against rests of requests that are held for good."""

    async def main():
        async with make_world() as world:
            engine = await start_early(world, Early(pause=20.0))
            got = await world.call("/issue/1", body=make_body(1, SIZES[-1]))
            assert (got.status, got.body) == (200, b"a1")
            late_writes = world.gateways[0]._pool._late_writes
            assert late_writes.count == 1
            await wait_for(lambda: not late_writes.count, seconds=WRITE_SECONDS + 2.0)
            assert engine.runs == []

    run(main())


def test_the_rests_of_requests_have_a_bound_together(monkeypatch):
    """Guards against rests of many requests that take all of the memory."""
    monkeypatch.setattr(latewrites, "MOST_BYTES", MOST_BYTES)

    async def main():
        async with make_world() as world:
            engine = await start_early(world, Early(pause=1.0))
            body = make_body(1, SIZES[-1])
            names = [f"a{number}" for number in range(10)]
            answers = await asyncio.gather(
                *(world.call("/issue/1", attempt=name, body=body) for name in names)
            )
            assert {one.status for one in answers} == {200}
            late_writes = world.gateways[0]._pool._late_writes
            assert 1 < late_writes.count < len(names)
            assert late_writes.held <= MOST_BYTES
            await wait_for(
                lambda: len(engine.runs) + len(engine.shortened) == len(names)
            )
            assert {one.body for one in engine.runs} == {body}

    run(main())
