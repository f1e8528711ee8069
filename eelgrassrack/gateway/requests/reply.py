"""Writes the response to one request to its caller."""

from collections.abc import Awaitable, Callable

from tornado.httputil import HTTPConnection, HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

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


class Reply:
    """The response to one request.

    `is_request_read` is set if the request's body has been read.  A response that
    finishes earlier closes the connection after the rest of the body has been read.
    """

    __slots__ = (
        "_connection",
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
        self.is_started = False
        self.is_finished = False
        self.is_request_read = True

    def note_offered(self) -> None:
        """Note that an endpoint gets the request; raise `CallerGoneError`.

        From now on the request doesn't give way to others any more.
        """
        try:
            self._connection.stream.note_served()
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
        self.is_started = True
        line = ResponseStartLine("HTTP/1.1", status, reason)
        await self._wait_written(
            self._connection.write_headers(line, fields, data or None)
        )

    async def write(self, data: bytes) -> None:
        """Write bytes and wait until they are sent; raise `CallerGoneError`."""
        await self._wait_written(self._connection.write(data))

    def finish(self) -> None:
        """Finish the response as complete."""
        self.is_finished = True
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
