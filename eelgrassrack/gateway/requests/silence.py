"""Timers for endpoints that are up and send nothing.

The timer asks before it ends an attempt.  An attempt that ended first and then found
no retry would leave its caller with less than the endpoint would still have sent.
"""

import asyncio
from collections.abc import Awaitable, Callable

from ..endpoints.connection import Connection
from ..errors import SilentError


class SilenceTimer:
    """Abandons a connection whose endpoint sends nothing for too long.

    `confirm` returns whether the gateway's own link works in time.  If it doesn't, or
    if the request may not be abandoned, the timer starts again.  With `is_enabled`
    unset it never starts, as for a request that may not be repeated.
    """

    __slots__ = (
        "_confirm",
        "_confirming",
        "_connection",
        "_handle",
        "_is_enabled",
        "_loop",
        "_seconds",
    )

    def __init__(
        self,
        *,
        connection: Connection,
        confirm: Callable[[], Awaitable[bool]],
        is_enabled: bool,
    ) -> None:
        self._is_enabled = is_enabled
        self._connection = connection
        self._confirm = confirm
        self._confirming: asyncio.Task | None = None
        self._loop = asyncio.get_running_loop()
        self._seconds = 0.0
        self._handle: asyncio.Handle | None = None

    def start(self, seconds: float) -> None:
        """Start, or start again, with a timeout in seconds."""
        self.stop()
        if not self._is_enabled:
            return
        self._seconds = seconds
        self._handle = self._loop.call_later(seconds, self._expire)

    def stop(self) -> None:
        """Stop until the next start."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        if self._confirming is not None:
            self._confirming.cancel()
            self._confirming = None

    def _expire(self) -> None:
        # A loop that was held up reads what has arrived in the same turn in which the
        # timer expires, and its reader runs in the next one, before this call.
        self._handle = self._loop.call_soon(self._begin_to_confirm)

    def _begin_to_confirm(self) -> None:
        self._handle = None
        self._confirming = asyncio.ensure_future(self._abandon())

    async def _abandon(self) -> None:
        is_confirmed = await self._confirm()
        self._confirming = None
        if is_confirmed and self._connection.may_abandon():
            self._connection.abandon(SilentError("silent for too long"))
            return
        self.start(self._seconds)
