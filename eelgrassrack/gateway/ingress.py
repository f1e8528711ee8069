"""Callers' connections: requests are read, answers are written."""

import asyncio
import itertools
import socket
import weakref
from collections.abc import Callable
from typing import Protocol

import logbook
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
)
from tornado.iostream import IOStream

from ..lingering import REQUEST_TIMEOUT_ANSWER, LingeringConnections
from .configuration import Limits
from .connection import enable_keepalive
from .errors import CallerGoneError
from .messages import Arrival, Refusal
from .reply import Reply

log = logbook.Logger("ingress")

# A caller that is told that its body is too long may go on sending: its
# connection is read on for so much, since the answer would be lost to the
# reset that closing with unread bytes brings.
DRAIN_BYTES = 4_194_304

# No body is longer for the HTTP library, which would answer by itself.
ANY_BYTES = 1 << 60

# A caller that has connected mostly sends its first request by then, also if a lost
# packet is sent again; one that is slower is told to ask elsewhere.
FIRST_REQUEST_SECONDS = 0.3

# The library reads heads up to this many times the limit, so that most heads
# that are too long get an answer; it closes at once on those beyond.
READ_FACTOR = 4

# Between looks at what is still open during a stop.
STOP_LOOK_SECONDS = 0.05
END_LOOK_SECONDS = 0.01

# Looks that the end of a stop takes at least: a process that was held up until
# then has no time left, and still has to write the answers that are due.
LEAST_LOOKS = 20

LONG_HEAD = Refusal(status=431, reason="headers are too long")
LONG_BODY = Refusal(status=413, reason="body is too long")


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


class Handler(Protocol):
    """What serves requests."""

    async def serve(self, *, arrival: Arrival, reply: Reply) -> None:
        """Answer one request."""

    async def refuse(self, arrival: Arrival, reply: Reply, refusal: Refusal) -> None:
        """Answer one request with a refusal."""

    def make_stopping_refusal(self) -> Refusal:
        """Return what callers are told that come too late in a stop."""


class Pause:
    """A connection on which no request is under way.

    `since` is the loop's time at which it began, `head_since` that at which
    the first bytes of a head were seen.  `is_first` says that no request has
    come on the connection yet.
    """

    __slots__ = ("head_since", "is_first", "since")

    def __init__(self, *, since: float, is_first: bool) -> None:
        self.since = since
        self.is_first = is_first
        self.head_since: float | None = None

    def awaits_first(self, now: float) -> bool:
        """Tell whether the first request is most likely on its way."""
        return self.is_first and now < self.since + FIRST_REQUEST_SECONDS


Decode = Callable[..., Arrival]


class Ingress(HTTPServerConnectionDelegate):
    """Turn callers' messages into calls of a service."""

    def __init__(
        self,
        *,
        handler: Handler,
        decode: Decode,
        is_closing: Callable[[], bool],
        find_limits: Callable[[], Limits],
    ) -> None:
        self._handler = handler
        self._decode = decode
        self._is_closing = is_closing
        self._find_limits = find_limits
        self._loop = asyncio.get_running_loop()
        self._known: weakref.WeakSet[object] = weakref.WeakSet()
        self._idle: dict[HTTPConnection, Pause] = {}
        self._lingering = LingeringConnections()
        self._reading: set[_Message] = set()
        self._serving: set[asyncio.Task] = set()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Begin to read a request."""
        is_first = server_conn not in self._known
        if is_first:
            self._known.add(server_conn)
            enable_keepalive(request_conn.stream.socket)
        self._idle[request_conn] = Pause(since=self._loop.time(), is_first=is_first)
        limits = self._find_limits()
        request_conn.params.max_header_size = limits.header_bytes * READ_FACTOR
        request_conn.set_max_body_size(ANY_BYTES)
        return _Message(ingress=self, connection=request_conn)

    @property
    def idle_connections(self) -> int:
        """Return on how many connections no request is under way."""
        return len(self._idle)

    @property
    def open_requests(self) -> int:
        """Return how many requests are under way, those being read among them."""
        return len(self._reading) + len(self._serving)

    @property
    def is_occupied(self) -> bool:
        """Tell whether a caller has a request here, or is about to send one.

        A request may lie unread in the kernel, or its head in the stream, while
        none is under way.  A stop that took that for nothing left to do would cut
        it, and a caller that may not repeat it couldn't know whether it ran.
        """
        return bool(self.open_requests) or any(
            self._awaits_request(connection, pause)
            for connection, pause in self._idle.items()
        )

    def _awaits_request(self, connection: HTTPConnection, pause: Pause) -> bool:
        """Tell whether a request has come on an idle connection, or is about to."""
        return pause.awaits_first(self._loop.time()) or has_unread(connection.stream)

    def close_idle(self) -> None:
        """Dismiss callers of which no request is under way or has come in.

        A busy process may not have read yet what its caller sent, which is served.
        So is what comes soon from a caller that has just connected; later it is
        told that nothing has run.
        """
        for connection, pause in tuple(self._idle.items()):
            if not self._awaits_request(connection, pause):
                self._dismiss(connection)

    def _dismiss(
        self, connection: HTTPConnection, answer: bytes = REQUEST_TIMEOUT_ANSWER
    ) -> None:
        """End a connection; nothing that comes on it any more is run."""
        self._leave_idle(connection)
        self._lingering.half_close(connection.stream, answer)
        connection.close()

    async def wait_answered(self, until: float) -> None:
        """Wait until no caller has a request here, or a time of the loop.

        Idle connections are closed meanwhile.
        """
        self.close_idle()
        while self.is_occupied and self._loop.time() < until:
            await asyncio.sleep(STOP_LOOK_SECONDS)
            self.close_idle()

    async def end(self, until: float) -> None:
        """Give all callers their last answers, and end their connections.

        That is over at a time of the loop, or after a few looks if that is later.
        """
        for message in tuple(self._reading):
            message.end()
        looks = itertools.count(1)
        while self._idle or self._serving:
            self._dismiss_all()
            if next(looks) > LEAST_LOOKS and self._loop.time() >= until:
                break
            await asyncio.sleep(END_LOOK_SECONDS)
        for message in tuple(self._reading):
            self._dismiss(message.connection, b"")
        await self._lingering.wait_closed(until)

    def _dismiss_all(self) -> None:
        for connection in tuple(self._idle):
            # A head that was read and that nobody has seen yet is a request.
            if connection.stream.closed() or connection.stream.reading():
                self._dismiss(connection)

    def close_overdue(self) -> None:
        """Close what was idle for too long, or takes too long over a head.

        What its caller closed is forgotten.
        """
        now = self._loop.time()
        limits = self._find_limits()
        for connection, pause in tuple(self._idle.items()):
            stream = connection.stream
            if stream.closed():
                # The library tells nobody that an idle connection has ended;
                # kept, each caller that comes and goes would cost memory.
                self._leave_idle(connection)
            elif stream._read_buffer_size and stream.reading():
                self._check_head(connection, pause, now, limits)
            elif now > pause.since + limits.idle_seconds and not has_unread(stream):
                self._dismiss(connection)

    def _check_head(
        self, connection: HTTPConnection, pause: Pause, now: float, limits: Limits
    ) -> None:
        if pause.head_since is None:
            pause.head_since = now
        if now > pause.head_since + limits.header_seconds:
            log.info("ingress: a head took over {:.1f} s", limits.header_seconds)
            self._dismiss(connection)

    def _leave_idle(self, connection: HTTPConnection) -> None:
        self._idle.pop(connection, None)

    async def _serve(
        self, arrival: Arrival, reply: Reply, refusal: Refusal | None = None
    ) -> None:
        try:
            if refusal is not None:
                await self._handler.refuse(arrival, reply, refusal)
                return
            await self._handler.serve(arrival=arrival, reply=reply)
        except CallerGoneError:
            log.info("ingress: the caller of {request} is gone", request=arrival.id)
        except asyncio.CancelledError:
            raise
        except Exception:
            # A fault of ours must not take the connection's other requests
            # along, nor leave this caller to wait for its time limit.
            log.exception("ingress: request {} failed", arrival.id)
            reply.abort()


class _Message(HTTPMessageDelegate):
    """One request while it is read and served."""

    __slots__ = (
        "_arrival",
        "_chunks",
        "_ingress",
        "_limits",
        "_refused",
        "_size",
        "_task",
        "connection",
    )

    def __init__(self, *, ingress: Ingress, connection: HTTPConnection) -> None:
        self._ingress = ingress
        self.connection = connection
        self._arrival: Arrival | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._refused: Reply | None = None
        self._limits: Limits | None = None
        self._task: asyncio.Task | None = None

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Decode the head."""
        self._ingress._leave_idle(self.connection)
        self._ingress._reading.add(self)
        # What is in force now: the connection may have been idle for long.
        self._limits = self._ingress._find_limits()
        self._arrival = self._ingress._decode(
            method=start_line.method,
            target=start_line.path,
            pairs=headers.get_all(),
            now=asyncio.get_running_loop().time(),
        )
        if _find_size(headers) > self._limits.header_bytes:
            self._refuse(LONG_HEAD)
            return
        declared = headers.get("Content-Length", "")
        if declared.isdecimal() and int(declared) > self._limits.body_bytes:
            self._refuse(LONG_BODY)

    def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the body, unless the request is refused already."""
        self._size += len(chunk)
        if self._refused is not None:
            if self._size > self._limits.body_bytes + DRAIN_BYTES:
                self.connection.close()
            return
        if self._size > self._limits.body_bytes:
            self._refuse(LONG_BODY)
            return
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Serve the request, now that it is whole."""
        self._ingress._reading.discard(self)
        self.connection.set_close_callback(self._leave)
        if self._refused is not None:
            self._refused.is_read = True
            if self._refused.is_over:
                self._refused.finish()
            return
        self._arrival.body = b"".join(self._chunks)
        self._chunks.clear()
        self._start(self._make_reply())

    def end(self) -> None:
        """Answer now, as the rest of the request won't be waited for."""
        if self._refused is None:
            self._refuse(self._ingress._handler.make_stopping_refusal())

    def _refuse(self, refusal: Refusal) -> None:
        """Answer before the request is whole, and read on without keeping it."""
        self._chunks.clear()
        self._refused = self._make_reply()
        self._refused.is_read = False
        self._start(self._refused, refusal)

    def _make_reply(self) -> Reply:
        return Reply(connection=self.connection, is_closing=self._ingress._is_closing)

    def _start(self, reply: Reply, refusal: Refusal | None = None) -> None:
        serving = self._ingress._serve(self._arrival, reply, refusal)
        self._task = asyncio.ensure_future(serving)
        self._ingress._serving.add(self._task)
        self._task.add_done_callback(self._ingress._serving.discard)

    def on_connection_close(self) -> None:
        """Stop the work for a caller that left."""
        self._ingress._leave_idle(self.connection)
        self._ingress._reading.discard(self)
        self._leave()

    def _leave(self) -> None:
        if self._task is not None:
            self._task.cancel()


def _find_size(headers: HTTPHeaders) -> int:
    """Return the bytes of all headers, with a colon, a space and a line's end."""
    return sum(len(name) + len(value) + 4 for name, value in headers.get_all())
