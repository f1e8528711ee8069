"""Answers of which only a part of the head arrives."""

import asyncio

import pytest

from eelgrassrack.agent.engine import HttpEngine
from eelgrassrack.agent.outcomes import Completed, ConnectionBroken
from eelgrassrack.agent.transfer import Exchange

from .fakes import make_start

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
STATUS = b"HTTP/1.1 200 OK\r\n"
CUTS = {
    "after the status line": STATUS,
    "inside a name": STATUS + b"Content-Le",
    "inside a value": STATUS + b"X-Stamp: ab",
    "after a field": STATUS + b"X-Stamp: abc\r\n",
    "after the length": STATUS + b"Content-Length: 9\r\n",
    "after the coding": STATUS + b"Transfer-Encoding: chunked\r\n",
    "after an interim head": b"HTTP/1.1 100 Continue\r\n\r\n" + STATUS,
}


async def ask(answer):
    """Return the outcome of a request whose engine sends `answer` and closes."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    engine = HttpEngine(url=f"http://127.0.0.1:{port}", on_head=lambda *_: None)
    try:
        return await engine.run(
            start=make_start("a", service="plain"),
            exchange=Exchange(),
            timeout=5.0,
            on_begun=lambda: True,
            on_piece=lambda piece: None,
        )
    finally:
        engine.close()
        server.close()


@pytest.mark.parametrize("name", CUTS)
def test_an_answer_whose_head_breaks_off_is_not_complete(name):
    """A caller would get an empty answer, framed as a whole one."""
    assert isinstance(asyncio.run(ask(CUTS[name])), ConnectionBroken)


def test_an_answer_with_its_whole_head_is_complete():
    assert isinstance(asyncio.run(ask(WHOLE)), Completed)
