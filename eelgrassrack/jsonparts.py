"""Split JSON into its outermost parts, which are decoded one by one.

A decoder reads an array as a whole, so one element that it can't read hides the others.
Here an element may hold anything, nested at any depth, that keeps brackets and
quotation marks in pairs.
"""

import re
from collections.abc import Iterator

from .decoding import decode_json
from .errors import FormatError

TEXT = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'

# An array or object that holds no other.
PLAIN = rb'(?:[^"\[\]{}]++|' + TEXT + rb")*+"
LEAF = rb"\[" + PLAIN + rb"\]|\{" + PLAIN + rb"\}"

# What comes before the next brackets, and these, with and without commas.
SHALLOW = re.compile(
    rb'(?:[^"\[\]{},]++|' + TEXT + rb"|" + LEAF + rb")*+([\[{]+|[\]}]+|,)", re.DOTALL
)
DEEP = re.compile(
    rb'(?:[^"\[\]{}]++|' + TEXT + rb"|" + LEAF + rb")*+([\[{]+|[\]}]+)", re.DOTALL
)

MEMBER = re.compile(rb"[ \t\r\n]*+(" + TEXT + rb")[ \t\r\n]*+:", re.DOTALL)

SPACE = b" \t\r\n"
COMMA = b","
NULL = b"null"
OPENING = b"[{"

# Deeper values can't be decoded.  Sound ones of the platform have six levels at most.
MAX_DEPTH = 64

# Stands for a value that is nested too deeply.  It isn't JSON.
TOO_DEEP = b"nested too deeply"

UNPAIRED = "brackets or quotation marks that aren't in pairs"


def cut_deep(data: bytes) -> bytes:
    """Return JSON with `TOO_DEEP` in place of what is nested too deeply.

    Raise `FormatError` if brackets or quotation marks aren't in pairs.
    """
    kept = []
    begin = position = depth = 0
    while found := DEEP.match(data, position):
        token = found[1]
        position = found.end()
        before = depth
        depth += len(token) if token[0] in OPENING else -len(token)
        if before <= MAX_DEPTH < depth:
            kept += [data[begin : found.start(1) + MAX_DEPTH - before], TOO_DEEP]
        elif depth <= MAX_DEPTH < before:
            begin = found.start(1) + before - MAX_DEPTH
        if depth < 0:
            break
    if depth:
        raise FormatError(UNPAIRED)
    return b"".join([*kept, data[begin:]])


def split_array(data: bytes) -> list[bytes]:
    """Return the elements of an array; raise `FormatError` if there is none."""
    return _split(data, b"[", b"]")


def split_object(data: bytes) -> dict[str, bytes]:
    """Return the members of an object; raise `FormatError` if there is none."""
    return dict(map(_split_member, _split(data, b"{", b"}")))


def find_name(data: bytes) -> str:
    """Return the member `name` of an object that can't be decoded, empty if none."""
    try:
        return decode_json(split_object(data).get("name", NULL), kind=str)
    except FormatError:
        return ""


def _split_member(part: bytes) -> tuple[str, bytes]:
    found = MEMBER.match(part)
    if found is None:
        raise FormatError("an object's member without a name")
    return decode_json(found[1], kind=str), part[found.end() :]


def _split(data: bytes, opening: bytes, closing: bytes) -> list[bytes]:
    stripped = data.strip(SPACE)
    if not stripped.startswith(opening) or not stripped.endswith(closing):
        raise FormatError("not an array or object, or cut off")
    parts = list(_find_parts(stripped))
    return [] if len(parts) == 1 and not parts[0].strip(SPACE) else parts


def _find_parts(data: bytes) -> Iterator[bytes]:
    """Yield what is between the outermost brackets, split at its commas."""
    begin = position = 1
    depth = 1
    while found := (SHALLOW if depth == 1 else DEEP).match(data, position):
        token = found[1]
        position = found.end()
        if token == COMMA:
            yield data[begin : found.start(1)]
            begin = position
        elif token[0] in OPENING:
            depth += len(token)
        elif len(token) < depth:
            depth -= len(token)
        else:
            end = found.start(1) + depth - 1
            if end != len(data) - 1:
                break
            yield data[begin:end]
            return
    raise FormatError(UNPAIRED)
