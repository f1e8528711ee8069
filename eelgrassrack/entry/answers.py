"""Answers on their way to a caller.

A `Responder` is the caller's side of one request.  Streamed answers have
the shape of the usual language model API: server-sent events, ending in
`[DONE]`.  An answer that breaks off gets an error event instead, so that
a client can't take what it has for the whole.
"""

import time
from typing import Protocol

import msgspec

from ..mailbox.messages import Bill
from . import headers
from .refusals import CallerError, encode_error

EVENT_START = b"data: "
EVENT_END = b"\n\n"
STREAM_END = b"data: [DONE]\n\n"
EVENT_STREAM = "text/event-stream"
JSON = "application/json"


class Labels(msgspec.Struct, kw_only=True, frozen=True):
    """What every response says of its request."""

    request: str
    model: str = ""
    version: str = ""
    revision: int = 0
    session_token: str = ""

    def build_headers(self, *, run: headers.Run) -> list[tuple[str, str]]:
        """Return the response headers."""
        pairs = [
            (headers.REQUEST, self.request),
            (headers.RUN, run.value),
            (headers.REVISION, str(self.revision)),
            (headers.MODEL, self.model),
            (headers.VERSION, self.version),
            (headers.SESSION_TOKEN, self.session_token),
        ]
        return [(name, value) for name, value in pairs if value]


class Responder(Protocol):
    """The caller's side of one request; `error` is what it was told, if any."""

    error: CallerError | None
    has_begun: bool

    def keep_back(self) -> None:
        """Give the caller nothing until the answer is whole."""

    def begin(self, *, status: int, fields: list[tuple[str, str]]) -> None:
        """Send the status and the headers."""

    def write(self, data: bytes) -> None:
        """Send a part of the body."""

    def finish(self) -> None:
        """End the body."""

    def abort(self) -> None:
        """Cut the connection, so that the body can't look whole."""


class Usage(msgspec.Struct, kw_only=True, frozen=True):
    """Token counts in the shape of the usual language model API."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Chunk(msgspec.Struct, kw_only=True, frozen=True):
    """One event of a streamed chat."""

    id: str
    object: str = "chat.completion.chunk"
    created: int
    model: str
    choices: list[msgspec.Raw]
    usage: Usage | None = None


class ChatStream:
    """Write a streamed chat to a caller, piece by piece.

    The text around each piece is encoded once for the whole stream; only
    the piece itself changes from token to token.
    """

    __slots__ = ("_head", "_labels", "_responder")

    def __init__(self, *, responder: Responder, labels: Labels) -> None:
        self._responder = responder
        self._labels = labels
        self._head = b""

    def write_piece(self, piece: bytes) -> None:
        """Send one piece: the JSON text of a chunk's choices."""
        if not self._head:
            self._begin()
        self._responder.write(self._head + piece + b"}\n\n")

    def finish(self, *, bill: Bill | None, wants_usage: bool) -> None:
        """End the stream as a whole answer."""
        if not self._head:
            self._begin()
        if wants_usage and bill is not None:
            self._responder.write(self._build_usage(bill))
        self._responder.write(STREAM_END)
        self._responder.finish()

    def break_off(self, error: CallerError) -> None:
        """End the stream as an answer that isn't whole."""
        self._responder.error = error
        self._responder.write(EVENT_START + encode_error(error) + EVENT_END)
        self._responder.abort()

    def _begin(self) -> None:
        fields = self._labels.build_headers(run=headers.Run.RAN)
        fields += [("Content-Type", EVENT_STREAM), ("Cache-Control", "no-cache")]
        self._responder.begin(status=200, fields=fields)
        chunk = Chunk(
            id=self._labels.request,
            created=int(time.time()),
            model=self._labels.version,
            choices=[],
        )
        text = msgspec.json.encode(chunk)
        self._head = EVENT_START + text[: text.index(b"[]")]

    def _build_usage(self, bill: Bill) -> bytes:
        chunk = Chunk(
            id=self._labels.request,
            created=int(time.time()),
            model=self._labels.version,
            choices=[],
            usage=_count_usage(bill),
        )
        return EVENT_START + msgspec.json.encode(chunk) + EVENT_END


def write_chat_body(
    *, responder: Responder, labels: Labels, body: bytes
) -> CallerError | None:
    """Send a chat that isn't streamed; the engine's id becomes the request's."""
    try:
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except msgspec.DecodeError:
        return CallerError(
            status=502,
            code="engine_garbage",
            text="The engine's answer can't be read.",
            run=headers.Run.RAN,
            retry_after=1.0,
        )
    changed = {"id": labels.request, "model": labels.version}
    write_body(
        responder=responder,
        status=200,
        fields=[
            *labels.build_headers(run=headers.Run.RAN),
            ("Content-Type", JSON),
        ],
        body=msgspec.json.encode({**fields, **changed}),
    )
    return None


def write_body(
    *,
    responder: Responder,
    status: int,
    fields: list[tuple[str, str]],
    body: bytes,
) -> None:
    """Send a whole body of known length."""
    fields = [*fields, ("Content-Length", str(len(body)))]
    responder.begin(status=status, fields=fields)
    if body:
        responder.write(body)
    responder.finish()


def write_error(*, responder: Responder, labels: Labels, error: CallerError) -> None:
    """Send an error, or cut a body that has begun."""
    responder.error = error
    if responder.has_begun:
        responder.abort()
        return
    fields = labels.build_headers(run=error.run)
    fields.append(("Content-Type", JSON))
    if error.retry_after > 0:
        fields.append((headers.RETRY_AFTER, error.retry_after_header))
    write_body(
        responder=responder,
        status=error.status,
        fields=fields,
        body=encode_error(error),
    )


def _count_usage(bill: Bill) -> Usage:
    return Usage(
        prompt_tokens=bill.prompt_tokens,
        completion_tokens=bill.completion_tokens,
        total_tokens=bill.prompt_tokens + bill.completion_tokens,
    )
