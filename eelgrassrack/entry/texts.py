"""Extracts the text of an answer for the rating service."""

import msgspec

from ..decoding import decode_json
from ..errors import FormatError


class Delta(msgspec.Struct, frozen=True):
    """The part of a message in one chunk."""

    content: str | None = None


class StreamChoice(msgspec.Struct, frozen=True):
    """One choice of a streamed chunk."""

    delta: Delta = Delta()


class Message(msgspec.Struct, frozen=True):
    """A complete message."""

    content: str | None = None


class PlainChoice(msgspec.Struct, frozen=True):
    """One choice of a body that isn't streamed."""

    message: Message = Message()


class PlainBody(msgspec.Struct, frozen=True):
    """The part of a body that holds the answer."""

    choices: list[PlainChoice] = []


def join_pieces(pieces: tuple[bytes, ...]) -> str:
    """Return the text of a streamed answer, or '' if it can't be parsed."""
    try:
        chunks = [decode_json(piece, kind=list[StreamChoice]) for piece in pieces]
    except FormatError:
        return ""
    deltas = (choice.delta.content for chunk in chunks for choice in chunk)
    return "".join(text for text in deltas if text)


def read_body(body: bytes) -> str:
    """Return the text of a plain body, or '' if it can't be parsed."""
    try:
        choices = decode_json(body, kind=PlainBody).choices
    except FormatError:
        return ""
    return "".join(choice.message.content or "" for choice in choices)
