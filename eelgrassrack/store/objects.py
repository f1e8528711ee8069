"""The calls and results of the platform's object API.

Each object has a kind, a name, a body of at most one megabyte and a version that
increases with each change.  The results are classes to `match` on.  A call raises
no exception for a failure of the platform.
"""

from typing import Protocol

import msgspec

MAX_BODY_BYTES = 1_000_000


class Found(msgspec.Struct, kw_only=True, frozen=True):
    """An object's body and version."""

    body: bytes
    version: int


class Absent(msgspec.Struct, kw_only=True, frozen=True):
    """The object doesn't exist."""


class Unchanged(msgspec.Struct, kw_only=True, frozen=True):
    """A watch ended without a change."""


class Written(msgspec.Struct, kw_only=True, frozen=True):
    """A write took effect and created this version."""

    version: int


class Conflict(msgspec.Struct, kw_only=True, frozen=True):
    """A conditional write met another version and changed nothing."""


class Names(msgspec.Struct, kw_only=True, frozen=True):
    """The names of the objects of a kind, sorted."""

    names: tuple[str, ...]


class Unavailable(msgspec.Struct, kw_only=True, frozen=True):
    """The platform gave no usable answer; retry after `retry_after` seconds.

    If `maybe_written` is set, the write may still have taken effect, and the writer
    must read the object to find out.
    """

    reason: str
    maybe_written: bool = False
    retry_after: float = 1.0


class ObjectStore(Protocol):
    """The calls of the object API that this project uses."""

    async def read(self, *, kind: str, name: str) -> Found | Absent | Unavailable:
        """Return an object."""

    async def create(
        self, *, kind: str, name: str, body: bytes
    ) -> Written | Conflict | Unavailable:
        """Create an object that must not exist yet."""

    async def replace(
        self, *, kind: str, name: str, body: bytes, version: int
    ) -> Written | Conflict | Unavailable:
        """Replace an object that must still have this version."""

    async def remove(
        self, *, kind: str, name: str, version: int
    ) -> Written | Conflict | Unavailable:
        """Delete an object that must still have this version."""

    async def watch(
        self, *, kind: str, name: str, version: int, timeout: float
    ) -> Found | Absent | Unchanged | Unavailable:
        """Wait until an object has another version than this one.

        `version` is zero for an object that didn't exist; `timeout` is in seconds.
        """

    async def find_names(self, *, kind: str, prefix: str) -> Names | Unavailable:
        """Return the names of a kind that start with `prefix`."""
