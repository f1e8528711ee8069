"""A subclass of Tornado's curl client that can be closed, and its calls ended."""

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest


class CurlClient(CurlAsyncHTTPClient):
    """A curl client that can be closed while a callback is scheduled.

    Tornado's client does not cancel its scheduled timeout callback in `close`.
    When a process stops, the callback fails on the closed handle and logs a
    misleading traceback.
    """

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
