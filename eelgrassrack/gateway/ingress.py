"""Callers' connections: requests are read, answers are written."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

import logbook
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from .errors import CallerGoneError
from .exchange import set_probes
from .messages import Arrival, Refusal

log = logbook.Logger("ingress")

REASONS = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    413: "Content Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Reply:
    """The answer to one request."""

    __slots__ = ("_connection", "_is_closing", "is_begun", "is_over")

    def __init__(
        self, *, connection: HTTPConnection, is_closing: Callable[[], bool]
    ) -> None:
        self._connection = connection
        self._is_closing = is_closing
        self.is_begun = False
        self.is_over = False

    async def begin(
        self,
        *,
        status: int,
        reason: str,
        headers: tuple[tuple[str, str], ...],
        data: bytes = b"",
    ) -> None:
        """Write the head and perhaps the first bytes; raise `CallerGoneError`."""
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if self._is_closing():
            # The caller would send its next request to a process that ends.
            fields["Connection"] = "close"
            self._connection._disconnect_on_finish = True
        self.is_begun = True
        line = ResponseStartLine("HTTP/1.1", status, reason)
        await self._await(self._connection.write_headers(line, fields, data or None))

    async def write(self, data: bytes) -> None:
        """Write a piece and wait until it left; raise `CallerGoneError`."""
        await self._await(self._connection.write(data))

    def finish(self) -> None:
        """End the answer as complete."""
        self.is_over = True
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the answer can't look complete."""
        self.is_over = True
        self._connection.close()

    async def refuse(self, refusal: Refusal) -> None:
        """Write an answer of our own."""
        headers = [("Content-Type", "text/plain")]
        if refusal.retry_after is not None:
            headers.append(("Retry-After", f"{refusal.retry_after:.2f}"))
        body = refusal.reason.encode() + b"\n"
        headers.append(("Content-Length", str(len(body))))
        await self.begin(
            status=refusal.status,
            reason=REASONS.get(refusal.status, "Refused"),
            headers=tuple(headers),
            data=body,
        )
        self.finish()

    async def _await(self, written: Awaitable[None]) -> None:
        try:
            await written
        except StreamClosedError as error:
            raise CallerGoneError(str(error)) from error


def has_unread(stream: IOStream) -> bool:
    """Tell whether bytes wait in the stream, on their way from it, or before it."""
    if stream.closed():
        return False
    # A head that was read is out of the buffer before anyone has seen it: then
    # nobody reads from the stream for a moment.
    if stream._read_buffer_size or not stream.reading():
        return True
    try:
        data = stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return False
    return bool(data)


class Service(Protocol):
    """What serves requests."""

    async def serve(self, *, arrival: Arrival, reply: Reply) -> None:
        """Answer one request."""


Decode = Callable[..., Arrival]


class Ingress(HTTPServerConnectionDelegate):
    """Turn callers' messages into calls of a service."""

    def __init__(
        self, *, service: Service, decode: Decode, is_closing: Callable[[], bool]
    ) -> None:
        self._service = service
        self._decode = decode
        self._is_closing = is_closing
        self._connections: set[object] = set()
        self._idle: set[HTTPConnection] = set()
        self.open_requests = 0

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Begin to read a request."""
        if server_conn not in self._connections:
            self._connections.add(server_conn)
            set_probes(request_conn.stream.socket)
        self._idle.add(request_conn)
        return _Message(ingress=self, connection=request_conn)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection."""
        self._connections.discard(server_conn)

    def close_idle(self) -> None:
        """Close connections on which no request is under way or has come in.

        A busy process may not have read yet what its caller sent.  Closing
        then would cut a whole request, which its caller can't safely repeat.
        """
        for connection in tuple(self._idle):
            if not has_unread(connection.stream):
                connection.close()

    def _leave_idle(self, connection: HTTPConnection) -> None:
        self._idle.discard(connection)

    async def _serve(self, arrival: Arrival, reply: Reply) -> None:
        self.open_requests += 1
        try:
            await self._service.serve(arrival=arrival, reply=reply)
        except CallerGoneError:
            log.debug("ingress: caller of {} is gone", arrival.id)
        except asyncio.CancelledError:
            raise
        except Exception:
            # A fault of ours must not take the connection's other requests
            # along, nor leave this caller to wait for its time limit.
            log.exception("ingress: request {} failed", arrival.id)
            reply.abort()
        finally:
            self.open_requests -= 1


class _Message(HTTPMessageDelegate):
    """One request while it is read and served."""

    __slots__ = ("_arrival", "_chunks", "_connection", "_ingress", "_task")

    def __init__(self, *, ingress: Ingress, connection: HTTPConnection) -> None:
        self._ingress = ingress
        self._connection = connection
        self._arrival: Arrival | None = None
        self._chunks: list[bytes] = []
        self._task: asyncio.Task | None = None

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Decode the head."""
        self._ingress._leave_idle(self._connection)
        self._arrival = self._ingress._decode(
            method=start_line.method,
            target=start_line.path,
            pairs=headers.get_all(),
            now=asyncio.get_running_loop().time(),
        )

    def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the body."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Serve the request, now that it is whole."""
        self._arrival.body = b"".join(self._chunks)
        self._chunks.clear()
        reply = Reply(connection=self._connection, is_closing=self._ingress._is_closing)
        self._connection.set_close_callback(self._leave)
        self._task = asyncio.ensure_future(self._ingress._serve(self._arrival, reply))

    def on_connection_close(self) -> None:
        """Stop the work for a caller that left."""
        self._ingress._leave_idle(self._connection)
        self._leave()

    def _leave(self) -> None:
        if self._task is not None:
            self._task.cancel()
