"""Check that an endpoint's answer is complete and belongs to its request.

The received bytes are fed to an answer object, which hands on pieces.  It raises
`AnswerError` as soon as the bytes can't be a complete answer to this attempt.
"""

from collections.abc import Callable
from typing import Annotated

import msgspec

from ..decoding import decode_json
from ..errors import FormatError
from ..mailbox.messages import Start
from .errors import AnswerError

# The longest event and the longest body that are accepted from an endpoint.
MAX_EVENT_BYTES = 1_000_000
MAX_BODY_BYTES = 16_000_000
PIECE_BYTES = 65_536

DONE = b"[DONE]"
FIRST_ERROR_STATUS = 300
BODYLESS_STATUSES = frozenset({204, 304})

# What one answer can be billed for, as far as bills can hold it.
TokenCount = Annotated[int, msgspec.Meta(ge=0, le=2**53)]

# The number of a choice in an answer.
ChoiceIndex = Annotated[int, msgspec.Meta(ge=0, le=2**31)]

OnPiece = Callable[[bytes], None]


class Choice(msgspec.Struct, kw_only=True):
    """The fields in use of one choice of a chunk or a complete answer."""

    index: ChoiceIndex = 0
    finish_reason: str | None = None


class Chunk(msgspec.Struct, kw_only=True):
    """One event of a streamed chat answer."""

    id: str
    choices: msgspec.Raw
    usage: dict[str, msgspec.Raw] | None = None


class Completion(msgspec.Struct, kw_only=True):
    """A complete chat answer in one JSON body."""

    id: str
    choices: list[Choice]
    usage: dict[str, msgspec.Raw] | None = None


class StreamedAnswer:
    """A chat answer that arrives as server-sent events."""

    __slots__ = ("_attempt", "_buffer", "_done", "_on_piece", "_unfinished", "_usage")

    def __init__(self, *, attempt: str, on_piece: OnPiece) -> None:
        self._attempt = attempt
        self._on_piece = on_piece
        self._buffer = b""
        self._unfinished: dict[int, bool] = {}
        self._done = False
        self._usage: dict[str, int] | None = None

    def accepts(self, status: int) -> bool:
        """Return whether the body of an answer with this status is checked."""
        return status < FIRST_ERROR_STATUS

    def feed(self, data: bytes) -> None:
        """Process the next bytes; raise `AnswerError` if they can't be right."""
        lines = (self._buffer + data).split(b"\n")
        self._buffer = lines.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise AnswerError("an event is too long")
        for line in lines:
            if line.startswith(b"data:"):
                self._process_event(line[5:].strip())

    def finish(self, unused_headers: object) -> dict[str, int] | None:
        """Return the token usage; raise `AnswerError` if the stream is incomplete."""
        if not self._done:
            raise AnswerError("the stream ended before [DONE]", cut=True)
        return self._usage

    def _process_event(self, event: bytes) -> None:
        if self._done:
            raise AnswerError("the stream goes on after [DONE]")
        if event == DONE:
            self._finish_stream()
            return
        try:
            chunk = decode_json(event, kind=Chunk)
            choices = decode_json(chunk.choices, kind=list[Choice])
        except FormatError as error:
            raise AnswerError(f"not a chunk: {error}") from error
        # Without this check a late answer to an earlier attempt could reach this
        # caller.  The engine uses the attempt's name as the id of its answer.
        if chunk.id != self._attempt:
            raise AnswerError("the chunk is another request's")
        if chunk.usage is not None:
            self._usage = read_usage(chunk.usage)
        for choice in choices:
            self._unfinished[choice.index] = choice.finish_reason is None
        if choices:
            self._on_piece(bytes(chunk.choices))

    def _finish_stream(self) -> None:
        if not self._unfinished or any(self._unfinished.values()):
            raise AnswerError("[DONE] without a finish_reason", cut=True)
        self._done = True


class JsonChatAnswer:
    """A chat answer that arrives as one JSON body."""

    __slots__ = ("_attempt", "_body", "_on_piece")

    def __init__(self, *, attempt: str, on_piece: OnPiece) -> None:
        self._attempt = attempt
        self._on_piece = on_piece
        self._body = bytearray()

    def accepts(self, status: int) -> bool:
        """Return whether the body of an answer with this status is checked."""
        return status < FIRST_ERROR_STATUS

    def feed(self, data: bytes) -> None:
        """Process the next bytes; raise `AnswerError` if they can't be right."""
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            raise AnswerError("the body is too long")

    def finish(self, unused_headers: object) -> dict[str, int] | None:
        """Hand on the body in pieces and return the token usage.

        Raise `AnswerError` if the body isn't the complete answer.
        """
        try:
            answer = decode_json(self._body, kind=Completion)
        except FormatError as error:
            raise AnswerError(f"not a chat answer: {error}") from error
        if answer.id != self._attempt:
            raise AnswerError("the answer is another request's")
        if not answer.choices or any(
            choice.finish_reason is None for choice in answer.choices
        ):
            raise AnswerError("the answer has no finish_reason", cut=True)
        body = bytes(self._body)
        for begin in range(0, len(body), PIECE_BYTES):
            self._on_piece(body[begin : begin + PIECE_BYTES])
        return None if answer.usage is None else read_usage(answer.usage)


class PlainAnswer:
    """An answer of a plain service, which is passed on unchanged."""

    __slots__ = ("_on_piece", "_size")

    def __init__(self, *, on_piece: OnPiece) -> None:
        self._on_piece = on_piece
        self._size = 0

    def accepts(self, unused_status: int) -> bool:
        """Return true: the body of any status is passed on."""
        return True

    def feed(self, data: bytes) -> None:
        """Process the next bytes; raise `AnswerError` if they can't be right."""
        self._size += len(data)
        if self._size > MAX_BODY_BYTES:
            raise AnswerError("the body is too long")
        self._on_piece(bytes(data))

    def finish(self, headers: tuple[tuple[str, str], ...]) -> None:
        """Raise `AnswerError` if the body may have been truncated.

        Curl checks a body against its Content-Length or its last chunk.  For a
        body that ends when the connection closes there is nothing to check.
        """
        names = {name.lower() for name, _ in headers}
        framed = names & {"content-length", "transfer-encoding"}
        if self._size and not framed:
            raise AnswerError("the body has no length", cut=True)


ChatAnswer = StreamedAnswer | JsonChatAnswer


def make_answer(start: Start, on_piece: OnPiece) -> ChatAnswer | PlainAnswer:
    """Return the object that checks the answer to this attempt."""
    if start.service:
        return PlainAnswer(on_piece=on_piece)
    if start.stream:
        return StreamedAnswer(attempt=start.attempt, on_piece=on_piece)
    return JsonChatAnswer(attempt=start.attempt, on_piece=on_piece)


def read_usage(usage: dict[str, msgspec.Raw]) -> dict[str, int]:
    """Return the billed token counts; raise `AnswerError` if one isn't an integer."""
    try:
        return {
            name: decode_json(usage[name], kind=TokenCount)
            for name in ("prompt_tokens", "completion_tokens")
            if name in usage
        }
    except FormatError as error:
        raise AnswerError(f"the usage is no count: {error}") from error
