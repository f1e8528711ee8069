"""Connections that a process ends while a request may be on its way.

Closed at once, such a connection is reset as soon as the request arrives: its
caller gets no answer and can't know whether the request ran.  So a caller is told
first, the connection is closed for writing only, and what still comes is read
and thrown away until the caller has closed it too.
"""

import asyncio
import contextlib
import socket

import logbook
from tornado.iostream import IOStream

log = logbook.Logger("lingering")

# For callers that look at their connections only when they next use them.
LINGER_SECONDS = 1.0

READ_BYTES = 65_536

# "The server did not receive a complete request message within the time that it
# was prepared to wait", RFC 9110: whatever comes hasn't run.
NOT_READ = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class Lingering:
    """Connections that are closed for writing, until their callers close them."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def dismiss(self, stream: IOStream, answer: bytes = b"") -> None:
        """End a connection from which nothing more is taken, with a last answer.

        The stream is closed at once, so that nobody else reads from it.
        """
        if stream.closed():
            return
        try:
            rest = stream.socket.dup()
        except OSError as error:
            log.warning("lingering: a connection is closed at once: {}", error)
            stream.close()
            return
        stream.close()
        task = asyncio.ensure_future(_linger(rest, answer))
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


async def _linger(rest: socket.socket, answer: bytes) -> None:
    loop = asyncio.get_running_loop()
    with rest, contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(LINGER_SECONDS):
            await loop.sock_sendall(rest, answer)
            rest.shutdown(socket.SHUT_WR)
            while await loop.sock_recv(rest, READ_BYTES):
                pass
