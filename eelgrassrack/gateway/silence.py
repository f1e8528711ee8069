"""Timers for endpoints that are up and send nothing.

The timer asks before it ends an attempt.  An attempt that ended first and then found
no retry would leave its caller with less than the endpoint would still have sent.
"""

import asyncio

from .connection import Connection
from .errors import SilentError


class SilenceTimer:
    """Abandons a connection whose endpoint sends nothing for too long.

    If the request may not be abandoned, the timer starts again.
    """

    __slots__ = ("_connection", "_handle", "_loop", "_seconds")

    def __init__(self, *, connection: Connection) -> None:
        self._connection = connection
        self._loop = asyncio.get_running_loop()
        self._seconds = 0.0
        self._handle: asyncio.Handle | None = None

    def start(self, seconds: float) -> None:
        """Start, or start again, with a timeout in seconds."""
        self.stop()
        self._seconds = seconds
        self._handle = self._loop.call_later(seconds, self._expire)

    def stop(self) -> None:
        """Stop until the next start."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _expire(self) -> None:
        # A loop that was held up reads what has arrived in the same turn in which the
        # timer expires, and its reader runs in the next one, before this call.
        self._handle = self._loop.call_soon(self._abandon)

    def _abandon(self) -> None:
        if self._connection.may_abandon():
            self._connection.abandon(SilentError("silent for too long"))
            return
        self.start(self._seconds)
