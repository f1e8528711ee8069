"""Tests that a stopping gateway answers requests that arrive too late.

Each caller gets an answer that says whether its request ran.
"""

import asyncio
import collections
import contextlib
import itertools
import time

import pytest

from eelgrassrack.gateway.gracefulstop import (
    ANSWER_MARGIN_SECONDS,
    LISTEN_MARGIN_SECONDS,
    REQUEST_MARGIN_SECONDS,
    ROTATION_SECONDS,
)
from eelgrassrack.gateway.requests.ingress import FIRST_REQUEST_SECONDS
from eelgrassrack.standins.directengine import Hang, Reply

from .world import KEY, call, connect, make_world, run, wait_for

GRACE_SECONDS = 6.0

# Statuses that guarantee that a request has not run and never will.
NOT_RUN = {408, 503}

HEAD = f"POST /issue/1 HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer {KEY}\r\n"
HALF = f"{HEAD}X-Attempt-Id: half\r\nContent-Length: 9\r\n\r\nab"


@contextlib.asynccontextmanager
async def make_stopping(*script, after):
    """Yield a world, its endpoint and its gateway's stop, `after` seconds into it."""
    async with make_world() as world:
        engine = await world.add_engine("e1", *script)
        gateway = await world.start_gateway()
        await world.wait_ready()
        stopping = asyncio.ensure_future(gateway.stop())
        await asyncio.sleep(after)
        yield world, engine, stopping
        await stopping


CONNECTS = (0.0, 1.0, ROTATION_SECONDS - 1.0, ROTATION_SECONDS, 4.0)
DELAYS = (0.0, 0.1, 0.35, 0.6, 1.2, 2.0, 3.5, 5.5)


async def ask_in_pieces(address, *, connect_after, delay, attempt, pieces=1):
    """Connect, send a request in pieces, and return the answer.

    As RFC 9112 demands, sending stops once the request has been answered.
    """
    await asyncio.sleep(connect_after)
    caller = await connect(address)
    written = []
    send, caller.writer.write = caller.writer.write, written.append
    caller.send("/issue/1", attempt=attempt)
    caller.writer.write = send
    (data,) = written
    size = len(data) // pieces + 1
    reading = asyncio.ensure_future(caller.read())
    for begin in range(0, len(data), size):
        await asyncio.wait([reading], timeout=delay / pieces)
        # A request in a single piece may cross the close of the connection.
        if not reading.done() or pieces == 1:
            send(data[begin : begin + size])
    got = await reading
    caller.close()
    return got


def check_answer(got, ran):
    """Check an answer against how often the request ran."""
    assert (got.status, ran) == (200, 1) or (got.status in NOT_RUN and not ran)


@pytest.mark.parametrize("pieces", [1, 3])
def test_a_late_first_request_always_gets_an_answer(pieces):
    """A caller on a busy instance or a slow link connects to a stopping gateway.

    It sends its request late, possibly after the end of the process.
    """

    async def main():
        async with make_stopping(after=0.1) as (world, engine, stopping):
            # An unfinished request keeps the gateway from ending earlier.
            keeping = await connect(world.settings[0].listen)
            keeping.writer.write(HALF.encode())
            moments = [*itertools.product(CONNECTS, DELAYS)]
            asking = (
                ask_in_pieces(
                    world.settings[0].listen,
                    connect_after=connect_after,
                    delay=delay,
                    attempt=str(number),
                    pieces=pieces,
                )
                for number, (connect_after, delay) in enumerate(moments)
            )
            answers = await asyncio.gather(*asking)
            await stopping
            keeping.close()
            runs = collections.Counter(one.attempt for one in engine.runs)
            for number, got in enumerate(answers):
                check_answer(got, runs[str(number)])
            assert {got.status for got in answers} == {200, *NOT_RUN}

    run(main())


def test_a_request_after_the_end_of_the_process_gets_an_answer():
    """Its connection was open and unused during the whole stop."""

    async def main():
        async with make_stopping(after=0.5) as (world, _, stopping):
            caller = await connect(world.settings[0].listen)
            await stopping
            caller.send("/issue/1")
            assert (await caller.read()).status == 408
            caller.close()

    run(main())


@pytest.mark.parametrize("size", [1, 20, len(HEAD)])
def test_partial_headers_at_the_end_of_the_process_get_an_answer(size):
    """A caller's link is slow: the rest would arrive after the end of the process."""

    async def main():
        async with make_stopping(after=1.0) as (world, _, stopping):
            caller = await connect(world.settings[0].listen)
            caller.writer.write(HEAD.encode()[:size])
            await stopping
            assert (await caller.read()).status == 408
            caller.close()

    run(main())


def test_a_partial_body_at_the_end_of_the_process_gets_an_answer():
    """The rest of a body arrives when the process is about to end, or later."""

    async def main():
        async with make_stopping(after=1.0) as (world, engine, stopping):
            caller = await connect(world.settings[0].listen)
            caller.writer.write(HALF.encode())
            await stopping
            caller.writer.write(b"cdefghi")
            got = await caller.read()
            assert got.status == 503
            assert float(got.headers["retry-after"]) > 0
            assert not engine.runs
            caller.close()

    run(main())


def test_a_head_that_is_read_at_the_end_of_the_process_gets_an_answer():
    """A busy instance suspends the gateway, and the body is still on its way."""

    async def main():
        async with make_stopping(after=0.1) as (world, engine, _):
            # An unfinished request keeps the gateway from ending earlier.
            keeping = await connect(world.settings[0].listen)
            keeping.writer.write(HALF.encode())
            await asyncio.sleep(GRACE_SECONDS - 0.7)
            caller = await connect(world.settings[0].listen)
            await asyncio.sleep(0.15)
            caller.writer.write(HALF.encode()[:-2])
            # Blocks the event loop until open requests are no longer waited for.
            time.sleep(0.55 - REQUEST_MARGIN_SECONDS)
            assert (await caller.read()).status == 503
            assert not engine.runs
            caller.close()
            keeping.close()

    run(main())


@pytest.mark.parametrize("is_kept", [True, False])
def test_a_request_that_crosses_an_idle_close_is_answered_as_not_run(
    is_kept,
):
    """The request is sent after the gateway closed the connection as idle."""

    async def main():
        async with make_world() as world:
            engine = await world.add_engine("e1")
            gateway = await world.start_gateway()
            await world.wait_ready()
            caller = await connect(world.settings[0].listen)
            if is_kept:
                caller.send("/issue/1", attempt="a1")
                assert (await caller.read()).status == 200
            await wait_for(lambda: gateway.ingress.idle_connections)
            await asyncio.sleep(FIRST_REQUEST_SECONDS + 0.05)
            gateway.ingress.close_idle()
            caller.send("/issue/2", attempt="a2")
            assert (await caller.read()).status == 408
            assert await asyncio.wait_for(caller.reader.read(), 2) == b""
            assert not [one for one in engine.runs if one.attempt == "a2"]
            caller.close()

    run(main())


MOMENTS = [
    GRACE_SECONDS - margin - 0.1
    for margin in (ANSWER_MARGIN_SECONDS, LISTEN_MARGIN_SECONDS, REQUEST_MARGIN_SECONDS)
]


@pytest.mark.parametrize("after", [ROTATION_SECONDS - 0.1, *MOMENTS])
def test_a_suspended_stop_cuts_no_request(after):
    """A busy instance suspends a gateway for a second of its stop.

    Meanwhile requests are in flight, unread, or in the listening socket's queue, and
    their time is over when the process continues.
    """

    async def main():
        async with make_stopping(Hang(), Reply(), after=1.0) as (world, _, stopping):
            address = world.settings[0].listen
            working = await connect(address)
            working.send("/issue/1", attempt="working", timeout_ms=20_000)
            halfway = await connect(address)
            halfway.writer.write(HALF.encode())
            await asyncio.sleep(after - 1.2)
            unread, *unused = [await connect(address) for _ in range(3)]
            await asyncio.sleep(0.2)
            unread.send("/look/2", attempt="unread")
            unused[0].writer.write(b"POST")
            queued = []
            with contextlib.suppress(ConnectionRefusedError):
                # Only the kernel accepts them, as the gateway runs on this event loop.
                queued = [await connect(address) for _ in range(3)]
                queued[0].send("/look/3", attempt="queued")
            # Blocks the event loop of the gateway and of everything else.
            time.sleep(1.0)
            if queued:
                queued[1].send("/look/4", attempt="late")
            callers = [working, halfway, unread, *unused, *queued]
            answers = [await caller.read() for caller in callers]
            assert answers[0].status == 504 or after < GRACE_SECONDS / 2
            assert answers[1].status == 503
            assert all(got.is_whole for got in answers)
            await stopping
            for caller in callers:
                caller.close()

    run(main())


def test_metrics_show_that_a_gateway_was_suspended():
    """Without the metric, callers' waits would look like slow endpoints."""

    async def main():
        async with make_world() as world:
            await world.start_gateway()
            await world.wait_ready()
            settings = world.settings[0]
            address = f"{settings.address}:{settings.metrics_port}"
            time.sleep(0.8)
            await asyncio.sleep(0.3)
            got = await call(address, "/metrics", method="GET", body=b"")
            name = b"\ngateway_held_up_seconds_total "
            (seconds, *_) = got.body.split(name)[1].split(b"\n")
            assert 0.5 < float(seconds) < 1.5

    run(main())
