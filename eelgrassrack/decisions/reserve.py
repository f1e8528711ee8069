"""Slots that a full endpoint reserves for organisations that run little there.

If large organisations fill all slots of all endpoints, fair queueing moves a quiet
organisation's request to the head of the queue, but the request still waits until a
running job ends: half a second on average with 16 slots and answers of 200 tokens, and
1.5 s for one in twenty.

The last slots of a window are therefore given only to organisations that run almost
nothing on this endpoint.  The reservation lapses if no such organisation came for a
while, so a single organisation can use the whole window.  A small window (a cold start)
reserves nothing.
"""

import collections
from collections.abc import Callable

from .waiting import QueuedRequest

# One slot in sixteen is reserved, which costs at most a sixteenth of the goodput.  One
# in eight would shorten a quiet organisation's wait by a further 0.09 s at twice that
# cost.
SLOTS_PER_RESERVED = 16

# An organisation with fewer running requests may use the reserved slots.  With one, the
# second of two requests in a row would wait as before; with four, large organisations
# would use the slots as well.  docs/LOAD.md has the figures.
FEW_RUNNING = 2

# The reservation lapses after this time without a request of such an organisation.  It
# is the default deadline of a request.
LAPSE_SECONDS = 60.0


class SlotReserve:
    """Decide which organisations may use the last free slots of an endpoint."""

    __slots__ = ("_running", "_used_at")

    def __init__(self) -> None:
        self._running: collections.Counter[str] = collections.Counter()
        self._used_at = float("-inf")

    def start(self, *, organisation: str, now: float) -> None:
        """Count a request that starts."""
        if self._has_few(organisation):
            self._used_at = now
        self._running[organisation] += 1

    def end(self, *, organisation: str) -> None:
        """Count the end of a request that was started."""
        self._running[organisation] -= 1
        if self._running[organisation] <= 0:
            del self._running[organisation]

    def judge(
        self, *, free: int, window: int, now: float
    ) -> Callable[[QueuedRequest], bool] | None:
        """Return a filter of the requests that may start, or None if all may.

        `free` of the `window` slots are free.  Pass the result to `FairQueue.pop` as
        `may_start`.
        """
        if free > window // SLOTS_PER_RESERVED:
            return None
        if now - self._used_at > LAPSE_SECONDS:
            return None
        return self._runs_few

    def _runs_few(self, request: QueuedRequest) -> bool:
        return self._has_few(request.organisation)

    def _has_few(self, organisation: str) -> bool:
        return self._running[organisation] < FEW_RUNNING
