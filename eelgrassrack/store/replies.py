"""Paths of the object API, and conversion of its responses into typed results."""

import re
from urllib.parse import quote

from ..counts import read_count
from ..decoding import decode_json
from ..errors import FormatError
from .http import Answer
from .objects import Absent, Conflict, Found, Names, Unavailable, Written

# Longer times, as of a garbled header, would keep a daemon from the store.
MAX_RETRY_AFTER_SECONDS = 3_600.0


def make_path(kind: str, name: str) -> str:
    """Return an object's path; slashes in its name are percent-encoded."""
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def read_version(answer: Answer) -> int | None:
    """Return the version from a response's `ETag` header, or None."""
    found = re.fullmatch(r'"(.*)"', answer.headers.get("etag", ""))
    return read_count(found.group(1)) if found else None


def read_object(answer: Answer | Unavailable) -> Found | Absent | Unavailable:
    """Convert the response to a read into a result."""
    match answer:
        case Unavailable():
            return answer
        case Answer(status=404):
            return Absent()
        case Answer(status=200, body=body):
            version = read_version(answer)
            if version is None:
                return Unavailable(reason="an object without a version")
            return Found(body=body, version=version)
        case _:
            return make_unavailable(answer)


def read_write(answer: Answer | Unavailable) -> Written | Conflict | Unavailable:
    """Convert the response to a conditional write into a result."""
    match answer:
        case Unavailable():
            return answer
        case Answer(status=412):
            return Conflict()
        case Answer(status=200 | 201 | 204):
            version = read_version(answer)
            if version is None:
                return Unavailable(
                    reason="a write without a version", maybe_written=True
                )
            return Written(version=version)
        case _:
            return make_unavailable(answer)


def read_names(body: bytes) -> Names | Unavailable:
    """Decode a list of names."""
    try:
        names = decode_json(body, kind=tuple[str, ...])
    except FormatError as error:
        return Unavailable(reason=f"a list that can't be read: {error}")
    return Names(names=names)


def make_unavailable(answer: Answer) -> Unavailable:
    """Convert an error response into a result."""
    reason = f"status {answer.status}"
    try:
        retry_after = float(answer.headers["retry-after"])
    except (KeyError, ValueError):
        return Unavailable(reason=reason)
    if not 0.0 <= retry_after <= MAX_RETRY_AFTER_SECONDS:
        return Unavailable(reason=reason)
    return Unavailable(reason=reason, retry_after=retry_after)
