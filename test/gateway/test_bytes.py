"""Tests of messages that callers and endpoints split or corrupt at any byte."""

import asyncio
import concurrent.futures
import contextlib
import threading

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from eelgrassrack.standins.directengine import STAMP_VALUE, Raw, Reply

from .world import KEY, Caller, connect, make_world

EXAMPLES = settings(
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)

BODY = b"0123456789" * 5
REQUEST = (
    f"POST /look/1 HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer {KEY}\r\n"
    "X-Attempt-Id: attempt1\r\nX-Deadline-Ms: 3000\r\n"
)
WITH_LENGTH = REQUEST.encode() + b"Content-Length: 50\r\n\r\n" + BODY
IN_CHUNKS = (
    REQUEST.encode()
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"14\r\n"
    + BODY[:20]
    + b"\r\n1E\r\n"
    + BODY[20:]
    + b"\r\n0\r\n\r\n"
)

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: "
    + STAMP_VALUE.encode()
    + b"\r\nX-Attempt-Id: attempt1\r\n"
)
ANSWERS = {
    "length": HEAD + b"Content-Length: 50\r\n\r\n" + BODY,
    "chunks": (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"14\r\n"
        + BODY[:20]
        + b"\r\n1E\r\n"
        + BODY[20:]
        + b"\r\n0\r\n\r\n"
    ),
}


class Playground:
    """A gateway with one endpoint, on an event loop in its own thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.stack = contextlib.AsyncExitStack()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.run(self.start())

    def run(self, coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        try:
            return future.result(20)
        except concurrent.futures.TimeoutError:
            future.cancel()
            raise

    async def start(self):
        self.world = await self.stack.enter_async_context(make_world())
        self.engine = await self.world.add_engine("e1")
        await self.world.start_gateway()
        await self.world.wait_ready()
        self.address = self.world.settings[0].listen

    def stop(self):
        self.run(self.stack.aclose())
        self.loop.call_soon_threadsafe(self.loop.stop)

    async def send(self, pieces):
        """Send pieces of one request and read its answer."""
        caller = await connect(self.address)
        try:
            for piece in pieces:
                caller.writer.write(piece)
                await caller.writer.drain()
                await asyncio.sleep(0)
            return await read_or_none(caller)
        finally:
            caller.close()

    async def is_well(self):
        """Return whether a valid request is served."""
        self.engine.play(Reply())
        got = await self.world.call("/look/1", attempt="attempt9")
        return got.status == 200 and got.body == b"done"


async def read_or_none(caller: Caller):
    """Return the answer, or None if the connection closes within its headers."""
    try:
        async with asyncio.timeout(8):
            return await caller.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


@pytest.fixture(scope="module")
def playground():
    found = Playground()
    yield found
    found.stop()


def cut(data, places):
    """Return the data in pieces, cut at places."""
    edges = sorted({0, len(data), *(place % len(data) for place in places)})
    return [data[one:two] for one, two in zip(edges, edges[1:], strict=False)]


PLACES = st.lists(st.integers(0, 400), max_size=6)


@EXAMPLES
@given(request=st.sampled_from([WITH_LENGTH, IN_CHUNKS]), places=PLACES)
def test_a_request_is_the_same_however_it_is_cut(playground, request, places):
    """A slow link hands a request over in small pieces."""
    playground.engine.play(Reply())
    playground.engine.runs.clear()
    got = playground.run(playground.send(cut(request, places)))
    assert got.status == 200
    (run,) = playground.engine.runs
    assert (run.target, run.body, run.attempt) == ("/look/1", BODY, "attempt1")


@EXAMPLES
@given(
    request=st.sampled_from([WITH_LENGTH, IN_CHUNKS]),
    place=st.integers(0, 400),
    noise=st.binary(max_size=30),
)
def test_a_spoilt_request_harms_nobody_else(playground, request, place, noise):
    """A caller sends bytes that are no request, or only nearly one.

    Nothing runs under an id that no caller sent, and others are served.
    """
    playground.engine.play(Reply())
    playground.engine.runs.clear()
    place %= len(request)
    spoilt = request[:place] + noise + request[place + len(noise) :]

    async def play():
        caller = await connect(playground.address)
        with contextlib.suppress(ConnectionError):
            caller.writer.write(spoilt)
            caller.writer.write_eof()
            async with asyncio.timeout(8):
                await caller.reader.read()
        caller.close()
        return await playground.is_well()

    assert playground.run(play())
    runs = [run for run in playground.engine.runs if run.attempt != "attempt9"]
    assert len(runs) <= 1


@EXAMPLES
@given(answer=st.sampled_from(sorted(ANSWERS)), places=PLACES)
def test_an_answer_is_the_same_however_it_is_cut(playground, answer, places):
    """An endpoint's answer comes in small pieces."""
    playground.engine.play(Raw(pieces=tuple(cut(ANSWERS[answer], places))))
    got = playground.run(playground.send([WITH_LENGTH]))
    assert got.status == 200
    assert got.is_whole
    assert got.body == BODY


@EXAMPLES
@given(answer=st.sampled_from(sorted(ANSWERS)), kept=st.integers(0, 400))
def test_a_cut_answer_never_looks_whole(playground, answer, kept):
    """An endpoint ends in the middle of its answer, at any byte."""
    data = ANSWERS[answer]
    playground.engine.play(Raw(pieces=(data[: kept % len(data)],)))
    got = playground.run(playground.send([WITH_LENGTH]))
    assert got is None or got.status >= 500 or not got.is_whole
    assert playground.run(playground.is_well())


@EXAMPLES
@given(answer=st.sampled_from(sorted(ANSWERS)), more=st.binary(min_size=1, max_size=60))
def test_bytes_after_an_answer_reach_nobody(playground, answer, more):
    """An endpoint sends bytes that belong to no request after a whole answer."""
    playground.engine.play(Raw(pieces=(ANSWERS[answer] + more,)))
    got = playground.run(playground.send([WITH_LENGTH]))
    assert got.status == 200
    assert got.body == BODY
    assert playground.run(playground.is_well())
