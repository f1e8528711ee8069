"""Timeouts that don't blame others for time that this process lost itself."""

import asyncio
from typing import TypeVar

T = TypeVar("T")

# A timer that fires later than this shows that the event loop was held up.
LATE_SECONDS = 0.05

# How often a wait begins again because the event loop was held up.
MAX_WAITS = 4


async def wait_unless_late(future: "asyncio.Future[T]", seconds: float) -> T:
    """Return a future's result; raise `TimeoutError` if it isn't there in time.

    What arrives while the event loop is held up is read only afterwards, so the wait
    begins again if its timer fires late.
    """
    loop = asyncio.get_running_loop()
    for _ in range(MAX_WAITS):
        due = loop.time() + seconds
        done, _ = await asyncio.wait((future,), timeout=seconds)
        if done:
            return future.result()
        if loop.time() < due + LATE_SECONDS:
            break
    raise TimeoutError
