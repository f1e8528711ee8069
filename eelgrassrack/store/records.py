"""Typed records in the object API, written so that a lost answer is noticed.

A write's answer can be lost after the write took effect.  Whoever takes
that for a failure and writes anew does the thing twice; whoever takes it
for a success may have done nothing.  `put_record` therefore reads back
and recognises its own write by a mark in the record that nobody else's
record has.
"""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec

from .errors import StoreError
from .objects import (
    MAX_BODY_BYTES,
    Absent,
    Conflict,
    Found,
    ObjectStore,
    Unavailable,
    Written,
)

Record = TypeVar("Record", bound=msgspec.Struct)

# The version that stands for "must not exist yet".
NEW = 0

# A store whose answers get lost more often than this in a row is down.
WRITE_TRIES = 3

_encoder = msgspec.msgpack.Encoder()


class VersionedRecord(msgspec.Struct, Generic[Record], kw_only=True, frozen=True):
    """A record and the version of its object."""

    record: Record
    version: int


class RecordWritten(msgspec.Struct, kw_only=True, frozen=True):
    """The write took effect and the object still holds it."""

    version: int


class RecordConflict(msgspec.Struct, Generic[Record], kw_only=True, frozen=True):
    """The object holds another record than the writer's.

    The writer's own may have stood there for a while before, unless
    `tried` is false.
    """

    found: VersionedRecord[Record] | Absent
    tried: bool = False


def encode_record(record: msgspec.Struct) -> bytes:
    """Return a record as bytes, raising `StoreError` when it is too large."""
    body = _encoder.encode(record)
    if len(body) > MAX_BODY_BYTES:
        raise StoreError(f"a {type(record).__name__} of {len(body)} bytes is too large")
    return body


def decode_record(body: bytes, kind: type[Record]) -> Record | None:
    """Return the record that the bytes hold, or None if they hold none."""
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


async def read_record(
    *, store: ObjectStore, kind: str, name: str, record: type[Record]
) -> VersionedRecord[Record] | Absent | Unavailable:
    """Return an object as a typed record."""
    match await store.read(kind=kind, name=name):
        case Found(body=body, version=version):
            read = decode_record(body, record)
            if read is None:
                return Unavailable(reason=f"{kind} {name} can't be read")
            return VersionedRecord(record=read, version=version)
        case Absent() | Unavailable() as other:
            return other


async def put_record(
    *,
    store: ObjectStore,
    kind: str,
    name: str,
    record: Record,
    version: int,
    is_own: Callable[[Any], bool],
) -> RecordWritten | RecordConflict[Record] | Unavailable:
    """Create the object (version `NEW`) or replace it at a version.

    `is_own` recognises this very write in a record read back.  After an
    unclear answer the same write is sent again: it can't take effect
    twice, because the first time changes the version.
    """
    body = encode_record(record)
    unclear = False
    last = Unavailable(reason="not tried")
    for _ in range(WRITE_TRIES):
        match await _write(store, kind, name, body, version):
            case Written(version=written):
                return RecordWritten(version=written)
            case Unavailable(maybe_written=False) as last if not unclear:
                return last
            case Unavailable() as last:
                unclear = True
            case Conflict():
                pass
        match await read_record(store=store, kind=kind, name=name, record=type(record)):
            case VersionedRecord(record=found, version=at) if is_own(found):
                return RecordWritten(version=at)
            case VersionedRecord(version=at) as found if at != version:
                return RecordConflict(found=found, tried=unclear)
            case Absent() as found if version != NEW:
                return RecordConflict(found=found, tried=unclear)
            case Unavailable() as last:
                pass
    return Unavailable(
        reason=last.reason, maybe_written=unclear, retry_after=last.retry_after
    )


async def _write(
    store: ObjectStore, kind: str, name: str, body: bytes, version: int
) -> Written | Conflict | Unavailable:
    """Send one conditional write."""
    if version == NEW:
        return await store.create(kind=kind, name=name, body=body)
    return await store.replace(kind=kind, name=name, body=body, version=version)
