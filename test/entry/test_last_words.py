"""Tests of requests that arrive while a stopping entry closes their connection."""

import asyncio
import itertools
import socket
import time

import pytest

from eelgrassrack.entry.entry import AFTER_GRACE_SECONDS, EntryDaemon
from eelgrassrack.standins import system

from ..promises.world import REGISTRY, TUTOR_EAST, World

GRACE_SECONDS = 1.0
PATH = "/v1/services/registry/credentials"
HEAD = (
    f"POST {PATH} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer school-key\r\n"
    "Idempotency-Key: late\r\nContent-Length: {size}\r\n\r\n"
)
REQUEST = HEAD.format(size=4).encode() + b"late"
# More than the socket buffers of a connection hold.
LONG_BODY = 8_000_000
PIECES = 50
PIECE = b"x" * 10_000
NOT_RUN = b"HTTP/1.1 408 "


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr(system, "QUICK_GRACE_SECONDS", GRACE_SECONDS)
    world = World(monkeypatch)
    try:
        world.start(plans=[REGISTRY, TUTOR_EAST])
        yield world
    finally:
        world.close()


async def connect(world):
    host, _, port = world.entry().url.removeprefix("http://").rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def read_status(reader):
    return await asyncio.wait_for(reader.readuntil(b" "), 5) + await reader.read(4)


@pytest.mark.parametrize("is_kept", [True, False])
@pytest.mark.parametrize("sent", [0, 1, len(HEAD) - 10])
def test_a_request_that_arrives_after_the_stop_is_answered_not_run(
    world, is_kept, sent
):
    """Its connection stays open during the stop, with a part of the headers sent."""

    async def ask():
        reader, writer = await connect(world)
        if is_kept:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: entry\r\n\r\n")
            await reader.readuntil(b"ready\n")
        writer.write(REQUEST[:sent])
        await asyncio.sleep(0.05)
        await world.system.stop_entry("entry-0")
        writer.write(REQUEST[sent:])
        status = await read_status(reader)
        writer.close()
        return status

    assert world.run(ask()) == NOT_RUN
    assert not world.count_effects("late")


def test_a_connection_in_the_listen_backlog_is_answered(world, monkeypatch):
    """A caller connects and sends a request just as the entry stops listening."""
    callers = []
    end_requests = EntryDaemon._end_requests
    host, _, port = world.entry().url.removeprefix("http://").rpartition(":")

    async def connect_first(entry):
        callers.append(socket.create_connection((host, int(port))))
        callers[0].sendall(REQUEST)
        await end_requests(entry)

    monkeypatch.setattr(EntryDaemon, "_end_requests", connect_first)
    world.run(world.system.stop_entry("entry-0"))
    with callers[0] as caller:
        assert caller.recv(12) == b"HTTP/1.1 503"
    assert not world.count_effects("late")


def send_then_read(world, pieces, pause=0.0):
    """Send all pieces before reading; return the start of the response."""
    host, _, port = world.entry().url.removeprefix("http://").rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as caller:
        for piece in pieces:
            caller.sendall(piece)
            time.sleep(pause)
        return caller.recv(13)


def test_a_refused_caller_that_keeps_sending_gets_its_response(world):
    """A body is refused as too large, but the caller sends all of it before reading.

    If the entry closed the connection, the rest of the body would reset it, and
    the caller would lose the response.
    """
    data = HEAD.format(size=LONG_BODY).encode() + b"x" * LONG_BODY
    work = asyncio.to_thread(send_then_read, world, [data])
    assert world.run(work) == b"HTTP/1.1 413 "


def test_a_caller_that_keeps_sending_is_told_that_the_entry_stops(world):
    """The caller sends its body slowly, and goes on after it has been refused."""
    head = HEAD.format(size=PIECES * len(PIECE)).encode()

    async def ask():
        pieces = [head, *itertools.repeat(PIECE, PIECES - 1)]
        seconds = (GRACE_SECONDS + AFTER_GRACE_SECONDS + 0.5) / PIECES
        sending = asyncio.create_task(
            asyncio.to_thread(send_then_read, world, pieces, seconds)
        )
        await asyncio.sleep(0.1)
        await world.system.stop_entry("entry-0")
        return await sending

    assert world.run(ask()) == b"HTTP/1.1 503 "
