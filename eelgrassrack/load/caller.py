"""Callers that send requests with curl and return the outcome of each try."""

import itertools
import secrets
import time

import msgspec
import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from ..curl import make_client
from .outcomes import Outcome, Unreachable, classify_response
from .reader import AnswerReader
from .tally import Tally
from .workload import RequestKind

# An entry ends a request at its deadline.  A caller that closed the connection
# at the same time would usually miss the entry's response.
DEADLINE_MARGIN_SECONDS = 1.0


class Call(msgspec.Struct, kw_only=True, frozen=True):
    """One request; `due` and `ends_at` are seconds of the monotonic clock."""

    kind: RequestKind
    due: float
    body: bytes
    session: str = ""
    idempotency_key: str = ""

    @property
    def ends_at(self) -> float:
        """Return the deadline of the request."""
        return self.due + self.kind.deadline


class ChatMessage(msgspec.Struct, frozen=True):
    """A message of a chat."""

    content: str
    role: str = "user"


class ChatBody(msgspec.Struct, kw_only=True, frozen=True):
    """The body of a chat request."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    stream: bool


class Callers:
    """All callers; they use the entries in turn, like a load balancer."""

    def __init__(self, *, entries: list[str], most_at_once: int) -> None:
        self._client = make_client(max_clients=most_at_once)
        self._entries = itertools.cycle([url.rstrip("/") for url in entries])

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def send(self, call: Call, *, tally: Tally) -> Outcome:
        """Send a request once and return its outcome."""
        reader = AnswerReader(kind=call.kind, due=call.due, tally=tally)
        request = build_request(call, entry=next(self._entries), now=time.monotonic())
        request.header_callback = reader.read_header
        request.streaming_callback = reader.read
        error = None
        try:
            await self._client.fetch(request, raise_error=False)
        except CurlError as failure:
            error = failure
        tally.responses += reader.status != 0
        if error is not None and error.errno == pycurl.E_COULDNT_CONNECT:
            return Unreachable()
        return classify_response(reader.build_response(is_cut=error is not None))


def build_request(call: Call, *, entry: str, now: float) -> HTTPRequest:
    """Return the HTTP request for one try, sent at `now`."""
    kind = call.kind
    remaining = max(0.001, call.ends_at - now)
    headers = {
        "Authorization": f"Bearer {kind.key}",
        "Content-Type": "application/json" if kind.model else "text/plain",
        "Eelgrassrack-Deadline": f"{remaining:.3f}",
        "Eelgrassrack-Kind": kind.name,
    }
    if call.session:
        headers["Eelgrassrack-Session"] = call.session
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    path = (
        "/v1/chat/completions"
        if kind.model
        else f"/v1/services/{kind.service}{kind.path}"
    )
    method = "POST" if kind.model else kind.method
    return HTTPRequest(
        f"{entry}{path}",
        method=method,
        body=None if method in ("GET", "HEAD") else call.body,
        headers=headers,
        connect_timeout=remaining + DEADLINE_MARGIN_SECONDS,
        request_timeout=remaining + DEADLINE_MARGIN_SECONDS,
        allow_nonstandard_methods=True,
        decompress_response=False,
    )


def build_body(kind: RequestKind, *, words: int, unique_id: str) -> bytes:
    """Return a body of `words` words; the unique id is the first of them."""
    text = " ".join([unique_id, *itertools.repeat("word", words - 1)])
    if not kind.model:
        return text.encode()
    body = ChatBody(
        model=kind.model,
        messages=(ChatMessage(text),),
        max_tokens=kind.max_tokens,
        stream=kind.stream,
    )
    return msgspec.json.encode(body)


def make_unique_id() -> str:
    """Return an id that is unique across all requests and runs."""
    return secrets.token_hex(8)
