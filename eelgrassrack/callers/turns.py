"""Turns of the event loop, which readers with much to do take one after the other.

Thousands of callers may each send pieces of a few bytes.  Each piece takes little time,
but if all of them were read in one turn of the loop, everybody else would wait for
seconds.  A reader therefore reads its first pieces freely, and then waits for its turn
before it reads more.
"""

import asyncio
import collections
from collections.abc import Callable

# How many readers go on in one turn of the loop.
READERS_PER_TURN = 8

# Pieces and bytes that one of them reads in its turn.
PIECES_PER_TURN = 256
BYTES_PER_TURN = 65_536


class ReadTurns:
    """The queue of readers that wait for their turn."""

    __slots__ = ("_loop", "_waiting")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._waiting: collections.deque[Callable[[], None]] = collections.deque()

    def enter(self, go_on: Callable[[], None]) -> None:
        """Call `go_on` at the reader's turn."""
        if not self._waiting:
            self._loop.call_soon(self._call_next)
        self._waiting.append(go_on)

    async def wait(self) -> None:
        """Wait for the reader's turn."""
        turn = self._loop.create_future()
        self.enter(lambda: turn.done() or turn.set_result(None))
        await turn

    def _call_next(self) -> None:
        for _ in range(min(len(self._waiting), READERS_PER_TURN)):
            self._waiting.popleft()()
        if self._waiting:
            self._loop.call_soon(self._call_next)
