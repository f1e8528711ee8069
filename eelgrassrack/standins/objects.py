"""A stand-in for the object API: an in-memory table with faults for tests."""

import asyncio
import collections
from collections.abc import Callable
from typing import NamedTuple

from ..store.objects import (
    MAX_BODY_BYTES,
    Absent,
    Conflict,
    Found,
    Names,
    Unavailable,
    Unchanged,
    Written,
)
from .waiting import ChangeNotifier

OUTAGE = "outage"
RATE_LIMITED = "rate limited"
TOO_LARGE = "too large"
ANSWER_LOST = "answer lost"


class Key(NamedTuple):
    """The kind and name that identify an object."""

    kind: str
    name: str


class CallKey(NamedTuple):
    """The caller and operation by which calls are counted."""

    caller: str
    operation: str


class ObjectTable:
    """Objects with versions; tests switch on faults by the public attributes.

    `outage` refuses all calls and ends all watches.  `delay` is the seconds before
    each call.  The answers of the next `lose_answers` writes are lost although the
    writes take effect.  `max_calls_per_second` limits the calls in each second of the
    clock; 0 means no limit.

    All versions come from one counter, so an object that is removed and created
    again never gets an old version.  `calls` counts the calls; a watch counts as one.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.delay = 0.0
        self.lose_answers = 0
        self.max_calls_per_second = 0
        self.calls: collections.Counter[CallKey] = collections.Counter()
        self._clock = clock
        self._outage = False
        self._objects: dict[Key, Found] = {}
        self._changes: dict[Key, ChangeNotifier] = {}
        self._version = 0
        self._second = 0
        self._calls_in_second = 0

    @property
    def outage(self) -> bool:
        """Return whether the object API is down."""
        return self._outage

    @outage.setter
    def outage(self, down: bool) -> None:
        self._outage = down
        for changes in self._changes.values():
            changes.notify()

    def count_calls(self, *, caller: str) -> int:
        """Return the number of calls that a caller has made."""
        return sum(count for call, count in self.calls.items() if call.caller == caller)

    def admit(self, *, caller: str, operation: str) -> Unavailable | None:
        """Count a call; return the reason if it is refused, else None."""
        self.calls[CallKey(caller, operation)] += 1
        if self._outage:
            return Unavailable(reason=OUTAGE)
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._calls_in_second = 0
        self._calls_in_second += 1
        if (
            self.max_calls_per_second
            and self._calls_in_second > self.max_calls_per_second
        ):
            return Unavailable(reason=RATE_LIMITED, retry_after=1.0)
        return None

    def read(self, *, key: Key) -> Found | Absent:
        """Return an object."""
        return self._objects.get(key, Absent())

    def create(self, *, key: Key, body: bytes) -> Written | Conflict | Unavailable:
        """Create an object; return a conflict if it exists."""
        if len(body) > MAX_BODY_BYTES:
            return Unavailable(reason=TOO_LARGE)
        if key in self._objects:
            return Conflict()
        return self._write(key=key, body=body)

    def replace(
        self, *, key: Key, body: bytes, version: int
    ) -> Written | Conflict | Unavailable:
        """Replace an object; return a conflict if it has another version."""
        if len(body) > MAX_BODY_BYTES:
            return Unavailable(reason=TOO_LARGE)
        if not self._has_version(key=key, version=version):
            return Conflict()
        return self._write(key=key, body=body)

    def remove(self, *, key: Key, version: int) -> Written | Conflict:
        """Delete an object; return a conflict if it has another version."""
        if not self._has_version(key=key, version=version):
            return Conflict()
        del self._objects[key]
        self._version += 1
        self._notify(key=key)
        return Written(version=self._version)

    def find_names(self, *, kind: str, prefix: str) -> Names:
        """Return the names of a kind that start with the prefix, sorted."""
        names = sorted(
            key.name
            for key in self._objects
            if key.kind == kind and key.name.startswith(prefix)
        )
        return Names(names=tuple(names))

    async def wait(self, *, key: Key, timeout: float) -> bool:
        """Wait until an object changes; return False after `timeout` seconds."""
        changes = self._changes.setdefault(key, ChangeNotifier())
        try:
            return await changes.wait(timeout=timeout)
        finally:
            if not changes.waiting and self._changes.get(key) is changes:
                del self._changes[key]

    def count_watches(self) -> int:
        """Return the number of watches that are waiting."""
        return sum(changes.waiting for changes in self._changes.values())

    def take_lost_answer(self) -> bool:
        """Return whether the answer of a write is lost, and count it down."""
        if not self.lose_answers:
            return False
        self.lose_answers -= 1
        return True

    def _has_version(self, *, key: Key, version: int) -> bool:
        current = self._objects.get(key)
        return current is not None and current.version == version

    def _write(self, *, key: Key, body: bytes) -> Written:
        self._version += 1
        self._objects[key] = Found(body=body, version=self._version)
        self._notify(key=key)
        return Written(version=self._version)

    def _notify(self, *, key: Key) -> None:
        if key in self._changes:
            self._changes[key].notify()


class TableStore:
    """An `ObjectStore` on a table in the same process."""

    __slots__ = ("_caller", "_table")

    def __init__(self, *, table: ObjectTable, caller: str) -> None:
        self._table = table
        self._caller = caller

    async def read(self, *, kind: str, name: str) -> Found | Absent | Unavailable:
        """Return an object."""
        refusal = await self._begin("read")
        return refusal or self._table.read(key=Key(kind, name))

    async def create(
        self, *, kind: str, name: str, body: bytes
    ) -> Written | Conflict | Unavailable:
        """Create an object; return a conflict if it exists."""
        refusal = await self._begin("create")
        if refusal:
            return refusal
        return self._end(self._table.create(key=Key(kind, name), body=body))

    async def replace(
        self, *, kind: str, name: str, body: bytes, version: int
    ) -> Written | Conflict | Unavailable:
        """Replace an object; return a conflict if it has another version."""
        refusal = await self._begin("replace")
        if refusal:
            return refusal
        key = Key(kind, name)
        return self._end(self._table.replace(key=key, body=body, version=version))

    async def remove(
        self, *, kind: str, name: str, version: int
    ) -> Written | Conflict | Unavailable:
        """Delete an object; return a conflict if it has another version."""
        refusal = await self._begin("remove")
        if refusal:
            return refusal
        return self._end(self._table.remove(key=Key(kind, name), version=version))

    async def watch(
        self, *, kind: str, name: str, version: int, timeout: float
    ) -> Found | Absent | Unchanged | Unavailable:
        """Wait until an object has another version than `version`.

        `timeout` is in seconds.
        """
        refusal = await self._begin("watch")
        if refusal:
            return refusal
        key = Key(kind, name)
        changed = True
        while changed:
            match self._table.read(key=key):
                case Found() as found if found.version != version:
                    return found
                case Absent() as absent if version:
                    return absent
            changed = await self._table.wait(key=key, timeout=timeout)
            if self._table.outage:
                return Unavailable(reason=OUTAGE)
        return Unchanged()

    async def find_names(self, *, kind: str, prefix: str) -> Names | Unavailable:
        """Return the names of a kind that start with `prefix`."""
        refusal = await self._begin("find_names")
        return refusal or self._table.find_names(kind=kind, prefix=prefix)

    async def _begin(self, operation: str) -> Unavailable | None:
        if self._table.delay:
            await asyncio.sleep(self._table.delay)
        return self._table.admit(caller=self._caller, operation=operation)

    def _end(
        self, result: Written | Conflict | Unavailable
    ) -> Written | Conflict | Unavailable:
        if self._table.take_lost_answer():
            return Unavailable(reason=ANSWER_LOST, maybe_written=True)
        return result
