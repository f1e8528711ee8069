"""Decoding of data from outside this process, with one typed error.

Malformed data makes the decoders raise errors of several types: `RecursionError` for
deep nesting isn't one of their own.  One that nobody expects ends the task that reads.
"""

import functools
from typing import Any

import msgspec

from .errors import FormatError

MAX_REASON_CHARACTERS = 160

# `ValueError` includes `UnicodeDecodeError`, which some versions of msgspec raise.
DECODER_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError, OverflowError)


def decode_json(data: bytes | bytearray | msgspec.Raw, *, kind: Any) -> Any:
    """Decode JSON as a type; raise `FormatError`."""
    try:
        return _make_json_decoder(kind).decode(data)
    except DECODER_ERRORS as error:
        raise FormatError(describe_error(error)) from error


def decode_msgpack(data: bytes, *, kind: Any) -> Any:
    """Decode MessagePack as a type; raise `FormatError`."""
    try:
        return _make_msgpack_decoder(kind).decode(data)
    except DECODER_ERRORS as error:
        raise FormatError(describe_error(error)) from error


@functools.cache
def _make_json_decoder(kind: Any) -> msgspec.json.Decoder:
    return msgspec.json.Decoder(kind)


@functools.cache
def _make_msgpack_decoder(kind: Any) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(kind)


def describe_error(error: Exception) -> str:
    """Return a decoder's error as a short text."""
    if isinstance(error, RecursionError):
        return "nested too deeply"
    return str(error)[:MAX_REASON_CHARACTERS]
