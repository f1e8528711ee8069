"""Checks of response heads, the same for all HTTP clients of this project.

h11 reads the answers at a gateway.  Curl, which reads them elsewhere, passes on names
with blanks, contradicting lengths and unknown versions, so h11 reads its heads again.
"""

import h11

from .errors import FormatError

# Curl reads no others.
VERSIONS = frozenset({b"1.0", b"1.1"})

MAX_STATUS = 599

# Limits of one head, which usually takes a few hundred bytes, and of the interim
# responses (1xx) before a response.
MAX_HEAD_BYTES = 65_536
MAX_INTERIM = 16

SOME_HEAD = b"HTTP/1.1 200 OK\r\n"
HEAD_END = b"\r\n"

FIRST_FINAL_STATUS = 200
REDIRECT_STATUSES = range(300, 400)

STATUS_LINE = b"HTTP/"


def check_response(event: h11.Response | h11.InformationalResponse) -> None:
    """Raise `FormatError` for a head that h11 takes and HTTP/1 doesn't have."""
    if event.http_version not in VERSIONS:
        version = event.http_version.decode()
        raise FormatError(f"not an answer: HTTP version {version}")
    if event.status_code > MAX_STATUS:
        raise FormatError(f"not an answer: status {event.status_code}")


class HeadReader:
    """Reads the lines of an answer's heads and trailers as curl passes them on.

    `is_complete` is set once the head of the final response has ended, and `status`
    and `headers` are those of it.  A head that breaks off never becomes complete.  Curl
    may follow a redirect: then another answer begins.
    """

    __slots__ = ("_interim", "_lines", "_size", "headers", "is_complete", "status")

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._size = 0
        self._interim = 0
        self.is_complete = False
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()

    def read_line(self, line: bytes) -> bool:
        """Read one line, with its end; return whether it is of a head, not a trailer.

        Raise `FormatError` if it can't be right.
        """
        if self.is_complete and self.status in REDIRECT_STATUSES:
            self.is_complete = not line.startswith(STATUS_LINE)
        if self.is_complete:
            _read_head(SOME_HEAD + line.rstrip(b"\r\n") + HEAD_END * 2)
            return False
        self._lines.append(line)
        self._size += len(line)
        if self._size > MAX_HEAD_BYTES:
            raise FormatError("not an answer: its head is too long")
        if not line.strip(b"\r\n"):
            self._end_head(_read_head(b"".join(self._lines)))
        return True

    def _end_head(self, event: h11.Response | h11.InformationalResponse) -> None:
        self._lines.clear()
        self._size = 0
        if event.status_code < FIRST_FINAL_STATUS:
            self._interim += 1
            if self._interim > MAX_INTERIM:
                raise FormatError(f"more than {MAX_INTERIM} interim answers")
            return
        self.is_complete = True
        self.status = event.status_code
        self.headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers.raw_items()
        )


def _read_head(data: bytes) -> h11.Response | h11.InformationalResponse:
    """Return a head as h11 reads it; raise `FormatError`."""
    machine = h11.Connection(h11.CLIENT)
    machine.send(h11.Request(method="GET", target="/", headers=[("Host", "any")]))
    machine.send(h11.EndOfMessage())
    machine.receive_data(data)
    try:
        event = machine.next_event()
    except h11.RemoteProtocolError as error:
        raise FormatError(f"not an answer: {error}") from error
    if not isinstance(event, h11.Response | h11.InformationalResponse):
        raise FormatError("not an answer: no head")
    check_response(event)
    return event
