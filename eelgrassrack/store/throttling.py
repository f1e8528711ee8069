"""Retries of calls that the daemon's own call budget refused.

An operation on many objects, such as reading a long ledger, uses up the call budget
in a burst.  If it failed there and started again, it would spend the next budget on
the same first objects and never finish.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from .objects import Unavailable

Result = TypeVar("Result")

# The budget asks for waits of some hundredths of a second.  A longer wait means that
# the platform is unavailable, which the caller must handle.
MAX_WAIT_SECONDS = 0.5
MIN_WAIT_SECONDS = 0.01

# The limit on the total wait for one call.
MAX_TOTAL_WAIT_SECONDS = 5.0


async def retry_throttled(
    call: Callable[[], Awaitable[Result | Unavailable]],
) -> Result | Unavailable:
    """Retry a call that was refused briefly; the call must be safe to repeat."""
    waited = 0.0
    while True:
        result = await call()
        if not isinstance(result, Unavailable) or result.maybe_written:
            return result
        if result.retry_after > MAX_WAIT_SECONDS or waited >= MAX_TOTAL_WAIT_SECONDS:
            return result
        wait = max(result.retry_after, MIN_WAIT_SECONDS)
        waited += wait
        await asyncio.sleep(wait)
