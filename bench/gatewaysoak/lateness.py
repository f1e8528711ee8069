"""Measures delays of the soak's own event loop.

The checks subtract them, so that a busy machine isn't mistaken for a slow gateway.
"""

import asyncio
import time

POLL_SECONDS = 0.05
# Shorter delays aren't recorded.
MIN_DELAY_SECONDS = 0.05


class Lateness:
    """Periods in which this process's event loop was delayed; times are monotonic."""

    def __init__(self) -> None:
        self._delays: list[tuple[float, float]] = []

    async def watch(self) -> None:
        """Record delays until cancelled."""
        while True:
            due = time.monotonic() + POLL_SECONDS
            await asyncio.sleep(POLL_SECONDS)
            now = time.monotonic()
            if now > due + MIN_DELAY_SECONDS:
                self._delays.append((due, now))

    def sum_within(self, began: float, ended: float) -> float:
        """Return for how many seconds between two times the loop was delayed."""
        parts = (min(end, ended) - max(due, began) for due, end in self._delays)
        return sum(part for part in parts if part > 0)


def format_wall_time(at: float) -> str:
    """Format a monotonic time as a wall clock time, as the gateways' logs have it."""
    return f"{time.time() - time.monotonic() + at:.3f}"
