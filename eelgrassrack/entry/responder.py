"""Writes HTTP responses on Tornado's server."""

import asyncio

import logbook
import msgspec
from tornado import web
from tornado.iostream import IOStream

from .refusals import CallerError

log = logbook.Logger("callers")

OK = 200

# With one of these headers Tornado doesn't use chunked encoding.
FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})

# The connection of a caller that reads nothing for this long is closed: its answer
# would fill the entry's memory, and another request can use its slot.
STALL_SECONDS = 30.0


class BufferedAnswer(msgspec.Struct, kw_only=True):
    """A response that is buffered until complete: head, and body so far."""

    status: int = 0
    fields: list[tuple[str, str]] = []
    pieces: list[bytes] = []


class HttpResponder:
    """Writes the response to one HTTP request.

    `has_begun` is true once a part of the response was sent.  `began_at` and
    `first_at` are when the request arrived and when its response began, in the
    time of the event loop.
    """

    __slots__ = (
        "_blocked_since",
        "_handler",
        "_buffered",
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
        self._buffered: BufferedAnswer | None = None
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
        """Whether the connection is closed."""
        return self._stream.closed()

    def buffer_until_complete(self) -> None:
        """Buffer the response and send it only once it is complete.

        This has no effect on a response that has begun.
        """
        if not self.has_begun:
            self._buffered = BufferedAnswer()

    def begin(self, *, status: int, fields: list[tuple[str, str]]) -> None:
        """Send the status and the headers.

        If the response is buffered, this replaces what is in the buffer.
        """
        if self._buffered is not None:
            self._buffered = BufferedAnswer(status=status, fields=fields)
            return
        self.has_begun = True
        if self.has_ended:
            return
        self.first_at = self._loop.time()
        self._handler.set_status(status)
        for name, value in fields:
            self._handler.set_header(name, value)
        self._is_chunked = self._uses_chunks(status, fields)
        self._handler.flush()

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        # An empty chunk would end the body.
        if self.has_ended or not data:
            return
        if self._buffered is not None:
            self._buffered.pieces.append(data)
            return
        stream = self._stream
        if stream.writing():
            self._check_stalled()
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
        if self._buffered is not None:
            self._send_buffered(self._buffered)
        self.has_ended = True
        self._handler.finish()

    def abort(self) -> None:
        """Close the connection so that the body is seen to be truncated."""
        if self.has_ended:
            return
        self.has_ended = True
        asyncio.ensure_future(_close_when_written(self._stream))

    def _send_buffered(self, buffered: BufferedAnswer) -> None:
        self._buffered = None
        self.begin(status=buffered.status, fields=buffered.fields)
        self.write(b"".join(buffered.pieces))

    def _uses_chunks(self, status: int, fields: list[tuple[str, str]]) -> bool:
        """Return whether Tornado is certain to send this body chunked."""
        request = self._handler.request
        names = {name.lower() for name, _ in fields}
        return (
            status == OK
            and request.method == "POST"
            and request.version == "HTTP/1.1"
            and not names & FRAMING_HEADERS
        )

    def _check_stalled(self) -> None:
        now = self._loop.time()
        if self._blocked_since is None:
            self._blocked_since = now
        elif now - self._blocked_since > STALL_SECONDS:
            log.info("callers: closed a connection: the caller reads nothing")
            self.has_ended = True
            self._stream.close()


def _send_chunk(stream: IOStream, data: bytes) -> None:
    """Send a chunk on a stream whose write buffer is empty.

    For each write Tornado creates two futures and three callbacks that nobody
    waits for, which costs more than the system call.  This function writes to
    the socket directly, and passes what the socket doesn't accept to Tornado,
    so that the bytes stay in order.
    """
    chunk = b"%x\r\n%b\r\n" % (len(data), data)
    try:
        sent = stream.socket.send(chunk)
    except BlockingIOError:
        sent = 0
    except OSError:
        # The caller has disconnected; closing the stream reports this.
        stream.close()
        return
    if sent < len(chunk):
        stream.write(chunk[sent:])


async def _close_when_written(stream: object) -> None:
    """Close a connection once its buffer is sent, or after a second."""
    for _ in range(100):
        if not stream.writing():
            break
        await asyncio.sleep(0.01)
    stream.close()
