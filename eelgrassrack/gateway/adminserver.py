"""An HTTP server for the load balancer, peers and operators."""

import gzip
from collections.abc import Callable

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.netutil import bind_sockets

from ..callers.server import CallerServer
from ..listener import CallerListener

AnswerFunction = Callable[[str], tuple[int, bytes]]
MakeServer = Callable[..., CallerServer]

# Bodies from this size on are compressed.  Smaller ones fit into a few packets.
MIN_COMPRESSED_BYTES = 4_096

# Compresses configurations to a tenth, as fast as possible.
COMPRESSION_LEVEL = 1

REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class Compressor:
    """Compresses bodies, and the last one only once.

    A store view goes to many peers at the same time, and a small instance takes tens
    of milliseconds to compress a large one.
    """

    __slots__ = ("_body", "_compressed")

    def __init__(self) -> None:
        self._body = b""
        self._compressed = b""

    def compress(self, body: bytes) -> bytes:
        """Return a body in gzip's format."""
        if body != self._body:
            self._compressed = gzip.compress(body, COMPRESSION_LEVEL, mtime=0)
            self._body = body
        return self._compressed


class AdminServer(HTTPServerConnectionDelegate):
    """Serve requests at one address.

    `setting` names the setting of `address`.  `answer` returns the status and body
    for a path.
    """

    def __init__(
        self,
        *,
        setting: str,
        address: str,
        make_server: MakeServer,
        answer: AnswerFunction,
    ) -> None:
        self.setting = setting
        self.address = address
        self._answer = answer
        self._compressor = Compressor()
        self._server = make_server(self)

    def open(self) -> None:
        """Start to listen; raise `OSError`."""
        host, port = self.address.rsplit(":", 1)
        for bound in bind_sockets(int(port), address=host):
            self._server.add_socket(CallerListener(fileno=bound.detach()))

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Start to read a request."""
        return _AdminRequest(
            connection=request_conn, answer=self._answer, compressor=self._compressor
        )


class _AdminRequest(HTTPMessageDelegate):
    """One request and its response."""

    __slots__ = ("_answer", "_compressor", "_connection", "_path", "_takes_gzip")

    def __init__(
        self,
        *,
        connection: HTTPConnection,
        answer: AnswerFunction,
        compressor: Compressor,
    ) -> None:
        self._connection = connection
        self._answer = answer
        self._compressor = compressor
        self._path = ""
        self._takes_gzip = False

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Keep the path, and whether the caller takes compressed bodies."""
        self._path = start_line.path
        self._takes_gzip = "gzip" in headers.get("Accept-Encoding", "")

    def finish(self) -> None:
        """Send the response."""
        status, body = self._answer(self._path)
        line = ResponseStartLine("HTTP/1.1", status, REASONS[status])
        headers = HTTPHeaders()
        if self._takes_gzip and len(body) >= MIN_COMPRESSED_BYTES:
            body = self._compressor.compress(body)
            headers["Content-Encoding"] = "gzip"
        headers["Content-Length"] = str(len(body))
        self._connection.write_headers(line, headers, body)
        self._connection.finish()
