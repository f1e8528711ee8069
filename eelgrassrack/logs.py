"""Logging of the daemons, as plain text or one JSON object per line.

Each message starts with the fixed prefix of the component that writes it.  A
context variable holds the id of the current request, so that all records written
while the request is served carry the id, whichever component writes them.
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


class JsonRecord(msgspec.Struct, kw_only=True, frozen=True, omit_defaults=True):
    """One log record as JSON; `time` is UTC in ISO 8601."""

    time: str
    level: str
    channel: str
    message: str
    request: str = NO_REQUEST
    error: str = ""


def bind_request(request: str) -> contextvars.Token[str]:
    """Add this request id to the log records of the current task."""
    return _request.set(request)


def release_request(token: contextvars.Token[str]) -> None:
    """Undo `bind_request`."""
    _request.reset(token)


def install_handlers(
    settings: LogSettings, *, stream: TextIO | None = None
) -> logbook.NestedSetup:
    """Write log records to `stream` in the configured format and level.

    `stream` defaults to the standard error stream.  Call `pop_application` of the
    returned setup to remove the handlers.
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
    """Write JSON lines to a file descriptor, rate-limited and without blocking.

    A line that can't be written immediately or exceeds `lines_per_second` is
    dropped and counted, because a log reader that stalls would otherwise stall
    all requests.  The next line that is written contains the number of dropped
    lines.
    """

    def __init__(self, *, descriptor: int, level: int, lines_per_second: int) -> None:
        super().__init__(level=level)
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_per_second = lines_per_second
        self._second = 0
        self._written = 0
        self._unwritten = b""
        self.dropped = 0
        self._dropped_unreported = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or drop it and count it."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= self._max_per_second or not self._write(b""):
            self._drop()
            return
        self._written += 1
        line = format_bounded(record, dropped=self._dropped_unreported)
        self._dropped_unreported = 0
        self._write(line)

    def _write(self, line: bytes) -> bool:
        """Write the rest of the previous line, then `line`.

        Return whether everything was written.
        """
        data = self._unwritten + line
        if not data:
            return True
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The log reader is gone, which must not stop the service.
            written = len(data)
        self._unwritten = data[written:]
        return not self._unwritten

    def _drop(self) -> None:
        self.dropped += 1
        self._dropped_unreported += 1


class BoundedLine(msgspec.Struct, kw_only=True, frozen=True, omit_defaults=True):
    """One log record as JSON; `time` is Unix seconds.

    `fields` holds the record's named values.  `dropped` is the number of lines
    dropped since the previous written line.
    """

    time: float
    level: str
    message: str
    fields: dict[str, str | int | float | None] = {}
    dropped: int = 0
    error: str = ""


def format_bounded(record: logbook.LogRecord, *, dropped: int) -> bytes:
    """Return a record as one line of JSON, for `BoundedHandler`."""
    line = BoundedLine(
        time=round(time.time(), 4),
        level=record.level_name.lower(),
        message=record.message,
        fields=record.kwargs or {},
        dropped=dropped,
        error=record.formatted_exception or "",
    )
    return msgspec.json.encode(line) + b"\n"


# Two lines per request at ten times the present request rate of an entry.
MAX_LINES_PER_SECOND = 400


def install_bounded(settings: LogSettings) -> BoundedHandler:
    """Write log records to the standard output by a `BoundedHandler`."""
    handler = BoundedHandler(
        descriptor=sys.stdout.fileno(),
        level=logbook.lookup_level(settings.level.upper()),
        lines_per_second=MAX_LINES_PER_SECOND,
    )
    logbook.NestedSetup([logbook.NullHandler(), handler]).push_application()
    return handler


def format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Return a record as JSON without a line break, for a logbook handler."""
    line = JsonRecord(
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
