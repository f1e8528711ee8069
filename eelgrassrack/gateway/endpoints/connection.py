"""HTTP/1.1 connections to endpoints, with one request at a time.

Common HTTP clients resend a request when a kept-alive connection breaks, which may
run it twice.  A connection here writes each byte once, so its user can tell from
whether anything was written if a request may have run.
"""

import asyncio
import fcntl
import math
import socket
import sys
import termios
from collections.abc import Callable

import h11
from tornado.iostream import IOStream, StreamClosedError

from ...errors import FormatError
from ...lingering import discard_unsent
from ...responsehead import MAX_HEAD_BYTES, MAX_INTERIM, check_response
from ...turnquota import TurnQuota
from ..errors import BrokenError, ConnectError, EndlessError, NoDescriptorError
from ..patience import wait_unless_late
from ..requests.messages import Data, End
from ..turns import BYTES_PER_TURN, PIECES_PER_TURN

READ_BYTES = 65_536

# Time without a TCP acknowledgement, and the keep-alive probes on an idle connection,
# after which an endpoint counts as unreachable.  A fault must be detected within
# three seconds, which leaves a margin for the retry.
ACK_TIMEOUT_MS = 2_000
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2

# Size of the number that the kernel gives for the bytes that it hasn't sent.
INT_BYTES = 4

# The status by which the HTTP library tells that a head or line is too long.
TOO_LONG = 431


class EndpointStream(IOStream):
    """A stream that notes at its close whether bytes of a request were on their way.

    `has_body` is set while it writes a request with a body: others take one packet.
    """

    has_body = False
    has_unsent = False

    def close_fd(self) -> None:
        """Close the socket; the stream does so as soon as the other side has."""
        if self.has_body:
            self.has_unsent = count_unsent(self.socket) > 0
        super().close_fd()


class Connection:
    """A connection to one endpoint, used for one request at a time.

    `active_at` is the loop time at which bytes last arrived or a request was sent,
    `probed_at` that at which its endpoint was last probed.
    `idle_until` is the loop time until which the pool may reuse the idle connection.
    `sent` and `received` count the bytes of the current request.  `is_kept` says
    that the connection is back in the pool.  `may_abandon` returns whether the
    current request may be abandoned for another endpoint.
    """

    __slots__ = (
        "_abandoned_for",
        "_has_ended",
        "_interim",
        "_machine",
        "_stream",
        "_turn",
        "_write_future",
        "active_at",
        "idle_until",
        "is_kept",
        "may_abandon",
        "probed_at",
        "received",
        "sent",
    )

    def __init__(self, *, stream: EndpointStream) -> None:
        self._stream = stream
        self._has_ended = False
        self._machine = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._write_future: asyncio.Future | None = None
        self._interim = 0
        self._turn = TurnQuota(most_pieces=PIECES_PER_TURN, most_bytes=BYTES_PER_TURN)
        self.idle_until = 0.0
        self.is_kept = False
        self.may_abandon: Callable[[], bool] = refuse_to_abandon
        self.active_at = 0.0
        self.probed_at = -math.inf
        self.sent = 0
        self.received = 0
        self._abandoned_for: BrokenError | None = None

    @property
    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._stream.closed()

    @property
    def is_unused(self) -> bool:
        """Return whether no request has been sent on the connection yet."""
        return not self.sent

    def close(self) -> None:
        """Close gracefully; for connections without a request in flight."""
        self._stream.set_close_callback(None)
        self._stream.close()

    def abort(self) -> None:
        """Reset the connection and discard the request in flight.

        During a network partition the kernel keeps the request's unsent bytes.
        After a graceful close it would still send them when the partition ends, and
        a request abandoned long ago would reach a draining endpoint or run a second
        time.  A reset discards them.
        """
        if not self._stream.closed():
            discard_unsent(self._stream.socket)
        self._stream.close()

    def send(
        self,
        *,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Begin to write a request; its answer may be read meanwhile.

        Raises `BrokenError` if the arguments don't make a valid request, or if the
        connection is closed.
        """
        self.active_at = asyncio.get_running_loop().time()
        pairs = [(_encode(name), _encode(value)) for name, value in headers]
        try:
            data = self._machine.send(
                h11.Request(method=method, target=target, headers=pairs)
            )
            if body:
                data += self._machine.send(h11.Data(data=body))
            data += self._machine.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise BrokenError(f"not a request: {error}") from error
        self._stream.has_body = bool(body)
        self.sent = len(data)
        self.received = 0
        self._interim = 0
        try:
            self._write_future = self._stream.write(data)
        except StreamClosedError as error:
            raise BrokenError("closed before the request was written") from error
        # A failed write shows up when the answer is read.  Fetching the exception
        # here keeps asyncio from logging it as never retrieved.
        self._write_future.add_done_callback(lambda done: done.exception())

    async def read(self) -> h11.Response | Data | End:
        """Return the next piece of the answer.

        Raises `BrokenError` if the connection ends or isn't valid HTTP, and
        `EndlessError` if a head or line of it, or what comes before it, is too long.
        """
        while True:
            try:
                event = self._machine.next_event()
            except h11.RemoteProtocolError as error:
                if error.error_status_hint == TOO_LONG:
                    raise EndlessError(f"not an answer: {error}") from error
                raise BrokenError(f"not an answer: {error}") from error
            except ValueError as error:
                raise BrokenError(f"not an answer: {error}") from error
            if self._turn.use(0):
                await asyncio.sleep(0)
            match event:
                case h11.NEED_DATA:
                    await self._receive()
                case h11.InformationalResponse():
                    _check_head(event)
                    self._count_interim()
                case h11.Response():
                    _check_head(event)
                    return event
                case h11.Data():
                    return Data(bytes(event.data))
                case h11.EndOfMessage():
                    self._check_end()
                    return End()
                case _:
                    raise BrokenError("closed before the answer")

    def _check_end(self) -> None:
        """Raise `BrokenError` for an answer that ends by a close too early.

        Nothing else tells that such an answer is complete, and an endpoint that closes
        before it has the request has broken down.
        """
        if self._has_ended and not self._is_written:
            raise BrokenError("closed while the request was being written")

    @property
    def _is_written(self) -> bool:
        """Return whether the endpoint's machine has the whole request."""
        written = self._write_future
        if written is None or not written.done() or written.exception() is not None:
            return False
        return not self._stream.has_unsent

    @property
    def is_writing(self) -> bool:
        """Return whether part of the current request still has to be written."""
        return self._write_future is not None and not self._write_future.done()

    @property
    def unwritten(self) -> int:
        """Return how many bytes of the current request still have to be written."""
        return len(self._stream._write_buffer or b"")

    async def wait_written(self, timeout: float) -> bool:
        """Wait until the request is written; return whether it is, within `timeout`."""
        await asyncio.wait({self._write_future}, timeout=timeout)
        return not self.is_writing and self._write_future.exception() is None

    def _count_interim(self) -> None:
        self._interim += 1
        if self._interim > MAX_INTERIM:
            raise EndlessError(f"more than {MAX_INTERIM} interim answers")

    def release(self) -> bool:
        """Prepare for the next request; return whether that is possible.

        A connection isn't used again if bytes follow the answer, since they belong
        to no request, or if the request is still being written after an early
        answer.
        """
        is_written = self._write_future is not None and self._write_future.done()
        if not is_written or self._stream.closed():
            return False
        if self._machine.trailing_data[0]:
            return False
        if self._machine.their_state is not h11.DONE:
            return False
        if self._machine.our_state is not h11.DONE:
            return False
        self._machine.start_next_cycle()
        return True

    def watch_idle(self, note_closed: Callable[[], None]) -> None:
        """Call `note_closed` when the endpoint closes the idle connection.

        Without a callback tornado wouldn't notice that.
        """
        self._stream.set_close_callback(note_closed)

    def end_idle(self) -> None:
        """Prepare an idle connection for a request: readers notice that it closes."""
        self._stream.set_close_callback(None)

    @property
    def has_stray_bytes(self) -> bool:
        """Return whether bytes arrived while no request was in flight."""
        # A late answer would be mistaken for that of the next request.
        return self._stream._read_buffer_size > 0

    def abandon(self, reason: BrokenError) -> None:
        """Abort because the endpoint seems to have failed.

        Readers get `reason`.  If this looked like the endpoint's own close, an
        answer without a length would seem complete.
        """
        self._abandoned_for = reason
        self.abort()

    async def _receive(self) -> None:
        try:
            data = await self._stream.read_bytes(READ_BYTES, partial=True)
        except StreamClosedError as error:
            if self._abandoned_for is not None:
                raise self._abandoned_for from error
            if self._stream.error is not None:
                raise BrokenError(f"reset: {self._stream.error}") from error
            self._has_ended = True
            data = b""
        self.active_at = asyncio.get_running_loop().time()
        self.received += len(data)
        if self._turn.use(len(data)):
            await asyncio.sleep(0)
        self._machine.receive_data(data)


async def open_connection(*, address: tuple[str, int], timeout: float) -> Connection:
    """Connect within `timeout` seconds, in which this process's own delays don't count.

    Raises `ConnectError` on failure and `NoDescriptorError` before it tries.
    """
    try:
        stream = EndpointStream(_make_socket())
    except OSError as error:
        raise NoDescriptorError(str(error)) from error
    try:
        await wait_unless_late(stream.connect(address), timeout)
    except Exception as error:
        stream.close()
        raise ConnectError(
            f"{address[0]}:{address[1]}: {error}", is_refused=_is_refused(error)
        ) from error
    except BaseException:
        stream.close()
        raise
    return Connection(stream=stream)


def _is_refused(error: Exception) -> bool:
    cause = error.real_error if isinstance(error, StreamClosedError) else error
    return isinstance(cause, ConnectionRefusedError)


def _encode(text: str) -> bytes:
    """Return a header's text as bytes: those that a caller sent, else UTF-8."""
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        return text.encode()


def _check_head(event: h11.Response | h11.InformationalResponse) -> None:
    """Raise `BrokenError` for a head that isn't one of HTTP/1."""
    try:
        check_response(event)
    except FormatError as error:
        raise BrokenError(str(error)) from error


def count_unsent(sock: socket.socket) -> int:
    """Return how many bytes written to a socket the other machine hasn't received.

    An end of the stream that arrives acknowledges all that was received before it.
    """
    try:
        data = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(INT_BYTES))
    except OSError:
        return 0
    return int.from_bytes(data, sys.byteorder, signed=True)


def _make_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    enable_keepalive(sock)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS)
    return sock


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel detect a peer that has fallen silent while nothing is sent to it.

    A machine that loses power or a network partition sends nothing.  Without this a
    caller would wait its whole time limit for an answer that can't arrive.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def refuse_to_abandon() -> bool:
    """Return that a request may not be abandoned."""
    return False
