"""Lingering close of connections on which a request may still arrive.

If a process closes such a connection completely, the kernel resets it when the
request arrives: the caller gets no answer and can't know whether the request ran.
So the process sends a last answer, closes the connection for writing only, and
reads and discards incoming data until the caller closes it too.
"""

import asyncio
import contextlib
import math
import socket
import struct
from collections.abc import Coroutine

import logbook
from tornado.iostream import IOStream

log = logbook.Logger("lingering")

# How long to wait for further data.  It is limited because some callers notice a
# closed connection only when they next use it.
IDLE_SECONDS = 1.0

# Limits the whole close for callers that never stop sending.
MAX_LINGER_SECONDS = 30.0

# How often, and how many times, to check whether the stream has been closed.
POLL_SECONDS = 0.01
MAX_POLLS = 100

READ_BYTES = 16_384

# The values of SO_LINGER for which a close discards unsent bytes and sends a reset, and
# for which the kernel still sends them.
NO_LINGER = struct.pack("ii", 1, 0)
SENDS_UNSENT = struct.pack("ii", 0, 0)

# What arrives on lingering connections is discarded.
_discarded = bytearray(READ_BYTES)

# While so many connections linger, callers that are refused or give way to others are
# closed at once.
MAX_CROWDED = 256

# Limits in bytes what is read from a caller that gave way to others.
MAX_CROWDED_BYTES = 4_194_304


class LingeringConnections:
    """Connections that are closed for writing and wait for their callers to close."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def half_close(
        self, stream: IOStream, answer: bytes = b"", *, most: float = math.inf
    ) -> None:
        """Send a last answer and close the connection for writing.

        At most `most` bytes are still read from it.
        The stream itself is closed immediately, so that no other code reads
        from it.  A connection whose close resets it is only closed.
        """
        if stream.closed() or is_reset_by_close(stream.socket):
            stream.close()
            return
        if stream.writing():
            # In the midst of another answer it would be taken for a part of that.
            answer = b""
        sock = _copy_socket(stream)
        if sock is None:
            _send_last(stream, answer)
        stream.close()
        if sock is not None:
            self._start_task(_linger(sock, answer, most))

    def close_crowded(self, stream: IOStream, answer: bytes = b"") -> None:
        """Send a last answer and close the connection of one of many callers.

        It lingers only while few others do: each holds a descriptor and a task.
        """
        if len(self._tasks) < MAX_CROWDED:
            self.half_close(stream, answer, most=MAX_CROWDED_BYTES)
            return
        _send_last(stream, answer)
        stream.close()

    def linger_after_close(self, stream: IOStream) -> None:
        """Keep reading from the connection after the stream has been closed.

        This serves callers that get an answer before they have sent the whole
        request, unless there are many of them.
        """
        if len(self._tasks) >= MAX_CROWDED:
            return
        sock = _copy_socket(stream)
        if sock is not None:
            self._start_task(_linger_after(stream, sock))

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_closed(self, until: float) -> None:
        """Wait until all callers have closed their connections, then return.

        `until` is a time of the event loop's clock, after which the remaining
        connections are closed.
        """
        if not self._tasks:
            return
        remaining = max(until - asyncio.get_running_loop().time(), 0.0)
        _, open_tasks = await asyncio.wait(tuple(self._tasks), timeout=remaining)
        for task in open_tasks:
            task.cancel()
        await asyncio.gather(*open_tasks, return_exceptions=True)


def discard_unsent(sock: socket.socket) -> None:
    """Make the next close discard unsent bytes and reset the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def keep_unsent(sock: socket.socket) -> None:
    """Make the next close send unsent bytes and then the end of the stream."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, SENDS_UNSENT)


def is_reset_by_close(sock: socket.socket) -> bool:
    """Return whether the next close resets the connection."""
    value = sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, len(NO_LINGER))
    return value == NO_LINGER


def _copy_socket(stream: IOStream) -> socket.socket | None:
    """Return a duplicate of the stream's socket, or None if the stream is closed."""
    if stream.closed():
        return None
    try:
        return stream.socket.dup()
    except OSError as error:
        log.warning("lingering: connection closed without lingering: {}", error)
        return None


def _send_last(stream: IOStream, answer: bytes) -> None:
    """Send a last answer on a connection that can't linger."""
    if stream.closed() or stream.writing():
        return
    with contextlib.suppress(OSError):
        stream.socket.send(answer)


async def _linger_after(stream: IOStream, sock: socket.socket) -> None:
    for _ in range(MAX_POLLS):
        if stream.closed():
            break
        await asyncio.sleep(POLL_SECONDS)
    await _linger(sock, b"", math.inf)


async def _linger(sock: socket.socket, answer: bytes, most: float) -> None:
    loop = asyncio.get_running_loop()
    with sock, contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(MAX_LINGER_SECONDS):
            await loop.sock_sendall(sock, answer)
            sock.shutdown(socket.SHUT_WR)
            received = 0
            while received < most and (size := await _discard(sock)):
                received += size


async def _discard(sock: socket.socket) -> int:
    """Discard what arrives next; return its size, 0 at the end."""
    async with asyncio.timeout(IDLE_SECONDS):
        return await asyncio.get_running_loop().sock_recv_into(sock, _discarded)
