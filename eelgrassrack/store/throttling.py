"""Waiting for the daemon's own call budget.

Work on many objects, such as reading a long ledger, spends the budget of
calls in a burst.  Given up there and begun anew, it would spend the next
budget on the same first objects and never come to its end.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from .objects import Unavailable

Result = TypeVar("Result")

# The budget asks for waits of some hundredths of a second.  A longer wait
# means that the platform is away, which is for the caller to deal with.
LONGEST_WAIT = 0.5
SHORTEST_WAIT = 0.01

# Waits for one call add up to this at most.
PATIENCE_SECONDS = 5.0


async def retry_throttled(
    call: Callable[[], Awaitable[Result | Unavailable]],
) -> Result | Unavailable:
    """Repeat a call that was refused for a moment; it must be repeatable."""
    waited = 0.0
    while True:
        result = await call()
        if not isinstance(result, Unavailable) or result.maybe_written:
            return result
        if result.retry_after > LONGEST_WAIT or waited >= PATIENCE_SECONDS:
            return result
        wait = max(result.retry_after, SHORTEST_WAIT)
        waited += wait
        await asyncio.sleep(wait)
