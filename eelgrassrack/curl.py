"""A subclass of Tornado's curl client that can be closed, and its calls ended.

It takes a response whose head breaks off for an error, which curl doesn't.
"""

from collections.abc import Callable

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

# The first status of a response that isn't interim.
FIRST_FINAL_STATUS = 200


class HeadEnd:
    """Whether the head of a final response has ended, from the lines that curl passes.

    Curl takes a head that breaks off for a complete one without a body.
    """

    __slots__ = ("_is_final", "is_seen")

    def __init__(self) -> None:
        self._is_final = False
        self.is_seen = False

    def note_line(self, line: bytes) -> None:
        """Note a line of the head; interim (1xx) responses may come first."""
        if line.startswith(b"HTTP/"):
            self._is_final = _read_status(line) >= FIRST_FINAL_STATUS
            self.is_seen = False
        elif not line.strip():
            self.is_seen = self._is_final


def _read_status(line: bytes) -> int:
    """Return a status line's status, 0 if it is incomplete."""
    _, _, rest = line.partition(b" ")
    digits = rest.strip()[:3]
    return int(digits) if digits.isdigit() else 0


class CurlClient(CurlAsyncHTTPClient):
    """A curl client that can be closed while a callback is scheduled.

    Tornado's client does not cancel its scheduled timeout callback in `close`.
    When a process stops, the callback fails on the closed handle and logs a
    misleading traceback.

    A response whose head breaks off ends with `E_PARTIAL_FILE`.  Requests that set a
    header function of their own check that themselves.
    """

    def _curl_header_callback(
        self,
        headers: HTTPHeaders,
        header_callback: Callable[[str], None] | None,
        header_line_bytes: bytes,
    ) -> None:
        if not hasattr(headers, "head_end"):
            headers.head_end = HeadEnd()
        headers.head_end.note_line(header_line_bytes)
        super()._curl_header_callback(headers, header_callback, header_line_bytes)

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        head_end = getattr(curl.info["headers"], "head_end", None)
        if curl_error is None and head_end is not None and not head_end.is_seen:
            curl_error = pycurl.E_PARTIAL_FILE
            curl_message = "the response's head broke off"
        super()._finish(curl, curl_error, curl_message)

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()

    def abort(self, request: HTTPRequest) -> None:
        """End a call, if it is still in flight, and close its connection.

        Tornado's client has no such call: an answer that nobody waits for any more
        would still be received to its end and fill a slow link.
        """
        if self._multi is None:
            return
        for queued in tuple(self._requests):
            if queued[0].request is request:
                self._requests.remove(queued)
        for curl in self._curls:
            info = getattr(curl, "info", None)
            if info is not None and info["request"].request is request:
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "aborted")
                self._process_queue()


def make_client(*, max_clients: int) -> CurlClient:
    """Return a new client that opens at most `max_clients` connections."""
    return CurlClient(force_instance=True, max_clients=max_clients)
