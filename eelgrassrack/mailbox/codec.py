"""Parcels as MessagePack bytes and back."""

import msgspec

from .errors import MailboxError
from .messages import PROTOCOL, MessageBatch

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MessageBatch)


def encode_batch(batch: MessageBatch) -> bytes:
    """Return a parcel as bytes."""
    return _encoder.encode(batch)


def decode_batch(data: bytes) -> MessageBatch:
    """Return the parcel that the bytes hold.

    Raise `MailboxError` for bytes of another protocol or of none.
    """
    try:
        batch = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MailboxError(f"a parcel can't be read: {error}") from error
    if batch.protocol != PROTOCOL:
        raise MailboxError(f"a parcel of protocol {batch.protocol} came")
    return batch
