"""Removal of expired records.

Expired records would otherwise fill up the platform's service.  One entry at a time
checks a few records per round; a lease keeps the others from doing the same work.
If two entries sweep at once, no harm is done: each removal is conditional on the
version that was checked.

Store calls in a round: a listing and at most `RECORDS_PER_ROUND` reads for each
kind, and a removal for each expired record.  The lease takes a read and a write in
each third of its duration, and a read from each entry that waits for it.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

import logbook
import msgspec

from .leases import HeldLease, Leases, LeaseTaken
from .objects import Unavailable
from .sweeping import Swept

log = logbook.Logger("sweeper")

LEASE_NAME = "sweeper"
LEASE_SECONDS = 60.0

# How many records of each kind are checked in a round, and the time between rounds.
# This keeps up with five new records of a kind each second, and leaves most of a
# daemon's call budget to callers' requests.
RECORDS_PER_ROUND = 5
ROUND_SECONDS = 1.0


class Sweepable(Protocol):
    """A kind of records that can be swept."""

    async def sweep(self, *, limit: int) -> Swept | Unavailable:
        """Remove expired records, after checking at most `limit` records."""


class RetryLater(msgspec.Struct, kw_only=True, frozen=True):
    """The sweep was skipped or cut short; try again after `seconds`."""

    seconds: float


class Sweeper:
    """Sweep while this process holds the lease; `clock` is monotonic."""

    __slots__ = ("_clock", "_holder", "_kinds", "_lease", "_leases")

    def __init__(
        self,
        *,
        kinds: Iterable[Sweepable],
        leases: Leases,
        holder: str,
        clock: Callable[[], float],
    ) -> None:
        self._kinds = tuple(kinds)
        self._leases = leases
        self._holder = holder
        self._clock = clock
        self._lease: HeldLease | None = None

    async def run(self) -> None:
        """Sweep forever."""
        while True:
            result = await self.sweep()
            wait = result.seconds if isinstance(result, RetryLater) else ROUND_SECONDS
            await asyncio.sleep(wait)

    async def sweep(self) -> Swept | RetryLater:
        """Sweep a few records of each kind if this process holds the lease."""
        retry = await self._ensure_lease()
        if retry:
            return retry
        looked_at = removed = 0
        for kind in self._kinds:
            match await kind.sweep(limit=RECORDS_PER_ROUND):
                case Unavailable(retry_after=seconds):
                    return RetryLater(seconds=seconds)
                case Swept() as swept:
                    looked_at += swept.looked_at
                    removed += swept.removed
        if removed:
            log.info("sweeper: removed {} of {}", removed, looked_at)
        return Swept(looked_at=looked_at, removed=removed)

    async def stop(self) -> None:
        """Release the lease, so that another entry can sweep."""
        if self._lease is not None:
            await self._leases.release(lease=self._lease)
            self._lease = None

    async def _ensure_lease(self) -> RetryLater | None:
        """Acquire or renew the lease; if that fails, return how long to wait."""
        now = self._clock()
        if self._lease and now < self._lease.until - LEASE_SECONDS / 2:
            return None
        match await self._request_lease():
            case HeldLease() as lease:
                self._lease = lease
                return None
            case LeaseTaken(wait=wait):
                self._lease = None
                return RetryLater(seconds=max(wait, ROUND_SECONDS))
            case Unavailable(retry_after=seconds):
                return RetryLater(seconds=max(seconds, ROUND_SECONDS))

    async def _request_lease(self) -> HeldLease | LeaseTaken | Unavailable:
        if self._lease is not None:
            return await self._leases.renew(lease=self._lease)
        return await self._leases.acquire(
            name=LEASE_NAME, holder=self._holder, duration=LEASE_SECONDS
        )
