"""What the gateways' logs say of one request, and of what surrounded it.

A request's own lines tell which endpoints were tried and how each try ended.
The cause often stands beside them: an endpoint that was gone or started again,
other answers lost there, the store lost, the gateway stopping.  Lines of this
kind are taken from some seconds around the request's own.
"""

import pathlib
import re
from collections.abc import Iterable

import msgspec

from .settings import read_text

# Faults that end a request show within seconds before it, and an endpoint's
# entry is removed a few seconds after its crash.
BEFORE_SECONDS = 10.0
AFTER_SECONDS = 5.0

# Parts whose lines tell of the gateway as a whole.
WHOLE_PARTS = ("gateway:", "store:", "rollout:")

# Endpoints in a request's lines: "at NAME VERSION" and "by NAME,NAME after".
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
    """A request's lines and those beside them, in the order of time.

    `unread` counts lines that are no log lines, such as a last one that was cut.
    """

    request: str
    endpoints: tuple[str, ...]
    own: tuple[LogLine, ...]
    beside: tuple[LogLine, ...]
    unread: int

    def list_all(self) -> list[LogLine]:
        """Return all lines in the order of time."""
        return sorted((*self.own, *self.beside), key=lambda one: one.time)


def read_files(paths: Iterable[pathlib.Path]) -> tuple[list[LogLine], int]:
    """Return all files' log lines, and how many lines are none."""
    read = [read_lines(read_text(path), file=path.name) for path in paths]
    lines = [line for found, _ in read for line in found]
    return lines, sum(unread for _, unread in read)


def read_lines(text: str, *, file: str) -> tuple[list[LogLine], int]:
    """Return a file's log lines, and how many lines are none."""
    read = [_read_line(line, file) for line in text.splitlines() if line.strip()]
    found = [line for line in read if line is not None]
    return found, len(read) - len(found)


def trace_request(request: str, *, lines: Iterable[LogLine], unread: int = 0) -> Trace:
    """Return what log lines say of a request and of its surroundings."""
    lines = list(lines)
    named = re.compile(rf"\b{re.escape(request)}\b")
    own = [line for line in lines if named.search(line.message)]
    endpoints = tuple(dict.fromkeys(_list_endpoints(own)))
    files = {line.file for line in own}
    times = [line.time for line in own]
    beside = (
        [
            line
            for line in lines
            if line not in own
            and times[0] - BEFORE_SECONDS <= line.time <= times[-1] + AFTER_SECONDS
            and _is_beside(line, files, endpoints)
        ]
        if own
        else []
    )
    return Trace(
        request=request,
        endpoints=endpoints,
        own=tuple(own),
        beside=tuple(beside),
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


def _is_beside(line: LogLine, files: set[str], endpoints: tuple[str, ...]) -> bool:
    """Tell whether a line is of the request's gateway or of its endpoints."""
    if line.file in files and line.message.startswith(WHOLE_PARTS):
        return True
    if line.message.startswith("fleet:"):
        return line.file in files and any(name in line.message for name in endpoints)
    # Answers that others lost at the same endpoint.
    return any(f" at {name} " in line.message for name in endpoints)
