"""One request to an endpoint over one connection, and its answer.

An HTTP client that sends a request again by itself when a kept connection
breaks would run a request twice.  Here each byte is written once, and what is
known of the request follows from whether anything was written at all.
"""

import asyncio
import socket
import struct

import h11
from tornado.iostream import IOStream, StreamClosedError

from .errors import BrokenError, ConnectError
from .messages import Data, End

READ_BYTES = 65_536

# A silent peer is noticed after this long without an acknowledgement: three
# seconds are what a fault may take to be noticed, less a margin for the retry.
SILENCE_MS = 2_000
PROBE_SECONDS = 1
PROBES = 2

# Not to linger at a close: the kernel discards what it holds, and resets.
NO_LINGER = struct.pack("ii", 1, 0)

# An answer's head takes a few hundred bytes; more than this is none.
MOST_HEAD_BYTES = 65_536


class Connection:
    """A connection to one endpoint, used for one request at a time.

    `active_at` is when bytes last came on it, or when a request was sent;
    `sent` and `received` are the bytes of the request under way.
    `is_kept` says that it is with the pool again, `is_repeatable` that the
    request under way may run elsewhere too.
    """

    __slots__ = (
        "_is_given_up",
        "_machine",
        "_stream",
        "_written",
        "active_at",
        "idle_until",
        "is_kept",
        "is_repeatable",
        "received",
        "sent",
    )

    def __init__(self, *, stream: IOStream) -> None:
        self._stream = stream
        self._machine = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MOST_HEAD_BYTES
        )
        self._written: asyncio.Future | None = None
        self.idle_until = 0.0
        self.is_kept = False
        self.is_repeatable = False
        self.active_at = 0.0
        self.sent = 0
        self.received = 0
        self._is_given_up = False

    @property
    def is_closed(self) -> bool:
        """Tell whether it can't be used any more."""
        return self._stream.closed()

    @property
    def is_unused(self) -> bool:
        """Tell whether no request was sent on it yet."""
        return not self.sent

    def close(self) -> None:
        """Close in order; for connections without a request under way."""
        self._stream.close()

    def abort(self) -> None:
        """Reset the connection, and with it the request under way.

        On a path that is cut the kernel keeps the request's bytes, and after an
        orderly close would still send them when the path is whole again: a
        request given up long ago would reach an endpoint that is leaving, or
        run a second time.  A reset discards them.
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
        """Begin to write a request; the answer may be read meanwhile.

        Raise `BrokenError` if it can't be a request.
        """
        self.active_at = asyncio.get_running_loop().time()
        try:
            data = self._machine.send(
                h11.Request(method=method, target=target, headers=headers)
            )
            if body:
                data += self._machine.send(h11.Data(data=body))
            data += self._machine.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise BrokenError(f"not a request: {error}") from error
        self.sent = len(data)
        self.received = 0
        try:
            self._written = self._stream.write(data)
        except StreamClosedError as error:
            raise BrokenError("closed before the request was written") from error
        # Its outcome shows in what is read; without this an unread error
        # would be logged as a fault of the program.
        self._written.add_done_callback(lambda done: done.exception())

    async def read(self) -> h11.Response | Data | End:
        """Return the next piece of the answer; raise `BrokenError`."""
        while True:
            try:
                event = self._machine.next_event()
            except h11.RemoteProtocolError as error:
                raise BrokenError(f"not an answer: {error}") from error
            match event:
                case h11.NEED_DATA:
                    await self._receive()
                case h11.InformationalResponse():
                    continue
                case h11.Response():
                    return event
                case h11.Data():
                    return Data(bytes(event.data))
                case h11.EndOfMessage():
                    return End()
                case _:
                    raise BrokenError("closed before the answer")

    def release(self) -> bool:
        """Make ready for the next request; return whether that is possible.

        Bytes after the answer belong to no request, so a connection that has
        any is not used again.  The same holds while the request is still
        being written after an early answer.
        """
        is_written = self._written is not None and self._written.done()
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

    def watch_idle(self) -> None:
        """Have the loop notice when the endpoint closes the idle connection."""
        self._stream.set_close_callback(_ignore)

    @property
    def has_stray_bytes(self) -> bool:
        """Tell whether bytes came while no request was under way."""
        # An answer that comes late would be taken for the next request's.
        return self._stream._read_buffer_size > 0

    def give_up(self) -> None:
        """Close because the endpoint is out of reach.

        An answer without a length would look complete if this counted as the
        endpoint's own close.
        """
        self._is_given_up = True
        self.abort()

    async def _receive(self) -> None:
        try:
            data = await self._stream.read_bytes(READ_BYTES, partial=True)
        except StreamClosedError as error:
            if self._is_given_up:
                raise BrokenError("the endpoint is out of reach") from error
            if self._stream.error is not None:
                raise BrokenError(f"reset: {self._stream.error}") from error
            data = b""
        self.active_at = asyncio.get_running_loop().time()
        self.received += len(data)
        self._machine.receive_data(data)


async def open_connection(*, address: tuple[str, int], timeout: float) -> Connection:
    """Connect within `timeout` seconds; raise `ConnectError`."""
    stream = IOStream(_make_socket())
    try:
        async with asyncio.timeout(timeout):
            await stream.connect(address)
    except (StreamClosedError, OSError, TimeoutError) as error:
        stream.close()
        raise ConnectError(f"{address[0]}:{address[1]}: {error}") from error
    except BaseException:
        stream.close()
        raise
    return Connection(stream=stream)


def _make_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    enable_keepalive(sock)
    return sock


def enable_keepalive(sock: socket.socket) -> None:
    """Have the kernel notice a peer that has fallen silent.

    A machine without power and a path that is cut answer nothing: without
    this a caller waits for its whole time limit for an answer that can't come.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)


def discard_unsent(sock: socket.socket) -> None:
    """Have the next close discard what isn't sent yet, and reset the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def _ignore() -> None:
    """Do nothing: a close callback is what makes tornado listen."""
