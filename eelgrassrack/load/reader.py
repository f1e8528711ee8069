"""The reading of an answer as it comes: its tokens' times and its end."""

import time

import msgspec

from .outcomes import CLIENT_TIMEOUT, NO_RESPONSE, RAN, Response
from .tally import Tally
from .workload import RequestKind

EVENT_PREFIX = b"data: "
CONTENT_FIELD = b'"content"'
STREAM_END = b"data: [DONE]"
STREAM_TAIL_BYTES = 4096
CUT = "cut"
OK = 200

# What a service says of a request is its answer, unless it failed.
SERVICE_ANSWER_STATUSES = range(200, 500)


class Message(msgspec.Struct, frozen=True):
    """The message of a plain answer."""

    content: str | None = None


class Choice(msgspec.Struct, frozen=True):
    """One choice of a plain answer."""

    message: Message
    finish_reason: str | None = None


class PlainAnswer(msgspec.Struct, frozen=True):
    """A plain answer to a chat."""

    choices: list[Choice]


class ErrorDetails(msgspec.Struct, frozen=True):
    """What went wrong, as an error body says it."""

    code: str | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """An error body."""

    error: ErrorDetails


class AnswerReader:
    """One answer; `due` is when its request arrived, by the monotonic clock."""

    __slots__ = (
        "_body",
        "_due",
        "_headers",
        "_kind",
        "_last_token_at",
        "_is_streamed",
        "_tally",
        "status",
    )

    def __init__(self, *, kind: RequestKind, due: float, tally: Tally) -> None:
        self._body = b""
        self._due = due
        self._headers: dict[str, str] = {}
        self._kind = kind
        self._last_token_at = 0.0
        self._is_streamed = bool(kind.model) and kind.stream
        self._tally = tally
        self.status = 0

    def read_header(self, line: str) -> None:
        """Take one line of a response's head; the last response counts."""
        if line.startswith("HTTP/"):
            self.status = int(line.split(None, 2)[1])
            self._headers.clear()
            return
        name, _, value = line.partition(":")
        self._headers[name.strip().lower()] = value.strip()

    def read(self, data: bytes) -> None:
        """Take a part of the body.

        Tokens that come in one read count as one: the caller gets them
        together, and a gap of nothing between them would flatter.  Of a
        stream only the end is kept, for it says whether it is whole.
        """
        if not self._is_streamed or self.status != OK:
            self._body += data
            return
        self._body = (self._body + data)[-STREAM_TAIL_BYTES:]
        if CONTENT_FIELD not in data:
            return
        now = time.monotonic()
        if self._last_token_at:
            self._tally.add_gap(now - self._last_token_at)
        else:
            self._tally.add_first(now - self._due)
        self._last_token_at = now

    def build_response(self, *, is_cut: bool) -> Response:
        """Return what came, once its connection is done with it.

        Without a status nothing came.  With one, an answer that was cut
        off is broken rather than unknown: its caller saw it begin.
        """
        get_header = self._headers.get
        run = get_header("eelgrassrack-run", "")
        default_code = (CUT if self.status else CLIENT_TIMEOUT) if is_cut else ""
        return Response(
            status=self.status or NO_RESPONSE,
            run=run,
            retry_after=get_header("retry-after", ""),
            version=get_header("eelgrassrack-version", ""),
            code=self._find_code() or default_code,
            is_whole=not is_cut and self._is_whole(run),
        )

    def _is_whole(self, run: str) -> bool:
        """Tell whether an answer that wasn't cut off is whole."""
        if self._kind.service:
            return self.status in SERVICE_ANSWER_STATUSES and run in ("", RAN)
        if self.status != OK:
            return False
        if self._is_streamed:
            return self._body.rstrip().endswith(STREAM_END)
        try:
            answer = msgspec.json.decode(self._body, type=PlainAnswer)
        except msgspec.DecodeError:
            return False
        return bool(answer.choices) and answer.choices[0].finish_reason is not None

    def _find_code(self) -> str:
        """Return the code of an error body or of a stream's last event."""
        body = (
            self._body.rpartition(EVENT_PREFIX)[2] if self._is_streamed else self._body
        )
        try:
            return msgspec.json.decode(body, type=ErrorBody).error.code or ""
        except msgspec.DecodeError:
            return ""
