"""Tests of the HTTP responder over a real connection."""

import asyncio
import hashlib

import pytest
from tornado import web
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from eelgrassrack.entry.responder import HttpResponder

EVENT_STREAM = [("Content-Type", "text/event-stream")]
PIECE = b"data: " + bytes(range(97, 123)) * 40 + b"\n\n"
PIECES = 6_000


class Writer(web.RequestHandler):
    """Writes all pieces and passes its responder to the test."""

    def initialize(self, *, pieces: list[bytes], responders: list) -> None:
        self.pieces = pieces
        self.responders = responders
        self.gone = asyncio.get_running_loop().create_future()

    def on_connection_close(self) -> None:
        self.responders[-1].has_ended = True
        self.gone.set_result(None)

    async def post(self) -> None:
        responder = HttpResponder(handler=self)
        self.responders.append(responder)
        responder.begin(status=200, fields=EVENT_STREAM)
        for piece in self.pieces:
            responder.write(piece)
            await asyncio.sleep(0)
        responder.finish()


async def start(pieces: list[bytes], responders: list) -> tuple[HTTPServer, int]:
    given = {"pieces": pieces, "responders": responders}
    server = HTTPServer(web.Application([(r"/", Writer, given)]))
    sockets = bind_sockets(0, address="127.0.0.1")
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]


async def read_body(reader: asyncio.StreamReader, *, is_chunked: bool) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    assert (b"chunked" in head) is is_chunked
    if not is_chunked:
        return await reader.read()
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        assert await reader.readexactly(2) == b"\r\n"
    assert await reader.readexactly(2) == b"\r\n"
    return body


@pytest.mark.parametrize(("version", "is_chunked"), [("1.1", True), ("1.0", False)])
def test_a_slow_caller_gets_every_byte_in_order(version, is_chunked):
    """A caller reads more slowly than the engine generates.

    Its socket accepts only a part of a piece.  The rest must be sent before
    the next piece, or the events would be corrupted.
    """
    pieces = [b"%d " % number + PIECE for number in range(PIECES)]
    expected = hashlib.sha256(b"".join(pieces)).digest()

    async def run() -> bytes:
        responders: list[HttpResponder] = []
        server, port = await start([*pieces, b""], responders)
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=4096)
        writer.write(
            b"POST / HTTP/%b\r\nHost: a\r\nContent-Length: 0\r\n\r\n" % version.encode()
        )
        while not (responders and responders[0]._stream.writing()):
            await asyncio.sleep(0)
        body = await read_body(reader, is_chunked=is_chunked)
        writer.close()
        server.stop()
        return body

    body = asyncio.run(asyncio.wait_for(run(), 20))
    assert hashlib.sha256(body).digest() == expected


def test_a_caller_that_resets_its_connection_ends_the_request():
    """A caller disconnects in the middle of a stream.

    The write that fails must not raise in the code that serves all callers,
    or other callers would miss the pieces in the same batch.
    """

    async def run() -> None:
        responders: list[HttpResponder] = []
        server, port = await start([PIECE] * PIECES * 10, responders)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
        while not responders:
            await asyncio.sleep(0)
        writer.transport.abort()
        while not responders[0].has_ended:
            await asyncio.sleep(0)
        responders[0].write(PIECE)
        server.stop()

    asyncio.run(asyncio.wait_for(run(), 20))
