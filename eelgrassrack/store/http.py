"""HTTP client for the platform, on tornado's curl client, with typed outcomes."""

import asyncio
import urllib.parse

import msgspec
import pycurl
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from ..curl import CurlClient, make_client
from .errors import AddressError

CONNECT_SECONDS = 1.0

# Curl errors that occur before the first byte of a request is sent.
UNSENT_ERRORS = frozenset(
    {
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_URL_MALFORMAT,
    }
)


class Answer(msgspec.Struct, kw_only=True, frozen=True):
    """A complete HTTP response; the names in `headers` are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class NoAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """No complete response arrived; `sent` is true if the request may have arrived.

    `received` is the number of bytes of the response body that did arrive.
    `is_silent` is set if the caller stopped waiting for further bytes.
    """

    reason: str
    sent: bool
    received: int = 0
    is_silent: bool = False


class Pieces:
    """The pieces of a response body received so far."""

    __slots__ = ("_pieces",)

    def __init__(self) -> None:
        self._pieces: list[bytes] = []

    @property
    def count(self) -> int:
        """Return how many pieces have been received."""
        return len(self._pieces)

    @property
    def size(self) -> int:
        """Return how many bytes have been received."""
        return sum(map(len, self._pieces))

    def add(self, piece: bytes) -> None:
        """Append a piece."""
        self._pieces.append(piece)

    def join(self) -> bytes:
        """Return the body so far."""
        return b"".join(self._pieces)


class HttpCaller:
    """Send requests to one base URL.

    A failed call returns `NoAnswer` and raises nothing.
    """

    __slots__ = ("_client", "_closing", "_max_clients", "_url")

    def __init__(self, *, url: str, max_clients: int) -> None:
        parts = urllib.parse.urlsplit(url)
        if parts.scheme not in {"http", "https"} or not parts.netloc:
            raise AddressError(f"not an HTTP URL: {url}")
        self._url = url.rstrip("/")
        self._max_clients = max_clients
        self._client: CurlClient | None = None
        self._closing: asyncio.Future[None] | None = None

    async def fetch(
        self,
        *,
        path: str,
        timeout: float,
        method: str = "GET",
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        repeatable: bool = True,
        stall: float | None = None,
        first: float | None = None,
        received: Pieces | None = None,
    ) -> Answer | NoAnswer:
        """Send one request and return its response, within `timeout` seconds.

        A request that isn't `repeatable` is sent at most once.  With `stall`, the
        call fails after that many seconds without a byte of the response's body;
        with `first`, the first byte may take that many seconds instead.  `received`
        gets the pieces of the body as they arrive.
        """
        if self._closing is not None and self._closing.done():
            return NoAnswer(reason="closed", sent=False)
        request = HTTPRequest(
            self._url + path,
            method=method,
            headers=headers,
            body=body,
            request_timeout=timeout,
            connect_timeout=min(timeout, CONNECT_SECONDS),
            follow_redirects=False,
            prepare_curl_callback=(
                reuse_connection if repeatable else force_new_connection
            ),
        )
        received = received or Pieces()
        if stall is not None:
            request.streaming_callback = received.add
        client = self._open()
        fetching = client.fetch(request, raise_error=False)
        fetching.add_done_callback(consume_error)
        try:
            await self._wait(fetching, received, stall, first or stall)
            if fetching.done():
                return read_outcome(fetching, received.join())
        finally:
            client.abort(request)
        is_closed = self._closing.done()
        return NoAnswer(
            reason="closed" if is_closed else "silent",
            sent=True,
            received=received.size,
            is_silent=not is_closed,
        )

    async def _wait(
        self,
        fetching: asyncio.Future,
        received: "Pieces",
        stall: float | None,
        first: float | None,
    ) -> None:
        """Wait until the call ends or stalls, or the client is closed."""
        ends = {fetching, self._closing}
        count = -1
        while count < received.count and not any(end.done() for end in ends):
            count = received.count
            await asyncio.wait(
                ends,
                timeout=stall if count else first,
                return_when=asyncio.FIRST_COMPLETED,
            )

    def close(self) -> None:
        """Close all connections; calls in flight return `NoAnswer`."""
        if self._client is None or self._closing.done():
            return
        # Tornado's client never completes the calls that are pending when it is
        # closed.  A stopping daemon would wait forever for its own watches.
        self._closing.set_result(None)
        self._client.close()

    def _open(self) -> CurlClient:
        if self._client is None:
            self._client = make_client(max_clients=self._max_clients)
            self._closing = asyncio.get_running_loop().create_future()
        return self._client


def reuse_connection(curl: pycurl.Curl) -> None:
    """Let curl reuse a kept-alive connection for the request."""
    disable_proxy(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 0)


def force_new_connection(curl: pycurl.Curl) -> None:
    """Make curl send the request over a new connection.

    If a reused connection closes before the response, curl assumes that it was
    stale and resends the request.  If the first copy of a conditional write took
    effect, its resend would look like a conflict with another writer.  On a new
    connection curl doesn't resend, so a lost answer is reported as one.
    """
    disable_proxy(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def disable_proxy(curl: pycurl.Curl) -> None:
    """Make curl ignore proxies configured in the environment.

    A proxy may resend a request or respond in the platform's place.  An error would
    then no longer tell reliably whether a write took effect.
    """
    curl.setopt(pycurl.NOPROXY, "*")


def consume_error(fetching: "asyncio.Future[HTTPResponse]") -> None:
    """Retrieve a call's error, so that asyncio doesn't log it as never retrieved.

    The caller doesn't retrieve it if it was cancelled.
    """
    if not fetching.cancelled():
        fetching.exception()


def read_outcome(
    fetching: "asyncio.Future[HTTPResponse]", body: bytes = b""
) -> Answer | NoAnswer:
    """Convert the client's result or error into an outcome.

    `body` is the streamed body, which the client's result then lacks.
    """
    error = fetching.exception()
    match error:
        case None:
            response = fetching.result()
        case HTTPClientError():
            unsent = getattr(error, "errno", None) in UNSENT_ERRORS
            return NoAnswer(reason=str(error.message), sent=not unsent)
        case _:
            return NoAnswer(reason=str(error), sent=True)
    headers = {name.lower(): value for name, value in response.headers.get_all()}
    return Answer(status=response.code, headers=headers, body=response.body or body)
