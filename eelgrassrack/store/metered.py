"""A wrapper that counts and times the calls to an object store."""

from collections.abc import Awaitable
from typing import TypeVar

from ..metrics import (
    PLATFORM_CALLS,
    PLATFORM_TIME,
    PLATFORM_UNAVAILABLE,
    Metrics,
)
from .objects import (
    Absent,
    Conflict,
    Found,
    Names,
    ObjectStore,
    Unavailable,
    Unchanged,
    Written,
)

Result = TypeVar("Result")


class MeteredStore:
    """Forward calls to a store and report metrics; watches aren't timed."""

    __slots__ = ("_metrics", "_store")

    def __init__(self, *, store: ObjectStore, metrics: Metrics) -> None:
        self._metrics = metrics
        self._store = store

    async def read(self, *, kind: str, name: str) -> Found | Absent | Unavailable:
        """Return an object."""
        return await self._time("read", self._store.read(kind=kind, name=name))

    async def create(
        self, *, kind: str, name: str, body: bytes
    ) -> Written | Conflict | Unavailable:
        """Create an object that must not exist yet."""
        call = self._store.create(kind=kind, name=name, body=body)
        return await self._time("create", call)

    async def replace(
        self, *, kind: str, name: str, body: bytes, version: int
    ) -> Written | Conflict | Unavailable:
        """Replace an object that must still have this version."""
        call = self._store.replace(kind=kind, name=name, body=body, version=version)
        return await self._time("replace", call)

    async def remove(
        self, *, kind: str, name: str, version: int
    ) -> Written | Conflict | Unavailable:
        """Delete an object that must still have this version."""
        call = self._store.remove(kind=kind, name=name, version=version)
        return await self._time("remove", call)

    async def watch(
        self, *, kind: str, name: str, version: int, timeout: float
    ) -> Found | Absent | Unchanged | Unavailable:
        """Wait until an object has another version than this one."""
        result = await self._store.watch(
            kind=kind, name=name, version=version, timeout=timeout
        )
        self._count("watch", result)
        return result

    async def find_names(self, *, kind: str, prefix: str) -> Names | Unavailable:
        """Return the names of a kind that start with `prefix`."""
        call = self._store.find_names(kind=kind, prefix=prefix)
        return await self._time("find_names", call)

    async def _time(self, name: str, call: Awaitable[Result]) -> Result:
        with self._metrics.measure(PLATFORM_TIME):
            result = await call
        self._count(name, result)
        return result

    def _count(self, name: str, result: object) -> None:
        self._metrics.count(PLATFORM_CALLS, label=name)
        if isinstance(result, Unavailable):
            self._metrics.count(PLATFORM_UNAVAILABLE)
