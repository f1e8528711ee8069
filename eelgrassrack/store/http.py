"""HTTP to the platform by tornado's curl client, with typed outcomes."""

import asyncio
import urllib.parse

import msgspec
import pycurl
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from ..curl import CurlClient, make_client
from .errors import AddressError

CONNECT_SECONDS = 1.0

# Curl's errors that come before the first byte of a request is sent.
UNSENT_ERRORS = frozenset(
    {
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_URL_MALFORMAT,
    }
)


class Answer(msgspec.Struct, kw_only=True, frozen=True):
    """A whole HTTP response; the names in `headers` are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class NoAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """No whole response came; `sent` if the request may have arrived."""

    reason: str
    sent: bool


class Pieces:
    """The pieces of an answer's body as they come."""

    __slots__ = ("_pieces",)

    def __init__(self) -> None:
        self._pieces: list[bytes] = []

    @property
    def count(self) -> int:
        """Return how many have come."""
        return len(self._pieces)

    def add(self, piece: bytes) -> None:
        """Take one."""
        self._pieces.append(piece)

    def join(self) -> bytes:
        """Return the body so far."""
        return b"".join(self._pieces)


class HttpCaller:
    """Send requests to one base URL; a call never raises for a failure."""

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
    ) -> Answer | NoAnswer:
        """Send one request and return its response, within `timeout` seconds.

        A request that isn't `repeatable` is sent once at most.  With `stall` an
        answer is given up as soon as no byte of it came for so many seconds.
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
            prepare_curl_callback=use_any_connection if repeatable else use_new_one,
        )
        pieces = Pieces()
        if stall is not None:
            request.streaming_callback = pieces.add
        fetching = self._open().fetch(request, raise_error=False)
        fetching.add_done_callback(retrieve)
        await self._wait(fetching, pieces, stall)
        if fetching.done():
            return read_outcome(fetching, pieces.join())
        reason = "closed" if self._closing.done() else "silent"
        return NoAnswer(reason=reason, sent=True)

    async def _wait(
        self, fetching: asyncio.Future, pieces: "Pieces", stall: float | None
    ) -> None:
        """Wait until a call is over, stalls, or all of them are closed."""
        ends = {fetching, self._closing}
        count = -1
        while count < pieces.count and not any(end.done() for end in ends):
            count = pieces.count
            await asyncio.wait(ends, timeout=stall, return_when=asyncio.FIRST_COMPLETED)

    def close(self) -> None:
        """Close all connections; calls under way end without an answer."""
        if self._client is None or self._closing.done():
            return
        # Tornado's client never ends the calls that it held when closed:
        # a daemon that stops would wait for its own watches for ever.
        self._closing.set_result(None)
        self._client.close()

    def _open(self) -> CurlClient:
        if self._client is None:
            self._client = make_client(max_clients=self._max_clients)
            self._closing = asyncio.get_running_loop().create_future()
        return self._client


def use_any_connection(curl: pycurl.Curl) -> None:
    """Let curl send the request over a connection it kept."""
    use_no_proxy(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 0)


def use_new_one(curl: pycurl.Curl) -> None:
    """Make curl send the request over a connection of its own.

    When a kept connection closes before an answer, curl takes it for
    stale and sends the request again by itself.  A conditional write whose
    first sending took effect would then look like a conflict with another
    writer.  On a new connection curl doesn't repeat, so that the lost
    answer shows as what it is.
    """
    use_no_proxy(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def use_no_proxy(curl: pycurl.Curl) -> None:
    """Make curl pay no heed to proxies named in the environment.

    A proxy may send a request again or answer in the platform's stead,
    and then what an error says about a write isn't true any more.
    """
    curl.setopt(pycurl.NOPROXY, "*")


def retrieve(fetching: "asyncio.Future[HTTPResponse]") -> None:
    """Look at a call's error, which its cancelled caller never will."""
    if not fetching.cancelled():
        fetching.exception()


def read_outcome(
    fetching: "asyncio.Future[HTTPResponse]", body: bytes = b""
) -> Answer | NoAnswer:
    """Turn the client's result or error into a value; `body` came in pieces."""
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
