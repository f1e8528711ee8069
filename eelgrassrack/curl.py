"""A subclass of Tornado's curl client that can be closed safely."""

from tornado.curl_httpclient import CurlAsyncHTTPClient


class CurlClient(CurlAsyncHTTPClient):
    """A curl client that can be closed while a callback is scheduled.

    Tornado's client does not cancel its scheduled timeout callback in `close`.
    When a process stops, the callback fails on the closed handle and logs a
    misleading traceback.
    """

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()


def make_client(*, max_clients: int) -> CurlClient:
    """Return a new client that opens at most `max_clients` connections."""
    return CurlClient(force_instance=True, max_clients=max_clients)
