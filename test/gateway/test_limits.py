"""Tests of the configured limits on what callers send and how long they take."""

import asyncio

import pytest

from eelgrassrack.dismissal import REQUEST_TIMEOUT_ANSWER

from .world import KEY, connect, make_world, run, wait_for

LIMITS = {
    "maxHeaderBytes": 2_000,
    "maxBodyBytes": 10_000,
    "headerTimeoutMs": 600,
    "idleTimeoutMs": 1_500,
}

HEAD = f"POST /look/1 HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer {KEY}\r\n"
CHUNK = b"400\r\n" + b"x" * 1_024 + b"\r\n"


async def start(world, *, limits=LIMITS):
    world.configure(version=2, limits=limits)
    engine = await world.add_engine("e1")
    gateway = await world.start_gateway()
    await world.wait_ready()
    await wait_for(lambda: gateway.router.version == 2)
    return engine


async def read_end(caller):
    """Return the bytes until the connection closes."""
    return await asyncio.wait_for(caller.reader.read(), 5)


def test_a_head_that_is_too_long_is_refused():
    """A caller sends longer headers than the configuration allows.

    It gets a 431, and its request isn't forwarded.
    """

    async def main():
        async with make_world() as world:
            engine = await start(world)
            caller = await connect(world.settings[0].listen)
            caller.send("/look/1", headers=[("A", "x" * 2_500)])
            assert (await caller.read()).status == 431
            assert await read_end(caller) == b""
            assert not engine.runs
            assert (await world.call(headers=[("A", "x" * 1_000)])).status == 200

    run(main())


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_body_that_is_too_long_is_refused(is_chunked):
    """A caller sends a longer body than allowed, and reads after sending it.

    It gets a 413 before the body is complete, and nothing is forwarded.  Closing
    the connection with unread bytes would reset it and lose the answer.
    """

    async def main():
        async with make_world() as world:
            engine = await start(world)
            caller = await connect(world.settings[0].listen)
            if is_chunked:
                head = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
                caller.writer.write(head.encode() + CHUNK * 11)
            else:
                head = HEAD + "Content-Length: 200000\r\n\r\n"
                caller.writer.write(head.encode() + b"x" * 1_000)
            assert (await caller.read()).status == 413
            rest = CHUNK * 100 + b"0\r\n\r\n" if is_chunked else b"x" * 199_000
            caller.writer.write(rest)
            await caller.writer.drain()
            assert await read_end(caller) == b""
            assert not engine.runs
            assert (await world.call(body=b"x" * 9_000)).status == 200

    run(main())


def test_a_caller_that_never_ends_its_body_is_cut_off():
    """The gateway stops reading a refused body after `DRAIN_BYTES`."""

    async def main():
        async with make_world() as world:
            await start(world)
            caller = await connect(world.settings[0].listen)
            head = HEAD + "Content-Length: 1000000000\r\n\r\n"
            caller.writer.write(head.encode())
            assert (await caller.read()).status == 413
            with pytest.raises((ConnectionError, BrokenPipeError)):
                for _ in range(10_000):
                    caller.writer.write(b"x" * 65_536)
                    await caller.writer.drain()

    run(main())


def test_headers_that_arrive_too_slowly_end_the_connection():
    """A caller starts a request and falls silent.

    Without a limit such connections would hold memory and file descriptors for as
    long as the caller likes.
    """

    async def main():
        async with make_world() as world:
            await start(world)
            caller = await connect(world.settings[0].listen)
            caller.writer.write(HEAD.encode())
            began = asyncio.get_running_loop().time()
            assert (await read_end(caller)).startswith(b"HTTP/1.1 408 ")
            took = asyncio.get_running_loop().time() - began
            assert 0.5 < took < 1.4

    run(main())


def test_slow_headers_within_the_limit_are_served():
    """The headers arrive in pieces, within the configured time."""

    async def main():
        async with make_world() as world:
            await start(world)
            caller = await connect(world.settings[0].listen)
            await asyncio.sleep(0.9)
            caller.writer.write(HEAD.encode())
            await asyncio.sleep(0.3)
            caller.writer.write(b"Content-Length: 0\r\n\r\n")
            assert (await caller.read()).status == 200

    run(main())


def test_an_idle_connection_is_kept_for_the_configured_time():
    """Callers reuse a connection shortly before the end of its idle time.

    If it closed earlier, a request could cross the close and fail.
    """

    async def main():
        async with make_world() as world:
            await start(world)
            caller = await connect(world.settings[0].listen)
            caller.send("/look/1", attempt="a1")
            assert (await caller.read()).status == 200
            await asyncio.sleep(1.2)
            caller.send("/look/1", attempt="a2")
            assert (await caller.read()).status == 200
            began = asyncio.get_running_loop().time()
            assert await read_end(caller) == REQUEST_TIMEOUT_ANSWER
            took = asyncio.get_running_loop().time() - began
            assert 1.4 < took < 2.6

    run(main())


def test_changed_limits_apply_to_open_connections():
    async def main():
        async with make_world() as world:
            await start(world)
            caller = await connect(world.settings[0].listen)
            caller.send("/look/1", attempt="a1", body=b"x" * 9_000)
            assert (await caller.read()).status == 200
            world.configure(version=3, limits={**LIMITS, "maxBodyBytes": 5_000})
            await wait_for(lambda: world.gateways[0].router.version == 3)
            caller.send("/look/1", attempt="a2", body=b"x" * 9_000)
            assert (await caller.read()).status == 413

    run(main())


def test_connections_that_callers_close_are_removed():
    """Callers open and close connections all day, with or without a request.

    If the gateway kept them, its memory and the cost of checking them would grow.
    """

    async def main():
        async with make_world() as world:
            await start(world)
            gateway = world.gateways[0]
            callers = [await connect(world.settings[0].listen) for _ in range(20)]
            for number, caller in enumerate(callers[:10]):
                caller.send("/look/1", attempt=f"a{number}")
                assert (await caller.read()).status == 200
            await wait_for(lambda: gateway.ingress.idle_connections == 20)
            for caller in callers:
                caller.close()
            await wait_for(lambda: gateway.ingress.idle_connections == 0, seconds=1.0)

    run(main())
