"""Graceful stop of a gateway."""

import asyncio
import socket
import time

import pytest

from eelgrassrack.dismissal import REQUEST_TIMEOUT_ANSWER
from eelgrassrack.gateway.gracefulstop import ROTATION_SECONDS
from eelgrassrack.gateway.requests.ingress import FIRST_REQUEST_SECONDS, Ingress
from eelgrassrack.standins.directengine import Events, Reply

from .virtualtime import run_in_virtual_time
from .world import HOST, KEY, call, connect, make_world, run, wait_for

REQUEST = (
    f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
    "X-Attempt-Id: a1\r\n\r\n"
).encode()


def test_a_stop_cuts_no_request():
    """A gateway gets SIGTERM while a stream runs and callers keep connections.

    Its readiness check fails at once, the stream ends complete, and requests that
    arrive within the balancer's delay are served.
    """

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            await world.add_engine("e2", Events(count=40, gap=0.05), service="models")
            gateway = await world.start_gateway()
            await world.wait_ready()
            address = world.settings[0].listen
            streaming = await connect(address)
            streaming.send("/chat/1")
            kept = await connect(address)
            kept.send("/look/1", attempt="k1")
            assert (await kept.read()).status == 200
            stopping = asyncio.ensure_future(gateway.stop())
            await asyncio.sleep(0.1)
            ready = await call(world.settings[0].readiness, "/", method="GET")
            assert ready.status == 503
            kept.send("/look/2", attempt="k2")
            got = await kept.read()
            assert got.status == 200
            assert got.headers["connection"] == "close"
            assert (await world.call(attempt="new")).status == 200
            assert (await streaming.read()).is_whole
            await stopping

    run(main())


def test_a_request_that_lies_unread_isnt_closed_with_the_idle():
    """A busy process hasn't read a request yet that came on an idle connection.

    If the connection were closed as idle, the caller wouldn't know whether the
    request ran.
    """

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            gateway = await world.start_gateway()
            await world.wait_ready()
            caller = await connect(world.settings[0].listen)
            caller.send("/look/1", attempt="a1")
            assert (await caller.read()).status == 200
            await asyncio.sleep(0.05)
            caller.send("/look/2", attempt="a2")
            # The bytes are in the kernel's buffer; the loop hasn't run since.
            await caller.writer.drain()
            gateway.ingress.close_idle()
            assert (await caller.read()).status == 200
            caller.close()

    run(main())


def test_a_caller_that_has_just_connected_gets_an_answer():
    """A caller connects to a stopping gateway, and its request is on its way.

    If the connection were closed as idle, the caller would get no answer and could
    only guess whether its request ran.
    """

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            gateway = await world.start_gateway()
            await world.wait_ready()
            caller = await connect(world.settings[0].listen)
            await wait_for(lambda: gateway.ingress.idle_connections)
            gateway.ingress.close_idle()
            caller.send("/look/1")
            assert (await caller.read()).status == 200
            caller.close()

    run(main())


def test_a_stop_waits_for_the_first_request_of_a_connection():
    """A caller connects just when a stopping gateway has nothing left to do."""

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            gateway = await world.start_gateway()
            await world.wait_ready()
            stopping = asyncio.ensure_future(gateway.stop())
            await asyncio.sleep(ROTATION_SECONDS - 0.1)
            caller = await connect(world.settings[0].listen)
            await asyncio.sleep(0.15)
            caller.send("/look/1")
            assert (await caller.read()).status == 200
            await stopping
            caller.close()

    run(main())


def test_a_stop_answers_a_caller_that_connects_during_its_last_check(monkeypatch):
    """A caller connects and sends a request just after the stop's last check.

    Its connection was accepted, so without an answer it couldn't know whether its
    request ran.
    """
    callers = []

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            gateway = await world.start_gateway()
            await world.wait_ready()
            host, port = world.settings[0].listen.rsplit(":", 1)
            check = Ingress.has_pending_requests.fget

            def connect_after_check(ingress):
                has_pending_requests = check(ingress)
                if not has_pending_requests and not callers:
                    # This blocks the loop, so nothing else runs meanwhile.
                    callers.append(socket.create_connection((host, int(port))))
                    callers[0].sendall(REQUEST)
                return has_pending_requests

            monkeypatch.setattr(
                Ingress, "has_pending_requests", property(connect_after_check)
            )
            await gateway.stop()
            with callers[0] as caller:
                assert caller.recv(12) == b"HTTP/1.1 200"

    run(main())


def test_a_stop_waits_for_a_request_that_lies_unread():
    """A gateway has no request in flight, but hasn't read one that has arrived.

    The process was stalled for a tenth of a second.  The caller reserves a lot and
    may not repeat that; if its connection were cut, it wouldn't know whether the lot
    is reserved.
    """

    async def main():
        async with make_world() as world:
            engine = await world.add_engine("e1", Reply(delay=0.1))
            gateway = await world.start_gateway()
            await world.wait_ready()
            caller = await connect(world.settings[0].listen)
            caller.send("/look/1", attempt="a1")
            assert (await caller.read()).status == 200
            stopping = asyncio.ensure_future(gateway.stop())
            await asyncio.sleep(ROTATION_SECONDS - 0.2)
            # The sleep below blocks the loop, so that the request has arrived unread
            # when the stop continues.
            caller.send("/issue/2", attempt="a2")
            await caller.writer.drain()
            time.sleep(0.3)
            assert (await caller.read()).status == 200
            await stopping
            assert [one.target for one in engine.runs] == ["/look/1", "/issue/2"]

    run(main())


@pytest.mark.parametrize("pause", [0.0, 0.01, 0.1])
def test_a_stop_waits_for_a_body_that_comes_slowly(pause):
    """The head was read before the stop continued, and the rest arrives later."""

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            gateway = await world.start_gateway()
            await world.wait_ready()
            stopping = asyncio.ensure_future(gateway.stop())
            await asyncio.sleep(ROTATION_SECONDS - 0.35)
            caller = await connect(world.settings[0].listen)
            lines = (
                "POST /look/1 HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: a1\r\n"
                f"Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n\r\nab"
            )
            caller.writer.write(lines.encode())
            await asyncio.sleep(0.4 + pause)
            caller.writer.write(b"cd")
            assert (await caller.read()).status == 200
            await stopping
            caller.close()

    run(main())


def test_a_connection_without_any_request_is_closed_in_the_end():
    async def main():
        async with make_world() as world:
            gateway = await world.start_gateway()
            caller = await connect(world.settings[0].listen)
            await wait_for(lambda: gateway.ingress.idle_connections)
            await asyncio.sleep(FIRST_REQUEST_SECONDS + 0.05)
            gateway.ingress.close_idle()
            assert (
                await asyncio.wait_for(caller.reader.read(), 2)
                == REQUEST_TIMEOUT_ANSWER
            )
            caller.close()

    run(main())


def test_idle_connections_are_closed():
    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            gateway = await world.start_gateway()
            await world.wait_ready()
            caller = await connect(world.settings[0].listen)
            caller.send("/look/1")
            await caller.read()
            await asyncio.sleep(0.05)
            gateway.ingress.close_idle()
            assert (
                await asyncio.wait_for(caller.reader.read(), 2)
                == REQUEST_TIMEOUT_ANSWER
            )
            caller.close()

    run(main())


def test_a_stop_ends_in_time_though_a_request_doesnt():
    async def main():
        async with make_world() as world:
            await world.add_engine("e1", Reply(delay=20.0))
            gateway = await world.start_gateway()
            await world.wait_ready()
            caller = await connect(world.settings[0].listen)
            caller.send("/look/1", timeout_ms=30_000)
            await wait_for(lambda: gateway.ingress.open_requests)
            await asyncio.wait_for(gateway.stop(), 6.0)
            caller.close()

    run(main())


def test_callers_are_served_until_the_process_ends():
    """Too few other gateways are ready, so the balancer keeps sending callers."""

    async def main():
        async with make_world() as world:
            await world.add_engine("e1", Reply(delay=0.1))
            await world.add_engine("e2", Events(count=90, gap=0.05), service="models")
            gateway = await world.start_gateway()
            await world.wait_ready()
            streaming = await connect(world.settings[0].listen)
            streaming.send("/chat/1")
            await asyncio.sleep(0.1)
            stopping = asyncio.ensure_future(gateway.stop())
            await asyncio.sleep(3.2)
            got = await world.call(attempt="late", timeout_ms=1_000)
            assert got.status == 200
            assert (await streaming.read()).is_whole
            await stopping

    run_in_virtual_time(main())


def test_a_stream_that_may_outlast_the_process_isnt_begun():
    """A caller reaches a gateway that exits in four seconds.

    Its stream could be cut, however short it is expected to be.  The gateway says
    that it hasn't run, so that the caller tries another one.  A caller with a
    shorter timeout is served.
    """

    async def main():
        async with make_world() as world:
            engine = await world.add_engine(
                "e1", Events(count=50, gap=0.1), Events(count=3), service="models"
            )
            gateway = await world.start_gateway()
            await world.wait_ready()
            caller = await connect(world.settings[0].listen)
            caller.send("/once/1")
            await wait_for(lambda: gateway.ingress.open_requests)
            stopping = asyncio.ensure_future(gateway.stop())
            await asyncio.sleep(2.9)
            long = [("X-Token-Usage", "1000,1000"), ("X-Length-Hint", "5")]
            got = await world.call("/chat/1", headers=long)
            assert got.status == 503
            assert float(got.headers["retry-after"]) > 0
            short = [("X-Token-Usage", "1000,20")]
            assert (await world.call("/chat/2", headers=short)).status == 503
            got = await world.call("/chat/3", headers=short, timeout_ms=2_000)
            assert got.status == 200
            assert [one.target for one in engine.runs] == ["/once/1", "/chat/3"]
            await stopping
            caller.close()

    run(main())
