"""Encode message batches as MessagePack, and decode them."""

import msgspec

from ..addresses import check_mailbox
from ..decoding import decode_msgpack
from ..errors import FormatError
from .errors import MailboxError
from .messages import PROTOCOL, MessageBatch

_encoder = msgspec.msgpack.Encoder()


def encode_batch(batch: MessageBatch) -> bytes:
    """Return a message batch as bytes."""
    return _encoder.encode(batch)


def decode_batch(data: bytes) -> MessageBatch:
    """Return the message batch that the bytes encode.

    Raise `MailboxError` if the bytes are invalid or of another protocol version.
    """
    try:
        batch = decode_msgpack(data, kind=MessageBatch)
    except FormatError as error:
        raise MailboxError(f"can't decode a message batch: {error}") from error
    if batch.protocol != PROTOCOL:
        raise MailboxError(f"a message batch of protocol {batch.protocol} came")
    try:
        check_mailbox(batch.address)
    except FormatError as error:
        raise MailboxError(f"no address to answer to: {error}") from error
    return batch
