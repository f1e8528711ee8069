"""The caller's side of one HTTP request, on tornado's server."""

import asyncio

import logbook
import msgspec
from tornado import web
from tornado.iostream import IOStream

from .refusals import CallerError

log = logbook.Logger("callers")

OK = 200

# With one of these tornado doesn't add chunks of its own.
FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})

# A caller that takes nothing for this long is cut: its answer would fill
# the entry's memory, and its slot is another's.
STALL_SECONDS = 30.0


class Held(msgspec.Struct, kw_only=True):
    """An answer that is kept back: its head, and its body so far."""

    status: int = 0
    fields: list[tuple[str, str]] = []
    pieces: list[bytes] = []


class HttpResponder:
    """The caller's side of one HTTP request.

    `has_begun` tells whether the caller has a part of its answer.
    """

    __slots__ = (
        "_blocked_since",
        "_handler",
        "_held",
        "_is_chunked",
        "_loop",
        "_stream",
        "began_at",
        "error",
        "first_at",
        "has_begun",
        "has_ended",
    )

    def __init__(self, *, handler: web.RequestHandler) -> None:
        self._handler = handler
        self._held: Held | None = None
        self._loop = asyncio.get_running_loop()
        self._blocked_since: float | None = None
        self._is_chunked = False
        self._stream: IOStream = handler.request.connection.stream
        self.began_at = self._loop.time()
        self.first_at: float | None = None
        self.error: CallerError | None = None
        self.has_begun = False
        self.has_ended = False

    @property
    def is_closed(self) -> bool:
        """Tell whether the connection is closed."""
        return self._stream.closed()

    def keep_back(self) -> None:
        """Give the caller nothing until the answer is whole.

        One that has begun goes on as it is.
        """
        if not self.has_begun:
            self._held = Held()

    def begin(self, *, status: int, fields: list[tuple[str, str]]) -> None:
        """Send the status and the headers.

        An answer that is kept back is forgotten for the one that begins.
        """
        if self._held is not None:
            self._held = Held(status=status, fields=fields)
            return
        self.has_begun = True
        if self.has_ended:
            return
        self.first_at = self._loop.time()
        self._handler.set_status(status)
        for name, value in fields:
            self._handler.set_header(name, value)
        self._is_chunked = self._find_chunked(status, fields)
        self._handler.flush()

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        # An empty chunk would say that the body is at its end.
        if self.has_ended or not data:
            return
        if self._held is not None:
            self._held.pieces.append(data)
            return
        stream = self._stream
        if stream.writing():
            self._note_blocked()
        else:
            self._blocked_since = None
            if self._is_chunked and not stream.closed():
                _send_chunk(stream, data)
                return
        self._handler.request.connection.write(data)

    def finish(self) -> None:
        """End the body."""
        if self.has_ended:
            return
        if self._held is not None:
            self._release(self._held)
        self.has_ended = True
        self._handler.finish()

    def abort(self) -> None:
        """Cut the connection, so that the body can't look whole."""
        if self.has_ended:
            return
        self.has_ended = True
        asyncio.ensure_future(_close_when_written(self._stream))

    def _release(self, held: Held) -> None:
        self._held = None
        self.begin(status=held.status, fields=held.fields)
        self.write(b"".join(held.pieces))

    def _find_chunked(self, status: int, fields: list[tuple[str, str]]) -> bool:
        """Tell whether tornado sends this body in chunks, for sure."""
        request = self._handler.request
        names = {name.lower() for name, _ in fields}
        return (
            status == OK
            and request.method == "POST"
            and request.version == "HTTP/1.1"
            and not names & FRAMING_HEADERS
        )

    def _note_blocked(self) -> None:
        now = self._loop.time()
        if self._blocked_since is None:
            self._blocked_since = now
        elif now - self._blocked_since > STALL_SECONDS:
            log.info("callers: a caller takes nothing: cut")
            self.has_ended = True
            self._stream.close()


def _send_chunk(stream: IOStream, data: bytes) -> None:
    """Send a chunk on a stream whose write buffer is empty.

    Tornado's own way makes two futures and three callbacks for each write
    that nobody waits for, which costs more than the system call.  The socket
    is written to at once instead, and what it doesn't take goes the usual
    way, so that the order of bytes stays the same.
    """
    chunk = b"%x\r\n%b\r\n" % (len(data), data)
    try:
        sent = stream.socket.send(chunk)
    except BlockingIOError:
        sent = 0
    except OSError:
        # The caller went away; the stream then reports its end.
        stream.close()
        return
    if sent < len(chunk):
        stream.write(chunk[sent:])


async def _close_when_written(stream: object) -> None:
    """Close a connection once what was written has left, or soon."""
    for _ in range(100):
        if not stream.writing():
            break
        await asyncio.sleep(0.01)
    stream.close()
