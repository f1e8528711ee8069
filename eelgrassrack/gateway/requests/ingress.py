"""The HTTP server for callers: reads requests and hands them to the handler."""

import asyncio
import itertools
import math
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

from ...bodysize import BodyFaults, IncompleteBodyError, check_size
from ...callers.connection import UNLIMITED_BYTES
from ...counts import read_count
from ...dismissal import REQUEST_TIMEOUT_ANSWER
from ...lingering import LingeringConnections
from ..endpoints.connection import enable_keepalive
from ..errors import CallerGoneError
from ..store.configuration import Limits
from .messages import Arrival, Refusal
from .reply import Reply
from .requestlog import log_unread

log = logbook.Logger("ingress")

# After refusing a body as too long, the server reads and discards up to this much more
# of it.  Closing the connection with unread bytes would reset it, and the caller would
# not get the refusal.
DRAIN_BYTES = 4_194_304

# A new connection usually carries its first request by then, even if a packet is lost
# and retransmitted.  During a stop, slower callers are sent to another gateway.
FIRST_REQUEST_SECONDS = 0.3

# The HTTP library reads headers up to this many times the limit, so that callers get a
# refusal for most headers that are too long.  Beyond that it closes the connection.
HEADER_READ_FACTOR = 4

# How often a stop checks which connections are still open.
STOP_POLL_SECONDS = 0.05
END_POLL_SECONDS = 0.01

# The end of a stop checks at least this often: a process that was suspended until its
# deadline still has to write the responses that are due.
MIN_END_POLLS = 20

HEADERS_TOO_LONG = Refusal(status=431, reason="headers are too long")
BODY_TOO_LONG = Refusal(status=413, reason="body is too long")

# The request's own time is over, and nothing ran.
BODY_TOO_SLOW = Refusal(status=503, reason="body took too long", retry_after=1.0)

# A part of the body was read and isn't there any more, so nothing ran.
BODY_INCOMPLETE = Refusal(status=503, reason="body wasn't kept", retry_after=1.0)

# The request may have run.
FAILED = Refusal(status=502, reason="the gateway failed")

# How long a caller may go on to send a body that is refused.
REFUSED_SECONDS = 10.0


def has_unread(stream: IOStream) -> bool:
    """Return whether a connection holds bytes that no request has consumed yet.

    They may be in the stream's buffer, between the buffer and the HTTP parser, or
    still in the kernel.
    """
    if stream.closed():
        return False
    # Headers that were read leave the buffer shortly before the parser handles them.
    # Meanwhile nothing reads from the stream.
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
    """What handles the requests that the server reads."""

    async def serve(self, *, arrival: Arrival, reply: Reply) -> None:
        """Handle one request; raise `CallerGoneError`."""

    async def refuse(self, arrival: Arrival, reply: Reply, refusal: Refusal) -> None:
        """Send a refusal; raise `CallerGoneError`."""

    def make_stopping_refusal(self) -> Refusal:
        """Return the refusal for requests that arrive too late during a stop."""

    def judge_head(self, arrival: Arrival) -> Refusal | float:
        """Return the refusal of a request that its head alone decides.

        Otherwise return when the request's time is over, in the event loop's time.
        """


class IdlePeriod:
    """How long a connection has had no request in flight.

    `since` is the event loop's time at which the period started, `head_since` the
    time at which the first bytes of a request's headers were seen.  `is_first` is
    set if no request has arrived on the connection yet.
    """

    __slots__ = ("head_since", "is_first", "since")

    def __init__(self, *, since: float, is_first: bool) -> None:
        self.since = since
        self.is_first = is_first
        self.head_since: float | None = None

    def expects_first_request(self, now: float) -> bool:
        """Return whether the first request is probably on its way."""
        return self.is_first and now < self.since + FIRST_REQUEST_SECONDS


Decode = Callable[..., Arrival]


class Ingress(HTTPServerConnectionDelegate):
    """Read callers' requests and pass them to a handler.

    `decode` turns a request's headers into an `Arrival`, `is_closing` returns whether
    the process is stopping, and `find_limits` what callers may send now.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        decode: Decode,
        is_closing: Callable[[], bool],
        find_limits: Callable[[], Limits],
        lingering: LingeringConnections,
    ) -> None:
        self._handler = handler
        self._decode = decode
        self._is_closing = is_closing
        self._find_limits = find_limits
        self._loop = asyncio.get_running_loop()
        self._seen_connections: weakref.WeakSet[object] = weakref.WeakSet()
        self._idle: dict[HTTPConnection, IdlePeriod] = {}
        self._lingering = lingering
        self._reading: set[_Message] = set()
        self._serving: set[asyncio.Task] = set()
        self.body_faults = BodyFaults()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Start to read a request."""
        is_first = server_conn not in self._seen_connections
        if is_first:
            self._seen_connections.add(server_conn)
            enable_keepalive(request_conn.stream.socket)
        self._idle[request_conn] = IdlePeriod(
            since=self._loop.time(), is_first=is_first
        )
        limits = self._find_limits()
        request_conn.params.max_header_size = limits.header_bytes * HEADER_READ_FACTOR
        request_conn.most_header_bytes = limits.header_bytes
        request_conn.set_max_body_size(UNLIMITED_BYTES)
        return _Message(ingress=self, connection=request_conn)

    @property
    def idle_connections(self) -> int:
        """Return the number of connections without a request in flight."""
        return len(self._idle)

    @property
    def open_requests(self) -> int:
        """Return the number of requests that are being read or handled."""
        return len(self._reading) + len(self._serving)

    @property
    def has_pending_requests(self) -> bool:
        """Return whether a request is in flight, unread or about to arrive.

        A request may be unread in the kernel or in the stream's buffer while none
        is in flight.  If a stop ignored it, the connection would be cut, and a
        caller that may not repeat the request would not know whether it ran.
        """
        return bool(self.open_requests) or any(
            self._expects_request(connection, period)
            for connection, period in self._idle.items()
        )

    def _expects_request(self, connection: HTTPConnection, period: IdlePeriod) -> bool:
        """Return whether an idle connection has an unread request or expects one."""
        return period.expects_first_request(self._loop.time()) or has_unread(
            connection.stream
        )

    def close_idle(self) -> None:
        """Close connections on which no request is in flight, unread or expected.

        Requests that a busy process has not read yet are still handled, and so is
        the first request of a caller that has just connected.  Callers that send
        requests later are told that these did not run.
        """
        for connection, period in tuple(self._idle.items()):
            if not self._expects_request(connection, period):
                self._end_connection(connection)

    def _end_connection(
        self, connection: HTTPConnection, answer: bytes = REQUEST_TIMEOUT_ANSWER
    ) -> None:
        """Send a last response and close; requests that arrive later do not run."""
        self._mark_active(connection)
        self._lingering.half_close(connection.stream, answer)
        connection.close()

    async def wait_answered(self, until: float) -> None:
        """Wait until no requests are pending, or until a time of the event loop.

        Idle connections are closed in the meantime.
        """
        self.close_idle()
        while self.has_pending_requests and self._loop.time() < until:
            await asyncio.sleep(STOP_POLL_SECONDS)
            self.close_idle()

    async def end(self, until: float) -> None:
        """Answer all remaining requests and close their connections.

        This ends at a time of the event loop, or after `MIN_END_POLLS` checks if that
        is later.
        """
        for polls in itertools.count(1):
            self._end_reading()
            if not self._idle and not self._serving:
                break
            if polls > MIN_END_POLLS and self._loop.time() >= until:
                break
            self._end_idle()
            await asyncio.sleep(END_POLL_SECONDS)
        for message in tuple(self._reading):
            self._end_connection(message.connection, b"")
        await self._lingering.wait_closed(until)

    def make_room(self) -> None:
        """Answer all callers whose requests haven't been read to their ends."""
        self._end_reading()
        self._end_idle()

    def _end_reading(self) -> None:
        for message in tuple(self._reading):
            message.end()

    def _end_idle(self) -> None:
        for connection in tuple(self._idle):
            # If nothing reads from a stream, its headers are already with the parser.
            if connection.stream.closed() or connection.stream.reading():
                self._end_connection(connection)

    def close_overdue(self) -> None:
        """Close connections that are idle for too long or send headers too slowly.

        Connections that their callers closed are removed.
        """
        now = self._loop.time()
        limits = self._find_limits()
        for connection, period in tuple(self._idle.items()):
            stream = connection.stream
            if stream.closed():
                # The HTTP library does not report that an idle connection closed.
                # Keeping them would leak memory for each caller that leaves.
                self._mark_active(connection)
            elif stream._read_buffer_size and stream.reading():
                self._check_header_timeout(connection, period, now, limits)
            elif now > period.since + limits.idle_seconds and not has_unread(stream):
                self._end_connection(connection)
        for message in tuple(self._reading):
            message.check_deadline(now)

    def _check_header_timeout(
        self, connection: HTTPConnection, period: IdlePeriod, now: float, limits: Limits
    ) -> None:
        if period.head_since is None:
            period.head_since = now
        if now > period.head_since + limits.header_seconds:
            log.info(
                "ingress: headers took longer than {:.1f} s", limits.header_seconds
            )
            self._end_connection(connection)

    def _mark_active(self, connection: HTTPConnection) -> None:
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
            log.info(
                "ingress: the caller of {request} closed its connection",
                request=arrival.id,
            )
        except asyncio.CancelledError:
            raise
        except Exception:
            # A bug in the gateway must not affect the connection's other requests,
            # nor leave this caller waiting until its timeout.
            log.exception("ingress: request {} failed", arrival.id)
            await self._answer_failure(arrival, reply)

    async def _answer_failure(self, arrival: Arrival, reply: Reply) -> None:
        """Answer a request that failed, or close a response that has begun."""
        if not reply.is_started:
            try:
                await self._handler.refuse(arrival, reply, FAILED)
                return
            except Exception as error:
                log.info("ingress: no answer to {}: {}", arrival.id, error)
        reply.abort()


class _Message(HTTPMessageDelegate):
    """One request while it is read and handled."""

    __slots__ = (
        "_arrival",
        "_deadline",
        "_ingress",
        "_limits",
        "_early_reply",
        "_task",
        "connection",
    )

    def __init__(self, *, ingress: Ingress, connection: HTTPConnection) -> None:
        self._ingress = ingress
        self.connection = connection
        self._arrival: Arrival | None = None
        self._deadline = math.inf
        self._early_reply: Reply | None = None
        self._limits: Limits | None = None
        self._task: asyncio.Task | None = None

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Decode the headers, and refuse a request that is declared too long."""
        self._ingress._mark_active(self.connection)
        # The limits may have changed while the connection was idle.
        self._limits = self._ingress._find_limits()
        self._arrival = self._ingress._decode(
            method=start_line.method,
            target=start_line.path,
            pairs=headers.get_all(),
            now=asyncio.get_running_loop().time(),
        )
        self._ingress._reading.add(self)
        refusal = self._find_refusal(headers)
        if refusal is not None:
            self._refuse(refusal)

    def _find_refusal(self, headers: HTTPHeaders) -> Refusal | None:
        """Return the refusal of a request that its head alone decides."""
        is_too_long = self.connection.is_head_too_long
        if is_too_long or _count_header_bytes(headers) > self._limits.header_bytes:
            return HEADERS_TOO_LONG
        declared = headers.get("Content-Length", "")
        length = read_count(declared)
        if length is None:
            length = math.inf if declared.isdecimal() else 0
        if length > self._limits.body_bytes:
            return BODY_TOO_LONG
        if not length and "Transfer-Encoding" not in headers:
            # A request without a body is refused when it is served, which keeps its
            # connection open.
            return None
        verdict = self._ingress._handler.judge_head(self._arrival)
        if isinstance(verdict, Refusal):
            return verdict
        self._deadline = verdict
        return None

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body, or discard it if the request is already refused."""
        self._arrival.body_size += len(chunk)
        if self._early_reply is None:
            self._keep(chunk)
        elif self._arrival.body_size > self._limits.body_bytes + DRAIN_BYTES:
            self.connection.close()

    def _keep(self, chunk: bytes) -> None:
        if self._arrival.body_size > self._limits.body_bytes:
            self._refuse(BODY_TOO_LONG)
        else:
            self.connection.stream.keep(chunk)

    def check_deadline(self, now: float) -> None:
        """Refuse a request whose time is over, and end one that was refused before."""
        if now <= self._deadline:
            return
        if self._early_reply is None:
            self._refuse(BODY_TOO_SLOW)
        else:
            self.connection.close()

    def finish(self) -> None:
        """Handle the request after its body has been read."""
        self._ingress._reading.discard(self)
        self.connection.set_close_callback(self._cancel)
        if self._early_reply is not None:
            self._early_reply.is_request_read = True
            if self._early_reply.is_finished:
                self._early_reply.finish()
            return
        try:
            body = self.connection.stream.take_body()
            check_size(body, size=self._arrival.body_size)
        except IncompleteBodyError as error:
            now = asyncio.get_running_loop().time()
            self._ingress.body_faults.note(error, request=self._arrival.id, now=now)
            self._refuse(BODY_INCOMPLETE)
            self._early_reply.is_request_read = True
            return
        self._arrival.body = body
        if self._arrival.tokens_in:
            self.connection.stream.expect_long_work()
        self._start(self._make_reply())

    def end(self) -> None:
        """Refuse the request now instead of waiting for the rest of it."""
        if self._early_reply is None:
            self._refuse(self._ingress._handler.make_stopping_refusal())

    def _refuse(self, refusal: Refusal) -> None:
        """Send a refusal before the body is complete, and discard the rest of it."""
        self.connection.stream.note_refused()
        self._deadline = asyncio.get_running_loop().time() + REFUSED_SECONDS
        self._early_reply = self._make_reply()
        self._early_reply.is_request_read = False
        self._start(self._early_reply, refusal)

    def _make_reply(self) -> Reply:
        return Reply(connection=self.connection, is_closing=self._ingress._is_closing)

    def _start(self, reply: Reply, refusal: Refusal | None = None) -> None:
        serving = self._ingress._serve(self._arrival, reply, refusal)
        self._task = asyncio.ensure_future(serving)
        self._ingress._serving.add(self._task)
        self._task.add_done_callback(self._ingress._serving.discard)

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that closed its connection."""
        self._ingress._mark_active(self.connection)
        if self in self._ingress._reading and self._early_reply is None:
            log_unread(self._arrival)
        self._ingress._reading.discard(self)
        self._cancel()

    def _cancel(self) -> None:
        if self._task is not None:
            self._task.cancel()


def _count_header_bytes(headers: HTTPHeaders) -> int:
    """Return the size of all headers with separators (`: `) and line ends."""
    return sum(len(name) + len(value) + 4 for name, value in headers.get_all())
