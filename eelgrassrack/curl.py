"""A subclass of Tornado's curl client that can be closed, and its calls ended.

It takes a response whose head breaks off, or isn't one of HTTP/1, for an error, which
curl doesn't.
"""

from collections.abc import Callable
from io import BytesIO

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

from .errors import FormatError
from .responsehead import HeadReader

# What a header function returns for curl to end the transfer: not the line's size.
REFUSED = -1


class CurlClient(CurlAsyncHTTPClient):
    """A curl client that can be closed while a callback is scheduled.

    Tornado's client does not cancel its scheduled timeout callback in `close`.
    When a process stops, the callback fails on the closed handle and logs a
    misleading traceback.

    A response whose head breaks off ends with `E_PARTIAL_FILE`, one whose head or
    trailer is malformed with `E_WRITE_ERROR`.  Requests that set a header
    function of their own check that themselves.
    """

    def _curl_setup_request(
        self,
        curl: pycurl.Curl,
        request: HTTPRequest,
        buffer: BytesIO,
        headers: HTTPHeaders,
    ) -> None:
        # The heads of other versions, which TLS may choose, can't be checked.
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        super()._curl_setup_request(curl, request, buffer, headers)

    def _curl_header_callback(
        self,
        headers: HTTPHeaders,
        header_callback: Callable[[str], None] | None,
        header_line_bytes: bytes,
    ) -> int | None:
        if not hasattr(headers, "reader"):
            headers.reader = HeadReader()
            headers.fault = None
        try:
            is_of_head = headers.reader.read_line(header_line_bytes)
        except FormatError as error:
            headers.fault = str(error)
            return REFUSED
        if is_of_head:
            super()._curl_header_callback(headers, header_callback, header_line_bytes)
        return None

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        headers = curl.info["headers"]
        reader = getattr(headers, "reader", None)
        if reader is not None and headers.fault is not None:
            curl_error, curl_message = pycurl.E_WRITE_ERROR, headers.fault
        elif curl_error is None and reader is not None and not reader.is_complete:
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
