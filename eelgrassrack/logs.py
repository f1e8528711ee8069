"""How the daemons log: text for people or one JSON object a line.

Log messages start with a fixed prefix for their part.  The id of the
request at hand is kept in a context variable, so that every record
written while the request is served carries it, whichever part writes.
"""

import contextvars
import os
import sys
import time
from typing import TextIO

import logbook
import msgspec

from .settings import LogSettings

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name:<8} "
    "{record.extra[request]} {record.message}"
)
NO_REQUEST = "-"

_request: contextvars.ContextVar[str] = contextvars.ContextVar(
    "request", default=NO_REQUEST
)


class Line(msgspec.Struct, kw_only=True, frozen=True, omit_defaults=True):
    """One record as JSON; `time` is UTC in ISO 8601."""

    time: str
    level: str
    channel: str
    message: str
    request: str = NO_REQUEST
    error: str = ""


def bind_request(request: str) -> contextvars.Token[str]:
    """Have the current task's log records carry this request id."""
    return _request.set(request)


def release_request(token: contextvars.Token[str]) -> None:
    """Undo `bind_request`."""
    _request.reset(token)


def install_handlers(
    settings: LogSettings, *, stream: TextIO | None = None
) -> logbook.NestedSetup:
    """Send every log record to the stream as the settings say.

    `stream` is the standard error stream unless given.  Returns what was
    installed; its `pop_application` removes it.
    """
    handler = logbook.StreamHandler(
        stream or sys.stderr,
        level=logbook.lookup_level(settings.level.upper()),
        format_string=TEXT_FORMAT,
    )
    if settings.format == "json":
        handler.formatter = format_json
    setup = logbook.NestedSetup(
        [logbook.NullHandler(), logbook.Processor(_add_request), handler]
    )
    setup.push_application()
    return setup


class BoundedHandler(logbook.Handler):
    """Write JSON lines to a file descriptor, so many a second at most.

    A reader of the log that stalls would otherwise stall every request: a
    line that can't be written at once, or is over the bound, is dropped and
    counted, and the next line that is written tells how many were.
    """

    def __init__(self, *, descriptor: int, level: int, lines_per_second: int) -> None:
        super().__init__(level=level)
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._most = lines_per_second
        self._second = 0
        self._written = 0
        self._rest = b""
        self.dropped = 0
        self._untold = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or drop and count it."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= self._most or not self._write(b""):
            self._drop()
            return
        self._written += 1
        line = format_bounded(record, dropped=self._untold)
        self._untold = 0
        self._write(line)

    def _write(self, line: bytes) -> bool:
        """Write what is left of the last line, then this; tell whether all went."""
        data = self._rest + line
        if not data:
            return True
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more, which must not end the service.
            written = len(data)
        self._rest = data[written:]
        return not self._rest

    def _drop(self) -> None:
        self.dropped += 1
        self._untold += 1


class BoundedLine(msgspec.Struct, kw_only=True, frozen=True, omit_defaults=True):
    """One record; `dropped` lines before it weren't written.

    `fields` holds the record's values by name.
    """

    time: float
    level: str
    message: str
    fields: dict[str, str | int | float | None] = {}
    dropped: int = 0
    error: str = ""


def format_bounded(record: logbook.LogRecord, *, dropped: int) -> bytes:
    """Return a record as one line of JSON."""
    line = BoundedLine(
        time=round(time.time(), 4),
        level=record.level_name.lower(),
        message=record.message,
        fields=record.kwargs or {},
        dropped=dropped,
        error=record.formatted_exception or "",
    )
    return msgspec.json.encode(line) + b"\n"


# Two lines a request at ten times the requests of an entry today.
MOST_LINES_PER_SECOND = 400


def install_bounded(settings: LogSettings) -> BoundedHandler:
    """Send log records to the standard output, bounded and never blocking."""
    handler = BoundedHandler(
        descriptor=sys.stdout.fileno(),
        level=logbook.lookup_level(settings.level.upper()),
        lines_per_second=MOST_LINES_PER_SECOND,
    )
    logbook.NestedSetup([logbook.NullHandler(), handler]).push_application()
    return handler


def format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Return a record as one line of JSON."""
    line = Line(
        time=record.time.isoformat(timespec="microseconds") + "Z",
        level=record.level_name.lower(),
        channel=record.channel,
        message=record.message,
        request=record.extra["request"] or NO_REQUEST,
        error=record.formatted_exception or "",
    )
    return msgspec.json.encode(line).decode()


def _add_request(record: logbook.LogRecord) -> None:
    record.extra["request"] = _request.get()
