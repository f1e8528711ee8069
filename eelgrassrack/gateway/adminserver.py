"""Small answers to the balancer and to operators."""

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

Answer = Callable[[str], tuple[int, bytes]]

REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class AdminServer(HTTPServerConnectionDelegate):
    """Answer each request at one address by a function of its path."""

    def __init__(self, *, address: str, answer: Answer) -> None:
        self._address = address
        self._answer = answer
        self._server = HTTPServer(self)

    def open(self) -> None:
        """Listen."""
        host, port = self._address.rsplit(":", 1)
        self._server.listen(int(port), host)

    def close(self) -> None:
        """Listen no more."""
        self._server.stop()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Begin to read a request."""
        return _Visit(connection=request_conn, answer=self._answer)


class _Visit(HTTPMessageDelegate):
    """One request and its answer."""

    __slots__ = ("_answer", "_connection", "_path")

    def __init__(self, *, connection: HTTPConnection, answer: Answer) -> None:
        self._connection = connection
        self._answer = answer
        self._path = ""

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Keep the path."""
        self._path = start_line.path

    def finish(self) -> None:
        """Answer."""
        status, body = self._answer(self._path)
        line = ResponseStartLine("HTTP/1.1", status, REASONS[status])
        headers = HTTPHeaders({"Content-Length": str(len(body))})
        self._connection.write_headers(line, headers, body)
        self._connection.finish()
