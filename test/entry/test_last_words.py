"""What callers are told whose requests come as an entry ends their connection."""

import asyncio
import itertools
import socket
import time

import pytest

from eelgrassrack.entry.entry import LAST_SECONDS, EntryDaemon
from eelgrassrack.standins import system

from ..promises.world import REGISTRY, TUTOR_EAST, World

GRACE_SECONDS = 1.0
PATH = "/v1/services/registry/credentials"
HEAD = (
    f"POST {PATH} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer school-key\r\n"
    "Idempotency-Key: late\r\nContent-Length: {size}\r\n\r\n"
)
REQUEST = HEAD.format(size=4).encode() + b"late"
# More than a connection takes in before anyone reads from it.
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
def test_a_request_that_comes_when_the_entry_is_gone_is_said_not_to_have_run(
    world, is_kept, sent
):
    """Its connection was open all through the stop, with part of a head on it."""

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


def test_a_caller_in_the_queue_of_the_port_is_told(world, monkeypatch):
    """It connects, and sends a request, in the moment in which the entry is done."""
    callers = []
    shut = EntryDaemon._shut_door
    host, _, port = world.entry().url.removeprefix("http://").rpartition(":")

    async def come(entry):
        callers.append(socket.create_connection((host, int(port))))
        callers[0].sendall(REQUEST)
        await shut(entry)

    monkeypatch.setattr(EntryDaemon, "_shut_door", come)
    world.run(world.system.stop_entry("entry-0"))
    with callers[0] as caller:
        assert caller.recv(12) == b"HTTP/1.1 503"
    assert not world.count_effects("late")


def send_at_leisure(world, pieces, pause=0.0):
    """Send everything before reading, as simple callers do; return what comes."""
    host, _, port = world.entry().url.removeprefix("http://").rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as caller:
        for piece in pieces:
            caller.sendall(piece)
            time.sleep(pause)
        return caller.recv(13)


def test_a_caller_that_sends_on_gets_the_answer_to_half_a_request(world):
    """Its body is refused as too long, and it reads only once it has sent all.

    The rest of the body would reset the connection, and the answer away.
    """
    data = HEAD.format(size=LONG_BODY).encode() + b"x" * LONG_BODY
    work = asyncio.to_thread(send_at_leisure, world, [data])
    assert world.run(work) == b"HTTP/1.1 413 "


def test_a_caller_that_sends_on_is_told_that_the_entry_ends(world):
    """Its body comes slowly, and goes on coming when it has been refused."""
    head = HEAD.format(size=PIECES * len(PIECE)).encode()

    async def ask():
        pieces = [head, *itertools.repeat(PIECE, PIECES - 1)]
        seconds = (GRACE_SECONDS + LAST_SECONDS + 0.5) / PIECES
        sending = asyncio.create_task(
            asyncio.to_thread(send_at_leisure, world, pieces, seconds)
        )
        await asyncio.sleep(0.1)
        await world.system.stop_entry("entry-0")
        return await sending

    assert world.run(ask()) == b"HTTP/1.1 503 "
