"""Measure how long the event loop takes for a turn, the time that all work waits."""

import asyncio
from collections.abc import Callable


class LoopDelay:
    """Times a turn of the event loop when asked to.

    `latest` is how long the last timed turn took, in seconds.  `note` gets each, and
    the loop's time at its end.
    """

    __slots__ = ("_is_timing", "_loop", "_note", "latest")

    def __init__(self, *, note: Callable[[float, float], None]) -> None:
        self._note = note
        self._loop = asyncio.get_running_loop()
        self._is_timing = False
        self.latest = 0.0

    def measure(self) -> None:
        """Time the next whole turn, unless one is being timed."""
        if not self._is_timing:
            self._is_timing = True
            self._loop.call_soon(self._begin)

    def _begin(self) -> None:
        self._loop.call_soon(self._end, self._loop.time())

    def _end(self, began: float) -> None:
        self._is_timing = False
        now = self._loop.time()
        self.latest = now - began
        self._note(self.latest, now)
