"""HTTP requests to the agent's endpoint, through tornado's curl client."""

from collections.abc import Callable
from typing import Protocol

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from ..bodysize import check_size
from ..curl import make_client
from ..mailbox.messages import UNKNOWN_SIZE, Start
from .answers import make_answer
from .headers import make_headers
from .outcomes import OnHead, Outcome, Stopped
from .transfer import Exchange, Transfer

MAX_EXCHANGES = 512
CONNECT_SECONDS = 2.0

# Added to curl's own timeout.  The runner ends an attempt at its deadline; curl's
# timeout is only a safety net for an exchange that the runner no longer tracks.
CURL_EXTRA_SECONDS = 5.0

BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})

# The method by which the library sends a body with a GET; the name that the endpoint
# gets is set by itself.
UPLOAD_METHOD = "PUT"


class Engine(Protocol):
    """The endpoint as a runner uses it."""

    async def run(
        self,
        *,
        start: Start,
        exchange: Exchange,
        timeout: float,
        on_begun: Callable[[], bool],
        on_piece: Callable[[bytes], None],
    ) -> Outcome:
        """Send one request, pass on its answer and return the outcome.

        `timeout` is in seconds.  `on_begun` is called once, before the first byte
        is sent; if it returns false, nothing is sent.  `on_piece` is called with
        each piece of the answer.  Raise `IncompleteBodyError`, and send nothing, if the
        request's body isn't whole.
        """


class HttpEngine:
    """An endpoint that is reached over HTTP."""

    __slots__ = ("_client", "_on_head", "_url")

    def __init__(self, *, url: str, on_head: OnHead) -> None:
        self._url = url
        self._on_head = on_head
        self._client = make_client(max_clients=MAX_EXCHANGES)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def run(
        self,
        *,
        start: Start,
        exchange: Exchange,
        timeout: float,
        on_begun: Callable[[], bool],
        on_piece: Callable[[bytes], None],
    ) -> Outcome:
        """Send one request, pass on its answer and return the outcome.

        Raise `IncompleteBodyError`, and send nothing, if the body isn't whole.
        """
        if start.size != UNKNOWN_SIZE:
            check_size(start.body, size=start.size)
        transfer = Transfer(
            exchange=exchange,
            answer=make_answer(start, on_piece),
            on_begun=on_begun,
            on_head=self._on_head,
        )
        is_upload = start.method == "GET" and bool(start.body)

        def prepare(curl: pycurl.Curl) -> None:
            transfer.prepare(curl)
            if is_upload:
                curl.setopt(pycurl.CUSTOMREQUEST, start.method)

        request = HTTPRequest(
            url=self._url + start.path,
            method=UPLOAD_METHOD if is_upload else start.method,
            headers=make_headers(start),
            body=start.body or (b"" if start.method in BODY_METHODS else None),
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            connect_timeout=CONNECT_SECONDS,
            request_timeout=timeout + CURL_EXTRA_SECONDS,
            prepare_curl_callback=prepare,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            return transfer.explain(error)
        finally:
            exchange.close()
        if exchange.stopped:
            return Stopped()
        return transfer.finish(response.code)
