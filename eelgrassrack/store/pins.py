"""Session pins, which keep each session that a caller names on one version.

A pin is an object that is created only if absent, so the first entry to see the
session decides and all others follow.  It is created at the session's first
request, even while the model has only one version.  If it were created only once
there are two, a session that started before would be assigned a version again and
might change it.

Store calls: one write for a new session; a write and a read if another entry has
pinned it; none while it is in the cache; a write a week while it is in use.  An
object takes some hundred bytes and is removed when its session hasn't been used
for `UNUSED_SECONDS`.
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

# How often a pin in use is rewritten, so that sweeps don't remove it.
REFRESH_SECONDS = 7 * DAY_SECONDS

# A session that hasn't been used for this long has ended.
UNUSED_SECONDS = 30 * DAY_SECONDS

# How many pins are cached, at 310 bytes each.
CACHED_PINS = 20_000


class Pin(msgspec.Struct, kw_only=True, frozen=True):
    """A session's version; `used_at` is in seconds since the epoch."""

    version: str
    used_at: float


class PinnedTo(msgspec.Struct, kw_only=True, frozen=True):
    """The session keeps this version."""

    version: str


class PinUnavailable(msgspec.Struct, kw_only=True, frozen=True):
    """The session's version is unknown, so its request must not run."""

    reason: str
    retry_after: float = 1.0


def make_pin_name(*, organisation: str, session: str, model: str) -> str:
    """Return the object name of a session's pin for a model."""
    parts = msgspec.msgpack.encode((organisation, session, model))
    return hashlib.sha256(parts).hexdigest()


class Pins:
    """Create and read session pins; `clock` is the wall clock."""

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
        """Return the version that the session is pinned to.

        A session without a pin is pinned to `version`.
        """
        name = make_pin_name(organisation=organisation, session=session, model=model)
        stored = self._cache.get(name)
        if stored is None:
            found = await self._create(name, version)
            if isinstance(found, PinUnavailable):
                return found
            stored = self._remember(name, found)
        self._cache.move_to_end(name)
        if self._clock() - stored.used_at > REFRESH_SECONDS:
            await self._refresh(name, stored)
        return PinnedTo(version=stored.version)

    async def _create(self, name: str, version: str) -> Pin | PinUnavailable:
        """Create the pin, or return the existing one."""
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
        """Cache a pin that the store confirmed; a cached version never changes."""
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
        """Store that the pin is in use; if that fails, the next use tries again."""
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
        """Remove pins that haven't been used for long, after checking at most `limit`.

        Each sweep continues where the last one ended.
        """
        names = await self._cursor.read_names(limit=limit)
        if isinstance(names, Unavailable):
            return names
        removed = [await self._remove_unused(name) for name in names]
        return Swept(looked_at=len(names), removed=sum(removed))

    async def _remove_unused(self, name: str) -> bool:
        """Remove a pin that hasn't been used for long; return whether it was removed.

        The removal is conditional, so the pin is kept if another entry refreshes it
        meanwhile.
        """
        found = await read_record(store=self._store, kind=KIND, name=name, record=Pin)
        if not isinstance(found, VersionedRecord):
            return False
        if self._clock() - found.record.used_at < UNUSED_SECONDS:
            return False
        result = await self._store.remove(kind=KIND, name=name, version=found.version)
        return isinstance(result, Written)
