"""Requests and responses as the modules of the gateway exchange them."""

import enum

import msgspec


class RouteKind(enum.Enum):
    """How a route's requests behave when they are repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt that requests may share; `tokens` is its length."""

    name: str
    tokens: int


class Arrival(msgspec.Struct, kw_only=True):
    """A request as its caller sent it.

    `headers` are those that are forwarded unchanged, `timeout` is the number of
    seconds that the caller waits, and `arrived` the event loop's time at which the
    headers were read.  `tokens_in` is the length of the prompt and `tokens_out` the
    maximum length of the answer in tokens; `length_hint` is the caller's estimate of
    the latter.  `resume_after` is the id of the last event that the caller has.
    `body_size` is the number of bytes of the body that were decoded.
    """

    id: str
    method: str
    target: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    arrived: float
    key: str | None = None
    timeout: float | None = None
    model: str = ""
    tokens_in: int = 0
    tokens_out: int = 0
    parts: tuple[PromptPart, ...] = ()
    session: str = ""
    resume_after: str = ""
    length_hint: int = 0
    body: bytes = b""
    body_size: int = 0


class EndpointLoad(msgspec.Struct, frozen=True):
    """Load that an endpoint reports in a response, in requests.

    `stretch` is how long work takes there at this moment, as a multiple of the usual,
    None if the endpoint doesn't tell.
    """

    running: int
    waiting: int
    slots: int
    stretch: float | None = None


class ResponseHead(msgspec.Struct, kw_only=True, frozen=True):
    """Status and headers of an endpoint's response.

    `headers` are those to forward.  `not_run` is set if the endpoint guarantees that
    the request has not run and never will, `is_whole` if the response carries the
    stamp that marks a complete success.  `attempt` is the id of the request that the
    endpoint answers.  `keep_alive` is the number of seconds for which the endpoint
    keeps an idle connection, `will_close` is set if it closes this one.
    `confidence` is the model's own rating of the answer, from 0 to 100.  `rest` is the
    number of seconds for which a busy endpoint wants no requests of this gateway.
    `is_leaving` is set if the endpoint is about to exit, `is_misdirected` if the
    request was meant for another endpoint.  `sender` is the name of the endpoint that
    answered, empty if it didn't tell.  `limit` is the number of requests per second
    that it takes from all gateways, None if it names none; `odd_limit` holds what it
    sent if that is no such number.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    not_run: bool
    is_whole: bool
    attempt: str
    is_event_stream: bool = False
    load: EndpointLoad | None = None
    keep_alive: float | None = None
    will_close: bool = False
    confidence: int | None = None
    rest: float | None = None
    is_leaving: bool = False
    is_misdirected: bool = False
    sender: str = ""
    limit: float | None = None
    odd_limit: str | None = None


class Data(msgspec.Struct, frozen=True):
    """Bytes of a response's body."""

    data: bytes


class End(msgspec.Struct, frozen=True):
    """The end of a response's body."""


class Refusal(msgspec.Struct, kw_only=True, frozen=True):
    """A response that the gateway sends instead of an endpoint's.

    `retry_after` is the number of seconds after which the caller should try again.
    """

    status: int
    reason: str
    retry_after: float | None = None
