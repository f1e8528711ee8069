"""Tests of callers of HTTP/1.0, whose streams end by the connection's close."""

import asyncio

import pytest

from eelgrassrack.standins.directengine import Events

from .world import HOST, KEY, make_world, run, wait_for


async def call_old(world, path, *, keep_alive):
    """Send a request of HTTP/1.0; return its connection."""
    host, port = world.settings[0].listen.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [
        f"POST {path} HTTP/1.0",
        f"Host: {HOST}",
        "X-Attempt-Id: a1",
        f"Authorization: Bearer {KEY}",
        "Content-Length: 3",
        *(["Connection: keep-alive"] if keep_alive else []),
    ]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\nask")
    return reader, writer


async def start(world, *steps):
    engine = await world.add_engine("e1", *steps, service="models", slots=100)
    await world.start_gateway()
    await world.wait_ready()
    return engine


@pytest.mark.parametrize("keep_alive", (False, True))
def test_a_stream_to_an_old_caller_ends_by_a_close(keep_alive):
    """Guards against a stream whose end its caller doesn't see."""

    async def main():
        async with make_world() as world:
            await start(world, Events(count=3))
            reader, writer = await call_old(world, "/once/1", keep_alive=keep_alive)
            got = await asyncio.wait_for(reader.read(), 3.0)
            _, _, body = got.partition(b"\r\n\r\n")
            whole = (f"id: {one}\ndata: {one} of e1\n\n" for one in range(1, 4))
            assert body == "".join(whole).encode()
            writer.close()

    run(main())


@pytest.mark.parametrize("keep_alive", (False, True))
def test_a_broken_stream_to_an_old_caller_never_looks_whole(keep_alive):
    """Guards against a part of a stream that its caller takes for all of it."""

    async def main():
        async with make_world() as world:
            await start(world, Events(count=6, breaks_after=2))
            reader, writer = await call_old(world, "/once/1", keep_alive=keep_alive)
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(reader.read(), 3.0)
            writer.close()

    run(main())


def test_a_stream_to_an_old_caller_is_reset_where_its_gateway_ends():
    """Guards against a part of a stream that its caller takes for all of it."""

    async def main():
        async with make_world() as world:
            engine = await start(world, Events(count=6, pauses_after=2, pause=5.0))
            reader, writer = await call_old(world, "/once/1", keep_alive=False)
            await reader.readuntil(b"2 of e1\n\n")
            await wait_for(lambda: engine.runs)
            await world.gateways[0].close()
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(reader.read(), 3.0)
            writer.close()

    run(main())
