"""Finds the gateways' log lines about one request, and related lines.

The lines of the request itself show which endpoints were tried and how each attempt
ended.  The cause is often in other lines: an endpoint disappeared or restarted, other
requests lost answers there, the gateway lost the store or was stopping.  Such lines
are included if they were logged within a few seconds of the request's lines.
"""

import pathlib
import re
from collections.abc import Iterable

import msgspec

from .settings import read_text

# Faults that end a request are logged within seconds before it, and an endpoint's
# entry is removed a few seconds after its crash.
BEFORE_SECONDS = 10.0
AFTER_SECONDS = 5.0

# Prefixes of lines that concern all requests of a gateway.
GATEWAY_PREFIXES = ("gateway:", "store:", "rollout:")

# Endpoint names in a request's lines: "at NAME VERSION" and "by NAME,NAME after".
AT_ENDPOINT = re.compile(r" at (\S+) ")
BY_ENDPOINTS = re.compile(r" by (\S+) after ")


class LogLine(msgspec.Struct, kw_only=True, frozen=True):
    """One line of a gateway's log; `time` is Unix seconds."""

    time: float
    message: str
    level: str = ""
    file: str = ""
    error: str = ""
    fields: dict[str, str | int | float | None] = {}


class Trace(msgspec.Struct, kw_only=True, frozen=True):
    """The log lines of a request and the related lines, in the order they were read.

    `unread` is the number of lines that could not be decoded, such as a truncated
    last line.
    """

    request: str
    endpoints: tuple[str, ...]
    own: tuple[LogLine, ...]
    related: tuple[LogLine, ...] = msgspec.field(name="beside")
    unread: int

    def list_all(self) -> list[LogLine]:
        """Return all lines ordered by time."""
        return sorted((*self.own, *self.related), key=lambda line: line.time)


def read_files(paths: Iterable[pathlib.Path]) -> tuple[list[LogLine], int]:
    """Return the log lines of all files and the number of undecodable lines."""
    read = [read_lines(read_text(path), file=path.name) for path in paths]
    lines = [line for found, _ in read for line in found]
    return lines, sum(unread for _, unread in read)


def read_lines(text: str, *, file: str) -> tuple[list[LogLine], int]:
    """Return the log lines of one file and the number of undecodable lines."""
    read = [_read_line(line, file) for line in text.splitlines() if line.strip()]
    found = [line for line in read if line is not None]
    return found, len(read) - len(found)


def trace_request(request: str, *, lines: Iterable[LogLine], unread: int = 0) -> Trace:
    """Return the lines that name the request and the lines related to it."""
    lines = list(lines)
    named = re.compile(rf"\b{re.escape(request)}\b")
    own = [line for line in lines if named.search(line.message)]
    endpoints = tuple(dict.fromkeys(_list_endpoints(own)))
    files = {line.file for line in own}
    times = [line.time for line in own]
    related = (
        [
            line
            for line in lines
            if line not in own
            and times[0] - BEFORE_SECONDS <= line.time <= times[-1] + AFTER_SECONDS
            and _is_related(line, files, endpoints)
        ]
        if own
        else []
    )
    return Trace(
        request=request,
        endpoints=endpoints,
        own=tuple(own),
        related=tuple(related),
        unread=unread,
    )


def _read_line(line: str, file: str) -> LogLine | None:
    try:
        found = msgspec.json.decode(line, type=LogLine)
    except msgspec.DecodeError:
        return None
    return msgspec.structs.replace(found, file=file)


def _list_endpoints(lines: Iterable[LogLine]) -> Iterable[str]:
    for line in lines:
        yield from AT_ENDPOINT.findall(line.message)
        for names in BY_ENDPOINTS.findall(line.message):
            yield from names.split(",")


def _is_related(line: LogLine, files: set[str], endpoints: tuple[str, ...]) -> bool:
    """Return whether a line concerns the request's gateway or one of its endpoints."""
    if line.file in files and line.message.startswith(GATEWAY_PREFIXES):
        return True
    if line.message.startswith("fleet:"):
        return line.file in files and any(name in line.message for name in endpoints)
    # Attempts of other requests at the same endpoint, such as answers lost there.
    return any(f" at {name} " in line.message for name in endpoints)
