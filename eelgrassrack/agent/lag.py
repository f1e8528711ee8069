"""Measure how late this process's event loop runs.

A timeout that expires while the loop is held up shows nothing about the other side,
whose answer may be waiting to be read.
"""

import asyncio

INTERVAL_SECONDS = 0.1


class LagMeter:
    """Measures the largest delay of the event loop until `stop` is called."""

    __slots__ = ("_due_at", "_handle", "_largest", "_loop")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._largest = 0.0
        self._schedule()

    def measure(self) -> float:
        """Return the largest delay so far, in seconds."""
        # The loop may run other callbacks before this one that is late as well.
        self._largest = max(self._largest, self._loop.time() - self._due_at)
        return self._largest

    def stop(self) -> None:
        """Stop measuring."""
        self._handle.cancel()

    def _schedule(self) -> None:
        self._due_at = self._loop.time() + INTERVAL_SECONDS
        self._handle = self._loop.call_at(self._due_at, self._note)

    def _note(self) -> None:
        self.measure()
        self._schedule()
