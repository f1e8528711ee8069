"""Slots that a full endpoint keeps for organisations with little there.

Load pattern: large organisations fill all slots of all endpoints.  Fair
turns bring a quiet organisation's request to the head of the queue at once,
but without this module it still waits until some running job ends: half a
second in the mean with 16 slots and answers of 200 tokens, and 1.5 s for
one in twenty.

The last slots of a window are given only to organisations that run next to
nothing on this endpoint.  They lapse when no such organisation came for a
while, so a lone organisation has the whole window.  A small window (a cold
start) reserves nothing.
"""

import collections
from collections.abc import Callable

from .waiting import QueuedRequest

# One slot in sixteen is kept: it costs at most a sixteenth of the goodput.
# One in eight brought a quiet organisation's wait down by a further 0.09 s at
# twice that cost.
SLOTS_PER_RESERVED = 16

# An organisation with fewer than so many running here may take them.  With
# one the second of two requests in a row waits as before; with four large
# organisations take the slots as well.  docs/LOAD.md has the figures.
FEW_RUNNING = 2

# The slots lapse so long after the last request of such an organisation, as
# long as the default deadline of a request.
LAPSE_SECONDS = 60.0


class SlotReserve:
    """Judge who may take the last free slots of an endpoint."""

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
        """Return who may start with so many slots free; None if everyone.

        Pass the answer to `FairQueue.pop` as `may_start`.
        """
        if free > window // SLOTS_PER_RESERVED:
            return None
        if now - self._used_at > LAPSE_SECONDS:
            return None
        return self._may_start

    def _may_start(self, waiting: QueuedRequest) -> bool:
        return self._has_few(waiting.organisation)

    def _has_few(self, organisation: str) -> bool:
        return self._running[organisation] < FEW_RUNNING
