"""How late the soak's own process is, so that it isn't taken for the gates."""

import asyncio
import time

LOOK_SECONDS = 0.05
LEAST_SECONDS = 0.05


class Lateness:
    """When this process's loop went on later than it was to; times are steady."""

    def __init__(self) -> None:
        self._late: list[tuple[float, float]] = []

    async def watch(self) -> None:
        """Look at the clock until cancelled."""
        while True:
            due = time.monotonic() + LOOK_SECONDS
            await asyncio.sleep(LOOK_SECONDS)
            now = time.monotonic()
            if now > due + LEAST_SECONDS:
                self._late.append((due, now))

    def sum_within(self, began: float, ended: float) -> float:
        """Return for how many seconds of a time the loop was held up."""
        parts = (min(end, ended) - max(due, began) for due, end in self._late)
        return sum(part for part in parts if part > 0)
