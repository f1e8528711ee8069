"""Incremental reader of an answer that times tokens and checks completeness."""

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

# A service's own client errors count as its answers, and only server errors
# as failures.
SERVICE_ANSWER_STATUSES = range(200, 500)


class Message(msgspec.Struct, frozen=True):
    """The message of an answer that isn't streamed."""

    content: str | None = None


class Choice(msgspec.Struct, frozen=True):
    """One choice of an answer that isn't streamed."""

    message: Message
    finish_reason: str | None = None


class PlainAnswer(msgspec.Struct, frozen=True):
    """A chat answer that isn't streamed."""

    choices: list[Choice]


class ErrorDetails(msgspec.Struct, frozen=True):
    """The error in an error body."""

    code: str | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of an error response."""

    error: ErrorDetails


class AnswerReader:
    """Reader of one answer.

    `due` is the arrival time of its request, in seconds of the monotonic clock.
    """

    __slots__ = (
        "_body",
        "_due",
        "_headers",
        "_is_streamed",
        "_kind",
        "_last_token_at",
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
        """Read one header line; a new status line starts the headers again."""
        if line.startswith("HTTP/"):
            self.status = int(line.split(None, 2)[1])
            self._headers.clear()
            return
        name, _, value = line.partition(":")
        self._headers[name.strip().lower()] = value.strip()

    def read(self, data: bytes) -> None:
        """Read a part of the body.

        Tokens that arrive in one read count as one: the caller gets them
        together, and gaps of zero between them would make the figures look
        too good.  Only the end of a stream is kept, since it shows whether
        the answer is complete.
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
        """Return the response after its transfer has ended.

        `is_cut` says that the transfer failed.  Without a status line there
        was no response.  With one, the code `cut` makes it a failed attempt
        and not an unknown outcome, since the caller saw the answer begin.
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
        """Return whether an answer that wasn't cut off is complete."""
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
        """Return the error code of the body or the last event, or an empty text."""
        body = (
            self._body.rpartition(EVENT_PREFIX)[2] if self._is_streamed else self._body
        )
        try:
            return msgspec.json.decode(body, type=ErrorBody).error.code or ""
        except msgspec.DecodeError:
            return ""
