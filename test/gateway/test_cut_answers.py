"""Tests of endpoints' answers that are cut off at any byte, in each framing."""

import asyncio

import pytest

from eelgrassrack.standins.directengine import STAMP_VALUE, Raw

from .world import connect, make_world, run

HEAD = f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {STAMP_VALUE}\r\n".encode()
EVENT_TYPE = b"Content-Type: text/event-stream\r\n"
LENGTH = b"Content-Length: %d\r\n"
IN_CHUNKS = b"Transfer-Encoding: chunked\r\n"
BODY = b"0123456789" * 3
EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"


def make_chunks(*pieces):
    chunks = (b"%x\r\n%s\r\n" % (len(piece), piece) for piece in (*pieces, b""))
    return b"".join(chunks)


# The caller's path and the endpoint's whole answer.
ANSWERS = {
    "a length": ("/issue/1", HEAD + LENGTH % len(BODY) + b"\r\n" + BODY),
    "chunks": (
        "/issue/1",
        HEAD + IN_CHUNKS + b"\r\n" + make_chunks(BODY[:9], BODY[9:]),
    ),
    "no length": ("/issue/1", HEAD + b"\r\n" + BODY),
    "a failure": (
        "/issue/1",
        HEAD.replace(b"200 OK", b"500 No") + LENGTH % len(BODY) + b"\r\n" + BODY,
    ),
    "events with a length": (
        "/once/1",
        HEAD + EVENT_TYPE + LENGTH % len(EVENTS) + b"\r\n" + EVENTS,
    ),
    "events in chunks": (
        "/once/1",
        HEAD + EVENT_TYPE + IN_CHUNKS + b"\r\n" + make_chunks(EVENTS[:20], EVENTS[20:]),
    ),
    "events without a length": ("/once/1", HEAD + EVENT_TYPE + b"\r\n" + EVENTS),
}

# Only a reset tells that these were cut.
ENDS_BY_CLOSE = {"no length", "events without a length"}

CASES = [
    pytest.param(name, is_reset, id=f"{name} {'reset' if is_reset else 'closed'}")
    for name in ANSWERS
    for is_reset in (True, False)
    if is_reset or name not in ENDS_BY_CLOSE
]


async def call_once(address, path, attempt):
    """Return what a caller gets; `is_whole` is unset where its connection ends."""
    caller = await connect(address)
    caller.send(path, attempt=attempt)
    try:
        return await caller.read()
    finally:
        caller.close()


@pytest.mark.parametrize("name, is_reset", CASES)
def test_an_answer_that_is_cut_anywhere_never_looks_whole(name, is_reset):
    """Guards against a part of an answer that its caller takes for all of it."""
    path, answer = ANSWERS[name]
    service = "models" if path.startswith("/once") else "plain"

    async def main():
        async with make_world() as world:
            engine = await world.add_engine("e1", service=service, slots=1_000)
            await world.start_gateway()
            await world.wait_ready()
            address = world.settings[0].listen
            # Unless it is reset, the last answer is whole.
            ends = range(len(answer) + is_reset)
            for end in ends:
                engine.play(Raw(pieces=(answer[:end],), is_reset=is_reset))
                try:
                    got = await call_once(address, path, f"a{end}")
                except (asyncio.IncompleteReadError, ConnectionError):
                    continue
                is_cut = end < len(answer) or name in ENDS_BY_CLOSE
                assert not (is_cut and got.status in (200, 500) and got.is_whole), end
            assert len(engine.runs) == len(ends)
            engine.play(Raw(pieces=(answer,)))
            got = await call_once(address, path, "whole")
            assert got.is_whole
            assert got.body in (BODY, EVENTS)

    run(main())
