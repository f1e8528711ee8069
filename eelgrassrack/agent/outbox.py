"""Gather what an agent says, so that one parcel holds a whole engine step.

An engine emits a token for each running stream at every batch step, but
they arrive over as many connections in as many turns of the loop.  Without
gathering, each token is a parcel of its own: a write here and a read in the
entry, which is what relaying costs most of.
"""

import asyncio
import collections
from collections.abc import Callable

from ..mailbox.messages import AnyMessage, Piece

Post = Callable[[str, AnyMessage], None]

# A step takes about 30 ms, so this adds little to the time between tokens.
GATHER_SECONDS = 0.002


# The mailbox puts all that is posted in one tick into one parcel and loses a
# parcel that is too large.  Bodies of plain services would get there, so no
# more than this is posted in a tick.
MAX_TICK_BYTES = 1_000_000


class Outbox:
    """Post messages in order, a little later and together."""

    __slots__ = ("_due", "_schedule", "_post", "_posted_bytes", "_waiting")

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
        """Post what waits, up to what one tick may carry."""
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
    """Call back later on the running loop."""
    return asyncio.get_running_loop().call_later(seconds, callback)
