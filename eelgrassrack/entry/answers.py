"""Response bodies: streamed chats, plain bodies and errors.

Streamed chats follow the OpenAI-compatible API: server-sent events that end
with `[DONE]`.  An incomplete answer ends with an error event instead, so that
the client doesn't take it for complete.
"""

import time
from typing import Protocol

import msgspec

from ..decoding import decode_json
from ..errors import FormatError
from ..mailbox.messages import Bill
from . import headers
from .refusals import CallerError, encode_error

EVENT_START = b"data: "
EVENT_END = b"\n\n"
STREAM_END = b"data: [DONE]\n\n"
EVENT_STREAM = "text/event-stream"
JSON = "application/json"


class Labels(msgspec.Struct, kw_only=True, frozen=True):
    """Request metadata that every response carries in its headers."""

    request: str
    model: str = ""
    version: str = ""
    revision: int = 0
    session_token: str = ""

    def build_headers(self, *, run: headers.Run) -> list[tuple[str, str]]:
        """Return the response headers, without the empty ones."""
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
    """Writes the response to one request.

    `error` is the error that was sent to the caller, if any.  `has_begun` is
    true once the status line has been sent.
    """

    error: CallerError | None
    has_begun: bool

    def buffer_until_complete(self) -> None:
        """Buffer the response and send it only once it is complete."""

    def begin(self, *, status: int, fields: list[tuple[str, str]]) -> None:
        """Send the status and the headers."""

    def write(self, data: bytes) -> None:
        """Send a part of the body."""

    def finish(self) -> None:
        """End the body."""

    def abort(self) -> None:
        """Close the connection so that the body is seen to be truncated."""


class Usage(msgspec.Struct, kw_only=True, frozen=True):
    """Token counts in the format of the OpenAI-compatible API."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Chunk(msgspec.Struct, kw_only=True, frozen=True):
    """One server-sent event of a streamed chat."""

    id: str
    object: str = "chat.completion.chunk"
    created: int
    model: str
    choices: list[msgspec.Raw]
    usage: Usage | None = None


class ChatStream:
    """Writes a streamed chat to a caller, one event per piece.

    The JSON before each piece is encoded once per stream, because only the
    piece itself changes from event to event.
    """

    __slots__ = ("_prefix", "_labels", "_responder")

    def __init__(self, *, responder: Responder, labels: Labels) -> None:
        self._responder = responder
        self._labels = labels
        self._prefix = b""

    def write_piece(self, piece: bytes) -> None:
        """Send one piece: the JSON text of the `choices` of a chunk."""
        if not self._prefix:
            self._begin()
        self._responder.write(self._prefix + piece + b"}\n\n")

    def finish(self, *, bill: Bill | None, wants_usage: bool) -> None:
        """End a complete answer, with the token counts if `wants_usage`."""
        if not self._prefix:
            self._begin()
        if wants_usage and bill is not None:
            self._responder.write(self._build_usage(bill))
        self._responder.write(STREAM_END)
        self._responder.finish()

    def abort(self, error: CallerError) -> None:
        """Send an error event and end the incomplete answer."""
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
        self._prefix = EVENT_START + text[: text.index(b"[]")]

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
    """Send a chat that isn't streamed.

    Replaces the engine's `id` and `model` by the request's id and the version.
    Returns an error, and sends nothing, if the body isn't valid JSON.
    """
    try:
        fields = decode_json(body, kind=dict[str, msgspec.Raw])
    except FormatError:
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
    """Send a complete body with its `Content-Length`."""
    fields = [*fields, ("Content-Length", str(len(body)))]
    responder.begin(status=status, fields=fields)
    if body:
        responder.write(body)
    responder.finish()


def write_error(*, responder: Responder, labels: Labels, error: CallerError) -> None:
    """Send an error, or close the connection if a body has begun."""
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
