"""Finds out when a stop signal came.

A process that was suspended, or held up in its event loop, notices a signal late, but
it is killed one grace period after the signal.  A stop that counted from the moment at
which the signal was noticed would be cut off, with the requests that are still open.
"""

import asyncio
import time

# How often the process notes that it runs; a stop may begin earlier by this.
WATCH_SECONDS = 0.1


class StopTime:
    """When the first stop signal came, at the earliest.

    That is the last moment before at which the process is known to have run.
    `signalled_at` is on the monotonic clock, None without a signal.
    """

    __slots__ = ("_seen_at", "signalled_at")

    def __init__(self) -> None:
        self._seen_at = time.monotonic()
        self.signalled_at: float | None = None

    async def watch(self) -> None:
        """Note regularly that the event loop runs, until cancelled."""
        while True:
            self._seen_at = time.monotonic()
            await asyncio.sleep(WATCH_SECONDS)

    def note_signal(self) -> None:
        """Note that a stop signal has been noticed."""
        if self.signalled_at is None:
            self.signalled_at = self._seen_at
