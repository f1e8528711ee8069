"""Typed records in the object API, with writes that cope with lost answers.

The answer to a write can be lost after the write took effect.  A writer that
assumes failure and writes again acts twice; one that assumes success may not have
acted at all.  `put_record` therefore reads the object back, and recognises its own
write by content that no other writer's record has.
"""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec

from ..decoding import decode_msgpack
from ..errors import FormatError
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

# Passed as a version, this means that the object must not exist yet.
NEW = 0

# A store that loses this many answers in a row is considered down.
WRITE_TRIES = 3

_encoder = msgspec.msgpack.Encoder()


class VersionedRecord(msgspec.Struct, Generic[Record], kw_only=True, frozen=True):
    """A record and the version of its object."""

    record: Record
    version: int


class RecordWritten(msgspec.Struct, kw_only=True, frozen=True):
    """The write took effect and the object still holds the record."""

    version: int


class RecordConflict(msgspec.Struct, Generic[Record], kw_only=True, frozen=True):
    """The object holds a different record than the writer's, or is gone.

    If `tried` is true, the writer's record may have been stored for a while and
    then replaced.
    """

    found: VersionedRecord[Record] | Absent
    tried: bool = False


def encode_record(record: msgspec.Struct) -> bytes:
    """Encode a record; raise `StoreError` if it is too large."""
    body = _encoder.encode(record)
    if len(body) > MAX_BODY_BYTES:
        raise StoreError(f"a {type(record).__name__} of {len(body)} bytes is too large")
    return body


def decode_record(body: bytes, kind: type[Record]) -> Record | None:
    """Decode a record; return None if the bytes are malformed."""
    try:
        return decode_msgpack(body, kind=kind)
    except FormatError:
        return None


async def read_record(
    *, store: ObjectStore, kind: str, name: str, record: type[Record]
) -> VersionedRecord[Record] | Absent | Unavailable:
    """Read an object as a typed record."""
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

    `is_own` returns whether a record that was read back is from this write.  If it
    is unclear whether the write took effect, it is sent again.  It can't take
    effect twice, because the first time changes the version.
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
