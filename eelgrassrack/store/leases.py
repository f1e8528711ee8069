"""Leases with fencing numbers for orders to engines.

A lease says who may order an engine about.  Instances share no clock, so
its length is a duration: who wants a lease that another holds waits until
he has seen it unchanged for its whole duration by his own clock, and the
holder counts its duration from before the write that gave it.

A holder that was paused past its lease doesn't know it until it looks at
its clock, and may be paused again right after.  So each order carries a
fencing number, the version of the lease's object, and whoever takes
orders refuses a lower number than the highest it has seen.  For engines
that don't check, their agent does, by `Fence`.

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

# The holder stops this share of the duration before its lease ends, for
# clocks that don't run at the same speed.
MARGIN = 0.1


class Lease(msgspec.Struct, kw_only=True, frozen=True):
    """Who holds a lease and for how many seconds from this write on.

    `write` names the write, so that its lost answer is made good.
    """

    holder: str
    duration: float
    write: str


class HeldLease(msgspec.Struct, kw_only=True, frozen=True):
    """A lease held until `until` by the holder's own monotonic clock."""

    name: str
    holder: str
    duration: float
    fence: int
    until: float

    def is_valid(self, *, now: float) -> bool:
        """Tell whether the holder may still give orders.

        Ask right before each order: after a pause the answer is no.
        """
        return now < self.until


class LeaseTaken(msgspec.Struct, kw_only=True, frozen=True):
    """Somebody else holds the lease; try again after `wait` seconds."""

    holder: str
    wait: float


class Released(msgspec.Struct, kw_only=True, frozen=True):
    """The lease is free, or somebody else's by now."""


class _Sight(msgspec.Struct, kw_only=True, frozen=True):
    """Since when a lease has been seen at a version."""

    version: int
    since: float


class Leases:
    """Acquire, renew and release leases.

    A holder is named by its incarnation, which a restarted process changes.
    `clock` is monotonic; `make_id` returns a text that nobody else makes.
    """

    __slots__ = ("_clock", "_make_id", "_sights", "_store")

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
        self._sights: dict[str, _Sight] = {}

    async def acquire(
        self, *, name: str, holder: str, duration: float
    ) -> HeldLease | LeaseTaken | Unavailable:
        """Take a lease that is free or has lapsed."""
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
        """Hold a lease for its duration from now on.

        After `Unavailable` the lease is good for as long as it was before.
        A renewal whose answer was lost is found at another version; it is
        renewed from there, counting from the new write.
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
        """Give a lease back before it lapses.

        The object stays, without a holder: made anew, it might start at a
        low version, and the next holder's orders would be refused.
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
        """Return how many seconds the lease has to be seen unchanged yet."""
        if not lease.holder:
            return 0.0
        now = self._clock()
        sight = self._sights.get(name)
        if sight is None or sight.version != version:
            sight = self._sights[name] = _Sight(version=version, since=now)
        return sight.since + lease.duration - now

    async def _write(
        self, name: str, holder: str, duration: float, version: int
    ) -> HeldLease | LeaseTaken | Unavailable:
        """Write the lease and count its duration from before the write."""
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
                self._sights.pop(name, None)
                log.info("leases: held: {} by {}: {}", name, holder, fence)
                return HeldLease(
                    name=name,
                    holder=holder,
                    duration=duration,
                    fence=fence,
                    until=before + duration * (1 - MARGIN),
                )
            case RecordConflict(found=VersionedRecord(record=other)):
                return LeaseTaken(holder=other.holder, wait=other.duration)
            case Unavailable():
                return result
        return LeaseTaken(holder="", wait=0.0)


class Admitted(msgspec.Struct, kw_only=True, frozen=True):
    """The order may be carried out."""


class Fenced(msgspec.Struct, kw_only=True, frozen=True):
    """The order comes from a holder that was replaced since."""

    highest: int


class FenceUnknown(msgspec.Struct, kw_only=True, frozen=True):
    """The highest number has to be learned before any order is taken."""


class Fence:
    """Refuse orders with an old fencing number, for one engine.

    A fence that was just made knows no number.  Taking the first order
    for the newest, a restarted agent would carry out what a paused holder
    sends after its successor's orders; so it has to learn the lease's
    version first.
    """

    __slots__ = ("_highest",)

    def __init__(self) -> None:
        self._highest: int | None = None

    def learn(self, number: int) -> None:
        """Take note of a fencing number read from the lease itself."""
        self._highest = max(number, self._highest or 0)

    def admit(self, number: int) -> Admitted | Fenced | FenceUnknown:
        """Tell whether an order of this number may be carried out."""
        if self._highest is None:
            return FenceUnknown()
        if number < self._highest:
            return Fenced(highest=self._highest)
        self._highest = number
        return Admitted()
