"""Requests and answers, as the gateway's parts hand them on."""

import enum

import msgspec


class RouteKind(enum.Enum):
    """What a request's route says of repeating it."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt, which requests may share; `tokens` is its length."""

    name: str
    tokens: int


class Arrival(msgspec.Struct, kw_only=True):
    """A request as its caller sent it.

    `headers` are those that are passed on unchanged.  `timeout` is how many
    seconds the caller waits, `arrived` the loop's time when its header was
    read, `resume_after` the id of the last event that the caller has,
    `length_hint` its guess of the tokens in the answer.
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


class EndpointLoad(msgspec.Struct, frozen=True):
    """What an endpoint says of itself in an answer."""

    running: int
    waiting: int
    slots: int


class ResponseHead(msgspec.Struct, kw_only=True, frozen=True):
    """The head of an endpoint's answer.

    `headers` are those to pass on.  `not_run` says that the endpoint promised
    not to have run the request.  `keep_alive` is the seconds for which the
    endpoint keeps an idle connection, `will_close` that it closes this one.
    `confidence` is the model's own opinion of the answer, from 0 to 100.
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


class Data(msgspec.Struct, frozen=True):
    """Bytes of an answer's body."""

    data: bytes


class End(msgspec.Struct, frozen=True):
    """The answer is complete."""


class Refusal(msgspec.Struct, kw_only=True, frozen=True):
    """An answer of the gateway's own.

    `retry_after` is in seconds and tells when to come back.
    """

    status: int
    reason: str
    retry_after: float | None = None
