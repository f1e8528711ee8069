"""Session pins: which version a session that a caller named keeps.

The pin is an object created if absent, so that the first entry to see
the session decides, and every other goes by it.  It is made at first
sight, also while the model has only one version: made only once there
are two, a session begun before would be drawn anew and might move.

Store calls: one write for a new session; a write and a read when another
entry has pinned it; none while it is in the cache; a write a week while
it is in use.  An object has some hundred bytes and is removed when its
session hasn't been used for `UNUSED_SECONDS`.
"""

import collections
import hashlib
import time
from collections.abc import Callable

import msgspec

from ..invariants import Invariants, Promise
from .objects import ObjectStore, Unavailable, Written
from .records import (
    NEW,
    RecordConflict,
    RecordWritten,
    VersionedRecord,
    put_record,
    read_record,
)
from .sweeping import Cursor, Swept
from .tokens import BadToken as BadToken
from .tokens import TokenRead as TokenRead
from .tokens import read_token as read_token
from .tokens import sign_token as sign_token

KIND = "pins"

DAY_SECONDS = 24 * 3600.0

# A pin in use is written again this often, so that sweeps leave it alone.
REFRESH_SECONDS = 7 * DAY_SECONDS

# A session is over when it hasn't been used for this long.
UNUSED_SECONDS = 30 * DAY_SECONDS

# Pins kept in memory: 310 bytes each (measured).
CACHED_PINS = 20_000


class Pin(msgspec.Struct, kw_only=True, frozen=True):
    """A session's version; `used_at` is in seconds since the epoch."""

    version: str
    used_at: float


class PinnedTo(msgspec.Struct, kw_only=True, frozen=True):
    """The session keeps this version."""

    version: str


class PinUnavailable(msgspec.Struct, kw_only=True, frozen=True):
    """The session's version can't be told; its request must not run."""

    reason: str
    retry_after: float = 1.0


def pin_name(*, organisation: str, session: str, model: str) -> str:
    """Return the name of a session's pin for a model."""
    parts = msgspec.msgpack.encode((organisation, session, model))
    return hashlib.sha256(parts).hexdigest()


class Pins:
    """Pin sessions and recall their pins; `clock` is the wall clock."""

    __slots__ = ("_cache", "_capacity", "_clock", "_cursor", "_invariants", "_store")

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Callable[[], float] = time.time,
        invariants: Invariants | None = None,
        capacity: int = CACHED_PINS,
    ) -> None:
        self._store = store
        self._clock = clock
        self._invariants = invariants or Invariants()
        self._capacity = capacity
        self._cursor = Cursor(store=store, kind=KIND)
        self._cache: collections.OrderedDict[str, Pin] = collections.OrderedDict()

    async def pin(
        self, *, organisation: str, session: str, model: str, version: str
    ) -> PinnedTo | PinUnavailable:
        """Return the session's version, which is this one if it has none."""
        name = pin_name(organisation=organisation, session=session, model=model)
        known = self._cache.get(name)
        if known is None:
            found = await self._create(name, version)
            if isinstance(found, PinUnavailable):
                return found
            known = self._remember(name, found)
        self._cache.move_to_end(name)
        if self._clock() - known.used_at > REFRESH_SECONDS:
            await self._refresh(name, known)
        return PinnedTo(version=known.version)

    async def _create(self, name: str, version: str) -> Pin | PinUnavailable:
        """Make the pin, or return the one that is there."""
        pin = Pin(version=version, used_at=self._clock())
        result = await put_record(
            store=self._store,
            kind=KIND,
            name=name,
            record=pin,
            version=NEW,
            is_own=pin.__eq__,
        )
        match result:
            case RecordWritten():
                return pin
            case RecordConflict(found=VersionedRecord(record=found)):
                return found
            case Unavailable(reason=reason, retry_after=retry_after):
                return PinUnavailable(reason=reason, retry_after=retry_after)
        return PinUnavailable(reason="the pin was just removed")

    def _remember(self, name: str, pin: Pin) -> Pin:
        """Keep a pin that the store confirmed, and never change its version."""
        before = self._cache.setdefault(name, pin)
        self._invariants.check(
            Promise.SESSION,
            before.version == pin.version,
            f"pin {name} moves from {before.version} to {pin.version}",
        )
        if len(self._cache) > self._capacity:
            self._cache.popitem(last=False)
        return before

    async def _refresh(self, name: str, pin: Pin) -> None:
        """Write that the pin is in use; if that fails, the next use tries."""
        fresh = msgspec.structs.replace(pin, used_at=self._clock())
        found = await read_record(store=self._store, kind=KIND, name=name, record=Pin)
        if isinstance(found, Unavailable):
            return
        if isinstance(found, VersionedRecord) and found.record.version != pin.version:
            detail = f"pin {name} moved from {pin.version} to {found.record.version}"
            self._invariants.check(Promise.SESSION, False, detail)
            return
        result = await put_record(
            store=self._store,
            kind=KIND,
            name=name,
            record=fresh,
            version=found.version if isinstance(found, VersionedRecord) else NEW,
            is_own=fresh.__eq__,
        )
        if isinstance(result, RecordWritten) and name in self._cache:
            self._cache[name] = fresh

    async def sweep(self, *, limit: int) -> Swept | Unavailable:
        """Remove pins that weren't used for long, looking at `limit` at most.

        Each sweep goes on where the last one ended.
        """
        names = await self._cursor.read_names(limit=limit)
        if isinstance(names, Unavailable):
            return names
        removed = [await self._remove_unused(name) for name in names]
        return Swept(looked_at=len(names), removed=sum(removed))

    async def _remove_unused(self, name: str) -> bool:
        """Remove a pin that wasn't used for long.

        The removal is conditional, so that a refresh by another entry in
        the meantime keeps the pin.
        """
        found = await read_record(store=self._store, kind=KIND, name=name, record=Pin)
        if not isinstance(found, VersionedRecord):
            return False
        if self._clock() - found.record.used_at < UNUSED_SECONDS:
            return False
        result = await self._store.remove(kind=KIND, name=name, version=found.version)
        return isinstance(result, Written)
