"""The HTTP/1.1 connection of a caller.

The HTTP library keeps up to three copies of a body's latest part while it waits for the
next one, and handles each chunk of a body by several reads.  Here a part is handed on
and forgotten, and all chunks of a read are decoded at once.
"""

import asyncio
from collections.abc import Awaitable

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError
from tornado.log import gen_log

from ..turnquota import TurnQuota
from .chunks import ChunkDecoder
from .stream import READ_BYTES
from .turns import BYTES_PER_TURN, PIECES_PER_TURN, ReadTurns

# Keeps the HTTP library from refusing what the callers' handler judges.
UNLIMITED_BYTES = 1 << 60

# Chunks may be tiny, so that fewer bytes of them are read at once.
READ_CHUNKS_BYTES = 1_024


class CallerConnection(HTTP1Connection):
    """Reads one request from a caller and writes its response."""

    def __init__(self, *, server: "CallerServerConnection") -> None:
        super().__init__(server.stream, False, server.params, server.context)
        self._turns = server.turns
        self._quota = TurnQuota(most_pieces=PIECES_PER_TURN, most_bytes=BYTES_PER_TURN)
        self.most_header_bytes = UNLIMITED_BYTES
        self.is_head_too_long = False

    def _parse_headers(self, data: bytes) -> tuple[str, HTTPHeaders]:
        line_end = data.find(b"\n", len(data) - len(data.lstrip(b"\r\n")))
        if len(data) - line_end > self.most_header_bytes:
            # Thousands of lines take long to parse, only to be refused.
            self.is_head_too_long = True
            data = data[: line_end + 1] + b"Connection: close\r\n\r\n"
        self.stream.note_head(data)
        return super()._parse_headers(data)

    def write_headers(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
        chunk: bytes | None = None,
    ) -> "asyncio.Future[None]":
        """Write the head of the response."""
        self.stream.note_answer()
        return super().write_headers(start_line, headers, chunk)

    def _read_body(
        self, code: int, headers: HTTPHeaders, delegate: HTTPMessageDelegate
    ) -> Awaitable[None] | None:
        reading = super()._read_body(code, headers, delegate)
        if reading is None:
            self.stream.note_whole()
        return reading

    async def _read_fixed_body(
        self, content_length: int, delegate: HTTPMessageDelegate
    ) -> None:
        remaining = content_length
        while remaining > 0:
            size = min(READ_BYTES, remaining)
            data = await self.stream.read_bytes(size, partial=True)
            size = len(data)
            remaining -= size
            await self._deliver_body(delegate, data)
            self.stream.check_stays()
            # Nothing refers to the part while the next one is awaited.
            data = b""
            await self._let_others(size=size)
        self.stream.note_whole(content_length)

    async def _read_chunked_body(self, delegate: HTTPMessageDelegate) -> None:
        decoder = ChunkDecoder(most=self._max_body_size)
        decoded = 0
        while not decoder.is_done:
            is_large = decoder.remaining > READ_CHUNKS_BYTES
            size = READ_BYTES if is_large else READ_CHUNKS_BYTES
            data = await self.stream.read_bytes(size, partial=True)
            size = len(data)
            pieces = decoder.chunks
            data = decoder.feed(data)
            decoded += len(data)
            if data:
                await self._deliver_body(delegate, data)
                self.stream.check_stays()
            data = b""
            await self._let_others(size=size, pieces=decoder.chunks - pieces)
        self.stream.put_back(decoder.rest)
        self.stream.note_whole(decoded)

    def _finish_request(self, future: "asyncio.Future[None] | None") -> None:
        if self._disconnect_on_finish:
            self.stream.linger_if_unread()
        super()._finish_request(future)

    def forget_head(self) -> None:
        """Drop the head of a request whose connection is closed.

        Objects of the request may refer to one another until they are collected.
        """
        if self._request_headers is not None:
            # Unlike `clear`, this frees the tables as well.
            self._request_headers.__init__()

    async def _let_others(self, *, size: int, pieces: int = 1) -> None:
        """Wait for the next turn if this one is over."""
        if self._quota.use(size, pieces=pieces):
            await self._turns.wait()


class CallerServerConnection(HTTP1ServerConnection):
    """Reads a caller's requests one after the other."""

    def __init__(self, *, turns: ReadTurns, **options: object) -> None:
        super().__init__(**options)
        self.turns = turns

    async def _server_request_loop(
        self, delegate: HTTPServerConnectionDelegate
    ) -> None:
        try:
            while await self._read_request(delegate):
                await asyncio.sleep(0)
        finally:
            delegate.on_close(self)

    async def _read_request(self, delegate: HTTPServerConnectionDelegate) -> bool:
        """Read one request and wait for its answer; return whether more may follow."""
        self.stream.begin_request()
        connection = CallerConnection(server=self)
        message = delegate.start_request(self, connection)
        try:
            return await connection.read_response(message)
        except (StreamClosedError, UnsatisfiableReadError, asyncio.CancelledError):
            return False
        except Exception:
            gen_log.error("Uncaught exception", exc_info=True)
            connection.close()
            return False
        finally:
            if self.stream.is_ending:
                connection.forget_head()
