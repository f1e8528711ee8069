"""The answer to one request, as its caller gets it."""

from collections.abc import Awaitable, Callable

from tornado.httputil import HTTPConnection, HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from .errors import CallerGoneError
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
    """The answer to one request.

    `is_read` tells whether the request has come in whole; an answer that is
    over sooner ends its connection, once the rest of the request was read.
    """

    __slots__ = ("_connection", "_is_closing", "is_begun", "is_over", "is_read")

    def __init__(
        self, *, connection: HTTPConnection, is_closing: Callable[[], bool]
    ) -> None:
        self._connection = connection
        self._is_closing = is_closing
        self.is_begun = False
        self.is_over = False
        self.is_read = True

    async def begin(
        self,
        *,
        status: int,
        reason: str,
        headers: tuple[tuple[str, str], ...],
        data: bytes = b"",
    ) -> None:
        """Write the head and perhaps the first bytes; raise `CallerGoneError`."""
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if self._is_closing() or not self.is_read:
            # The caller would send its next request to a process that ends,
            # or after a body of which nobody knows the end.
            fields["Connection"] = "close"
            self._connection._disconnect_on_finish = True
        self.is_begun = True
        line = ResponseStartLine("HTTP/1.1", status, reason)
        await self._await(self._connection.write_headers(line, fields, data or None))

    async def write(self, data: bytes) -> None:
        """Write a piece and wait until it left; raise `CallerGoneError`."""
        await self._await(self._connection.write(data))

    def finish(self) -> None:
        """End the answer as complete."""
        self.is_over = True
        if self.is_read:
            self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the answer can't look complete."""
        self.is_over = True
        self._connection.close()

    async def refuse(self, refusal: Refusal) -> None:
        """Write an answer of our own."""
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

    async def _await(self, written: Awaitable[None]) -> None:
        try:
            await written
        except StreamClosedError as error:
            raise CallerGoneError(str(error)) from error
