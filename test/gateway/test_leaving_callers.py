"""Tests of callers that leave: an endpoint gets a whole body or none."""

import asyncio

import pytest

from bench.leaving import WAYS_TO_LEAVE, Leaving, leave
from eelgrassrack.standins.directengine import Echo, Events, Hang, Reply

from .leaving import (
    list_statuses,
    make_body,
    make_request,
    open_socket,
    read_to_end,
)
from .virtualtime import hold_up, run_in_virtual_time
from .world import make_world

# Sizes of chunks in bytes; 0 is for a body with a length.
CHUNKS = [0, 3, 100, 4_096]
SIZES = [600, 4_000, 60_000]

# The endpoint takes so long for each request.
SERVE_SECONDS = 0.1

# After it nothing of a request that has run can be on its way any more.
QUIET_SECONDS = 3.0

# Within it nothing works any more for a caller that has left.
GONE_SECONDS = 0.5

# Within it nothing reads a prompt any more for such a caller.
SOON_SECONDS = 0.1

HELD_UP_SECONDS = 2.0
LATE_TURN_SECONDS = 0.1

# Longer than a request waits for its answer if its caller may have left.
LONG_SECONDS = 1.0

# A close behind other bytes is found within it.
CHECKED_SECONDS = 1.6

READ_BYTES = 65_536

# Each so many bytes a request is cut.
CUT_STEP = 7


async def start(world, step, *, service="plain"):
    """Start a gateway with one endpoint; return the endpoint."""
    engine = await world.add_engine("e1", step, service=service)
    await world.start_gateway()
    await world.wait_ready()
    return engine


def list_bodies(engine, attempt):
    """Return the bodies with which an endpoint ran a request."""
    return [run.body for run in engine.runs if run.attempt == attempt]


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("chunk", CHUNKS)
def test_a_request_whose_caller_leaves_runs_whole_or_not_at_all(chunk, size, how):
    """Guards against a body that is cut as its caller leaves after the last byte."""

    async def main():
        async with make_world() as world:
            engine = await start(world, Reply(delay=SERVE_SECONDS))
            sock = await open_socket(world.settings[0].listen)
            sock.send(make_request("first", b"ask", chunk=chunk))
            await asyncio.sleep(SERVE_SECONDS / 2)
            # The connection still serves the first request, so that the gateway reads
            # the second one and the end in one turn of its loop.
            body = make_body("second", size)
            sock.send(make_request("second", body, chunk=chunk))
            leave(sock, how)
            await asyncio.sleep(QUIET_SECONDS)
            sock.close()
            assert list_bodies(engine, "first") in ([], [b"ask"])
            assert list_bodies(engine, "second") in ([], [body])

    run_in_virtual_time(main())


@pytest.mark.parametrize("chunk", CHUNKS)
def test_callers_that_close_only_their_sending_side_get_all_answers(chunk):
    """Guards against requests that are dropped though their callers wait."""

    async def main():
        async with make_world() as world:
            engine = await start(world, Echo(delay=SERVE_SECONDS))
            sock = await open_socket(world.settings[0].listen)
            bodies = {name: make_body(name, 3_000) for name in ("one", "two", "three")}
            for name, body in bodies.items():
                sock.send(make_request(name, body, chunk=chunk))
            leave(sock, Leaving.HALF_CLOSE)
            received = await read_to_end(sock)
            sock.close()
            assert list_statuses(received) == [200, 200, 200]
            assert {run.attempt: run.body for run in engine.runs} == bodies

    run_in_virtual_time(main())


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
@pytest.mark.parametrize("chunk", CHUNKS)
def test_a_request_that_is_cut_at_any_byte_reaches_no_endpoint(chunk, how):
    """Guards against a part of a request that runs as its caller leaves."""

    async def main():
        async with make_world() as world:
            engine = await start(world, Echo())
            request = make_request("cut", make_body("cut", 300), chunk=chunk)
            for size in range(1, len(request), CUT_STEP):
                sock = await open_socket(world.settings[0].listen)
                sock.send(make_request("first", b"ask", chunk=chunk))
                sock.send(request[:size])
                leave(sock, how)
                await asyncio.sleep(SERVE_SECONDS)
                sock.close()
            assert not list_bodies(engine, "cut")

    run_in_virtual_time(main())


@pytest.mark.parametrize("leaves_with_request", [True, False])
def test_work_for_a_caller_that_closes_ends_soon(leaves_with_request):
    """Guards against endpoints that go on working for callers that have left."""

    async def main():
        async with make_world() as world:
            engine = await start(world, Hang())
            sock = await open_socket(world.settings[0].listen)
            sock.send(make_request("left", b"ask"))
            if not leaves_with_request:
                await asyncio.sleep(SERVE_SECONDS)
            leave(sock, Leaving.CLOSE)
            await asyncio.sleep(GONE_SECONDS)
            assert list_bodies(engine, "left") == [b"ask"]
            assert engine.cancelled == ["left"]

    run_in_virtual_time(main())


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_callers_that_left_while_a_gateway_was_held_up_are_not_served(how):
    """Guards against work for callers that have given up a frozen gateway."""

    async def main():
        async with make_world() as world:
            engine = await start(world, Echo())
            sock = await open_socket(world.settings[0].listen)
            await asyncio.sleep(SERVE_SECONDS)
            sock.send(make_request("left", make_body("left", 600)))
            leave(sock, how)
            hold_up(HELD_UP_SECONDS)
            if how is Leaving.HALF_CLOSE:
                assert list_statuses(await read_to_end(sock)) == [503]
            await asyncio.sleep(QUIET_SECONDS)
            sock.close()
            assert not engine.runs

    run_in_virtual_time(main())


def test_callers_that_stay_are_served_after_a_gateway_was_held_up():
    """Guards against sound requests that are refused after a freeze."""

    async def main():
        async with make_world() as world:
            await start(world, Echo())
            sock = await open_socket(world.settings[0].listen)
            await asyncio.sleep(SERVE_SECONDS)
            sock.send(make_request("stays", make_body("stays", 600)))
            hold_up(HELD_UP_SECONDS)
            received = await asyncio.get_running_loop().sock_recv(sock, 1_000)
            sock.close()
            assert list_statuses(received) == [200]

    run_in_virtual_time(main())


def test_a_stream_to_a_caller_that_closed_before_an_event_ends_soon():
    """Guards against endpoints that work for callers of which no event tells."""

    async def main():
        async with make_world() as world:
            events = Events(count=9, gap=SERVE_SECONDS, pauses_after=3, pause=9.0)
            engine = await start(world, events, service="models")
            sock = await open_socket(world.settings[0].listen)
            sock.send(make_request("left", b"ask", path="/chat/1"))
            await asyncio.sleep(1.5 * SERVE_SECONDS)
            sock.recv(READ_BYTES)
            leave(sock, Leaving.CLOSE)
            await asyncio.sleep(GONE_SECONDS)
            assert engine.cancelled == ["left"]

    run_in_virtual_time(main())


def test_work_ends_soon_though_the_loop_is_held_up_at_each_turn():
    """Guards against waits that add up while the event loop is late."""

    async def main():
        async with make_world() as world:
            engine = await start(world, Hang())
            sock = await open_socket(world.settings[0].listen)
            sock.send(make_request("left", b"ask"))
            await asyncio.sleep(SERVE_SECONDS)
            leave(sock, Leaving.CLOSE)
            until = asyncio.get_running_loop().time() + GONE_SECONDS
            while asyncio.get_running_loop().time() < until:
                await asyncio.sleep(0.01)
                hold_up(LATE_TURN_SECONDS)
            assert engine.cancelled == ["left"]

    run_in_virtual_time(main())


def test_a_request_that_may_not_be_repeated_is_answered_after_a_half_close():
    """Guards against work that is done while its caller waits in vain."""

    async def main():
        async with make_world() as world:
            engine = await start(world, Echo(delay=LONG_SECONDS))
            sock = await open_socket(world.settings[0].listen)
            sock.send(make_request("waits", b"ask", path="/issue/1"))
            leave(sock, Leaving.HALF_CLOSE)
            assert list_statuses(await read_to_end(sock)) == [200]
            sock.close()
            assert list_bodies(engine, "waits") == [b"ask"]

    run_in_virtual_time(main())


def test_a_close_behind_bytes_of_a_next_request_is_noticed():
    """Guards against work that goes on as nothing reads a connection on."""

    async def main():
        async with make_world() as world:
            engine = await start(world, Hang())
            sock = await open_socket(world.settings[0].listen)
            sock.send(make_request("left", b"ask"))
            await asyncio.sleep(SERVE_SECONDS)
            sock.send(b"POST")
            await asyncio.sleep(SERVE_SECONDS)
            leave(sock, Leaving.CLOSE)
            await asyncio.sleep(CHECKED_SECONDS)
            assert engine.cancelled == ["left"]

    run_in_virtual_time(main())


def test_a_prompt_isnt_read_on_for_a_caller_that_has_closed():
    """Guards against prompts that engines read for callers that have given up."""

    async def main():
        async with make_world() as world:
            engine = await start(world, Hang(), service="models")
            sock = await open_socket(world.settings[0].listen)
            fields = ("X-Token-Usage: 500,50",)
            sock.send(make_request("left", b"ask", path="/chat/1", fields=fields))
            await asyncio.sleep(SERVE_SECONDS)
            leave(sock, Leaving.CLOSE)
            await asyncio.sleep(SOON_SECONDS)
            assert list_bodies(engine, "left") == [b"ask"]
            assert engine.cancelled == ["left"]

    run_in_virtual_time(main())
