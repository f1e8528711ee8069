"""Writes the response to one request to its caller."""

from collections.abc import Awaitable, Callable

from tornado.httputil import HTTPConnection, HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from ...lingering import discard_unsent, keep_unsent
from ..errors import CallerGoneError
from .messages import Refusal

REASONS = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


OLD_VERSION = "HTTP/1.0"


def is_unframed(connection: HTTPConnection, fields: HTTPHeaders) -> bool:
    """Return whether nothing but the connection's close ends a response.

    Callers of the old version of HTTP take no chunks.
    """
    is_old = connection._request_start_line.version == OLD_VERSION
    return is_old and "Content-Length" not in fields


class Reply:
    """The response to one request.

    `is_request_read` is set if the request's body has been read.  A response that
    finishes earlier closes the connection after the rest of the body has been read.
    """

    __slots__ = (
        "_connection",
        "_ends_by_close",
        "_is_closing",
        "is_started",
        "is_finished",
        "is_request_read",
    )

    def __init__(
        self, *, connection: HTTPConnection, is_closing: Callable[[], bool]
    ) -> None:
        self._connection = connection
        self._is_closing = is_closing
        self._ends_by_close = False
        self.is_started = False
        self.is_finished = False
        self.is_request_read = True

    def note_offered(self, *, runs_to_end: bool) -> None:
        """Note that an endpoint gets the request; raise `CallerGoneError`.

        From now on the request doesn't give way to others any more.  With
        `runs_to_end` it goes on until it is certain that its caller has left.
        """
        try:
            self._connection.stream.note_served(runs_to_end=runs_to_end)
        except StreamClosedError as error:
            raise CallerGoneError("left or gave way to others") from error

    async def begin(
        self,
        *,
        status: int,
        reason: str,
        headers: tuple[tuple[str, str], ...],
        data: bytes = b"",
    ) -> None:
        """Write the headers and the first bytes, if any; raise `CallerGoneError`."""
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if self._is_closing() or not self.is_request_read:
            # Otherwise the caller might send its next request to a stopping process,
            # or after a body that was not read to its end.
            fields["Connection"] = "close"
            self._connection._disconnect_on_finish = True
        if is_unframed(self._connection, fields):
            self._end_by_close(fields)
        self.is_started = True
        line = ResponseStartLine("HTTP/1.1", status, reason)
        await self._wait_written(
            self._connection.write_headers(line, fields, data or None)
        )

    def _end_by_close(self, fields: HTTPHeaders) -> None:
        """Let the connection's close end the response, and a reset break it off.

        Until the response is finished every close is a reset, also by the kernel when
        this process is killed.
        """
        fields["Connection"] = "close"
        self._connection._disconnect_on_finish = True
        if not self._connection.stream.closed():
            self._ends_by_close = True
            discard_unsent(self._connection.stream.socket)

    async def write(self, data: bytes) -> None:
        """Write bytes and wait until they are sent; raise `CallerGoneError`."""
        await self._wait_written(self._connection.write(data))

    def finish(self) -> None:
        """Finish the response as complete."""
        self.is_finished = True
        if self._ends_by_close and not self._connection.stream.closed():
            keep_unsent(self._connection.stream.socket)
        if self.is_request_read:
            self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the response doesn't look complete."""
        self.is_finished = True
        self._connection.close()

    async def refuse(self, refusal: Refusal) -> None:
        """Write a refusal as the whole response; raise `CallerGoneError`."""
        headers = [("Content-Type", "text/plain")]
        if refusal.retry_after is not None:
            headers.append(("Retry-After", f"{refusal.retry_after:.2f}"))
        body = refusal.reason.encode() + b"\n"
        headers.append(("Content-Length", str(len(body))))
        await self.begin(
            status=refusal.status,
            reason=REASONS.get(refusal.status, "Refused"),
            headers=tuple(headers),
            data=body,
        )
        self.finish()

    async def _wait_written(self, written: Awaitable[None]) -> None:
        try:
            await written
        except StreamClosedError as error:
            raise CallerGoneError(str(error)) from error
