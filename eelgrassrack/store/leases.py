"""Leases with fencing tokens for orders to engines.

A lease determines which process may send orders to an engine.  Instances share no
clock, so a lease has a duration instead of an end time.  A process that wants a
lease held by another waits until it has seen the lease unchanged for the whole
duration by its own clock.  The holder counts the duration from before the write
that acquired the lease.

A holder that was paused past the end of its lease doesn't notice until it reads
its clock, and may be paused again right after.  Each order therefore carries a
fencing number, the version of the lease's object.  The receiver refuses orders
with a lower number than the highest it has seen.  For engines that don't check the
number, their agent does, with a `Fence`.

Store calls: one write for each renewal, at a third of the duration.
"""

from collections.abc import Callable

import logbook
import msgspec

from .objects import Absent, ObjectStore, Unavailable
from .records import (
    NEW,
    RecordConflict,
    RecordWritten,
    VersionedRecord,
    put_record,
    read_record,
)

log = logbook.Logger("leases")

KIND = "leases"

# The holder stops using a lease this share of the duration before its end, as clocks
# may run at different speeds.
MARGIN_SHARE = 0.1


class Lease(msgspec.Struct, kw_only=True, frozen=True):
    """The holder of a lease, and its duration in seconds from this write on.

    `write` is a unique id of the write, by which the writer recognises it after a
    lost answer.
    """

    holder: str
    duration: float
    write: str


class HeldLease(msgspec.Struct, kw_only=True, frozen=True):
    """A lease that is valid until `until` by the holder's own monotonic clock.

    `fence` is the fencing number for the holder's orders.
    """

    name: str
    holder: str
    duration: float
    fence: int
    until: float

    def is_valid(self, *, now: float) -> bool:
        """Return whether the holder may still send orders.

        Check this right before each order, as the process may have been paused.
        """
        return now < self.until


class LeaseTaken(msgspec.Struct, kw_only=True, frozen=True):
    """Another process holds the lease; try again after `wait` seconds."""

    holder: str
    wait: float


class Released(msgspec.Struct, kw_only=True, frozen=True):
    """The lease is free, or another process holds it by now."""


class _Observation(msgspec.Struct, kw_only=True, frozen=True):
    """The version of a lease, and the time since when it has been seen there."""

    version: int
    since: float


class Leases:
    """Acquire, renew and release leases.

    A holder is identified by its incarnation, which changes when a process is
    restarted.  `clock` is monotonic; `make_id` returns globally unique texts.
    """

    __slots__ = ("_clock", "_make_id", "_observations", "_store")

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Callable[[], float],
        make_id: Callable[[], str],
    ) -> None:
        self._store = store
        self._clock = clock
        self._make_id = make_id
        self._observations: dict[str, _Observation] = {}

    async def acquire(
        self, *, name: str, holder: str, duration: float
    ) -> HeldLease | LeaseTaken | Unavailable:
        """Acquire a lease that is free or has expired."""
        match await read_record(store=self._store, kind=KIND, name=name, record=Lease):
            case Absent():
                return await self._write(name, holder, duration, NEW)
            case Unavailable() as unavailable:
                return unavailable
            case VersionedRecord(record=lease, version=version):
                wait = self._wait_for(name, lease, version)
        if wait > 0:
            return LeaseTaken(holder=lease.holder, wait=wait)
        return await self._write(name, holder, duration, version)

    async def renew(self, *, lease: HeldLease) -> HeldLease | LeaseTaken | Unavailable:
        """Extend a lease to its full duration from now.

        After `Unavailable` the lease keeps its earlier end.  If the answer to an
        earlier renewal was lost, the object is at another version than expected;
        the lease is then renewed from that version, counting from the new write.
        """
        found = await read_record(
            store=self._store, kind=KIND, name=lease.name, record=Lease
        )
        match found:
            case Unavailable():
                return found
            case VersionedRecord(record=record, version=version) if (
                record.holder == lease.holder
            ):
                return await self._write(
                    lease.name, lease.holder, lease.duration, version
                )
            case VersionedRecord(record=record):
                return LeaseTaken(holder=record.holder, wait=record.duration)
        return LeaseTaken(holder="", wait=0.0)

    async def release(self, *, lease: HeldLease) -> Released | Unavailable:
        """Give a lease back before it expires.

        The object stays, without a holder.  If it were created again, it might
        start at a low version, and the next holder's orders would be refused.
        """
        free = Lease(holder="", duration=0.0, write=self._make_id())
        result = await put_record(
            store=self._store,
            kind=KIND,
            name=lease.name,
            record=free,
            version=lease.fence,
            is_own=free.__eq__,
        )
        return result if isinstance(result, Unavailable) else Released()

    def _wait_for(self, name: str, lease: Lease, version: int) -> float:
        """Return for how many more seconds the lease must be seen unchanged."""
        if not lease.holder:
            return 0.0
        now = self._clock()
        seen = self._observations.get(name)
        if seen is None or seen.version != version:
            seen = self._observations[name] = _Observation(version=version, since=now)
        return seen.since + lease.duration - now

    async def _write(
        self, name: str, holder: str, duration: float, version: int
    ) -> HeldLease | LeaseTaken | Unavailable:
        """Write the lease, and count its duration from before the write."""
        before = self._clock()
        lease = Lease(holder=holder, duration=duration, write=self._make_id())
        result = await put_record(
            store=self._store,
            kind=KIND,
            name=name,
            record=lease,
            version=version,
            is_own=lease.__eq__,
        )
        match result:
            case RecordWritten(version=fence):
                self._observations.pop(name, None)
                log.info("leases: held: {} by {}: {}", name, holder, fence)
                return HeldLease(
                    name=name,
                    holder=holder,
                    duration=duration,
                    fence=fence,
                    until=before + duration * (1 - MARGIN_SHARE),
                )
            case RecordConflict(found=VersionedRecord(record=other)):
                return LeaseTaken(holder=other.holder, wait=other.duration)
            case Unavailable():
                return result
        return LeaseTaken(holder="", wait=0.0)


class Admitted(msgspec.Struct, kw_only=True, frozen=True):
    """The order may be carried out."""


class Fenced(msgspec.Struct, kw_only=True, frozen=True):
    """The order comes from a holder that has been replaced."""

    highest: int


class FenceUnknown(msgspec.Struct, kw_only=True, frozen=True):
    """The fence knows no number yet, and must learn it before it admits orders."""


class Fence:
    """Refuse orders to one engine that carry an outdated fencing number.

    A new fence knows no number.  If a restarted agent accepted whatever order
    arrives first, it could execute an order from a paused holder after the orders
    of that holder's successor.  So it must learn the lease's version first.
    """

    __slots__ = ("_highest",)

    def __init__(self) -> None:
        self._highest: int | None = None

    def learn(self, number: int) -> None:
        """Record a fencing number that was read from the lease itself."""
        self._highest = max(number, self._highest or 0)

    def admit(self, number: int) -> Admitted | Fenced | FenceUnknown:
        """Return whether an order with this number may be carried out."""
        if self._highest is None:
            return FenceUnknown()
        if number < self._highest:
            return Fenced(highest=self._highest)
        self._highest = number
        return Admitted()
