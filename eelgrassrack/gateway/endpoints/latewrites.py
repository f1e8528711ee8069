"""Requests that are still being written when their answers are complete.

An endpoint may answer before it has read a long body, keep the connection and read on.
Without the rest it would work on a part of a request that its caller counts as done.
"""

import asyncio
from collections.abc import Callable

import logbook

from .connection import Connection

log = logbook.Logger("pool")

# How long an endpoint may take to read the rest of a request.
WRITE_SECONDS = 10.0

# What the rests of all requests may hold together.
MOST_BYTES = 8_388_608


class LateWrites:
    """Connections on which the rest of a request is written after its answer."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: dict[Connection, asyncio.Task] = {}

    @property
    def count(self) -> int:
        """Return the number of requests that are being written."""
        return len(self._tasks)

    @property
    def held(self) -> int:
        """Return how many bytes of them still have to be written."""
        return sum(connection.unwritten for connection in self._tasks)

    def add(self, connection: Connection, go_on: Callable[[], None]) -> None:
        """Call `go_on` once the request is written; reset the connection if it isn't.

        The endpoint then knows that the request isn't whole.
        """
        if self.held + connection.unwritten > MOST_BYTES:
            log.warning("pool: a request was answered, and its rest has no room")
            connection.abort()
            return
        writing = self._finish(connection, go_on)
        self._tasks[connection] = asyncio.ensure_future(writing)

    async def _finish(self, connection: Connection, go_on: Callable[[], None]) -> None:
        try:
            if await connection.wait_written(WRITE_SECONDS):
                go_on()
                return
            log.info("pool: a request was answered and never read to its end")
            connection.abort()
        finally:
            del self._tasks[connection]

    def close(self) -> None:
        """Reset all connections."""
        for connection, task in tuple(self._tasks.items()):
            task.cancel()
            connection.abort()
