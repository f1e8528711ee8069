"""Connections that a process ends while a request may be on its way.

Closed at once, such a connection is reset as soon as the request arrives: its
caller gets no answer and can't know whether the request ran.  So a caller is told
first, the connection is closed for writing only, and what still comes is read
and thrown away until the caller has closed it too.
"""

import asyncio
import contextlib
import socket
from collections.abc import Coroutine

import logbook
from tornado.iostream import IOStream

log = logbook.Logger("lingering")

# Without a byte: for callers that look at their connections only when they next
# use them.  And in all, for those that go on sending.
LINGER_SECONDS = 1.0
MOST_SECONDS = 30.0

# How often, and how many times, it is looked whether an answer has left.
FOLLOW_SECONDS = 0.01
FOLLOW_LOOKS = 100

READ_BYTES = 65_536

# "The server did not receive a complete request message within the time that it
# was prepared to wait", RFC 9110: whatever comes hasn't run.
REQUEST_TIMEOUT_ANSWER = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class LingeringConnections:
    """Connections that are closed for writing, until their callers close them."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def half_close(self, stream: IOStream, answer: bytes = b"") -> None:
        """End a connection from which nothing more is taken, with a last answer.

        The stream is closed at once, so that nobody else reads from it.
        """
        rest = _copy_socket(stream)
        stream.close()
        if rest is not None:
            self._keep(_linger(rest, answer))

    def linger_after_close(self, stream: IOStream) -> None:
        """Read on when the stream is closed after an answer to half a request."""
        rest = _copy_socket(stream)
        if rest is not None:
            self._keep(_linger_after(stream, rest))

    def _keep(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_closed(self, until: float) -> None:
        """Wait until all callers have closed, or a time of the loop; then close."""
        if not self._tasks:
            return
        left = max(until - asyncio.get_running_loop().time(), 0.0)
        _, open_tasks = await asyncio.wait(tuple(self._tasks), timeout=left)
        for task in open_tasks:
            task.cancel()
        await asyncio.gather(*open_tasks, return_exceptions=True)


def _copy_socket(stream: IOStream) -> socket.socket | None:
    """Return another descriptor of a stream's connection, if it is open."""
    if stream.closed():
        return None
    try:
        return stream.socket.dup()
    except OSError as error:
        log.warning("lingering: a connection is closed at once: {}", error)
        return None


async def _linger_after(stream: IOStream, rest: socket.socket) -> None:
    for _ in range(FOLLOW_LOOKS):
        if stream.closed():
            break
        await asyncio.sleep(FOLLOW_SECONDS)
    await _linger(rest, b"")


async def _linger(rest: socket.socket, answer: bytes) -> None:
    loop = asyncio.get_running_loop()
    with rest, contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(MOST_SECONDS):
            await loop.sock_sendall(rest, answer)
            rest.shutdown(socket.SHUT_WR)
            while await _read(rest):
                pass


async def _read(rest: socket.socket) -> bytes:
    async with asyncio.timeout(LINGER_SECONDS):
        return await asyncio.get_running_loop().sock_recv(rest, READ_BYTES)
