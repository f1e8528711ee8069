"""Delay outgoing messages briefly, so that a batch holds a whole engine step.

An engine emits a token for each running stream at every step, but the tokens
arrive over separate connections in separate iterations of the event loop.
Without the delay each token would be sent as a batch of its own, with a write in
the agent and a read in the entry, which are the largest costs of relaying.
"""

import asyncio
import collections
from collections.abc import Callable

from ..mailbox.messages import AnyMessage, Piece

Post = Callable[[str, AnyMessage], None]

# An engine step takes about 30 ms, so this adds little to the time between tokens.
GATHER_SECONDS = 0.002

# The mailbox sends all messages posted in one iteration of the event loop as one
# batch and loses a batch that is too large.  Bodies of plain services could reach
# that size, so no more than this is posted in one iteration.
MAX_TICK_BYTES = 1_000_000


class Outbox:
    """Posts messages in order, after a short delay and together."""

    __slots__ = ("_due", "_post", "_posted_bytes", "_schedule", "_waiting")

    def __init__(
        self,
        *,
        post: Post,
        schedule: Callable[[float, Callable[[], None]], object] | None = None,
    ) -> None:
        self._post = post
        self._schedule = schedule or call_later
        self._waiting: collections.deque[tuple[str, AnyMessage]] = collections.deque()
        self._due = False
        self._posted_bytes = 0

    def add(self, to: str, message: AnyMessage) -> None:
        """Post a message within `GATHER_SECONDS`."""
        self._waiting.append((to, message))
        if not self._due:
            self._due = True
            self._schedule(GATHER_SECONDS, self._flush_due)

    def flush(self) -> None:
        """Post the waiting messages, up to `MAX_TICK_BYTES`."""
        while self._waiting and self._posted_bytes < MAX_TICK_BYTES:
            to, message = self._waiting.popleft()
            self._post(to, message)
            if isinstance(message, Piece):
                self._count(len(message.data))

    def _flush_due(self) -> None:
        self._due = False
        self.flush()

    def _count(self, size: int) -> None:
        if not self._posted_bytes:
            self._schedule(0.0, self._begin_tick)
        self._posted_bytes += size

    def _begin_tick(self) -> None:
        self._posted_bytes = 0
        self.flush()


def call_later(seconds: float, callback: Callable[[], None]) -> object:
    """Call `callback` on the running event loop after some seconds."""
    return asyncio.get_running_loop().call_later(seconds, callback)
