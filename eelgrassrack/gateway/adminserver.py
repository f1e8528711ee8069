"""An HTTP server for the load balancer, peers and operators."""

from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

AnswerFunction = Callable[[str], tuple[int, bytes]]

REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class AdminServer(HTTPServerConnectionDelegate):
    """Serve requests at one address.

    `answer` returns the status and body for a path.
    """

    def __init__(self, *, address: str, answer: AnswerFunction) -> None:
        self._address = address
        self._answer = answer
        self._server = HTTPServer(self)

    def open(self) -> None:
        """Start to listen."""
        host, port = self._address.rsplit(":", 1)
        self._server.listen(int(port), host)

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Start to read a request."""
        return _AdminRequest(connection=request_conn, answer=self._answer)


class _AdminRequest(HTTPMessageDelegate):
    """One request and its response."""

    __slots__ = ("_answer", "_connection", "_path")

    def __init__(self, *, connection: HTTPConnection, answer: AnswerFunction) -> None:
        self._connection = connection
        self._answer = answer
        self._path = ""

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Keep the path."""
        self._path = start_line.path

    def finish(self) -> None:
        """Send the response."""
        status, body = self._answer(self._path)
        line = ResponseStartLine("HTTP/1.1", status, REASONS[status])
        headers = HTTPHeaders({"Content-Length": str(len(body))})
        self._connection.write_headers(line, headers, body)
        self._connection.finish()
