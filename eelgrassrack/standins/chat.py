"""The chat endpoint of the stand-in engine, with plain and streamed answers."""

import asyncio
import contextlib
import enum
import json
import uuid
from typing import TYPE_CHECKING, Any

import msgspec
import tornado.iostream
import tornado.web

if TYPE_CHECKING:
    from .engine import Engine

DEFAULT_TOKENS = 16
MAX_TOKENS = 8192
GARBAGE = b"data: {\xff\xfe not JSON\n\n"
DONE = b"data: [DONE]\n\n"


class EndReason(enum.Enum):
    """The reason why an answer ended."""

    WHOLE = "whole"
    EARLY = "early"
    CALLER_GONE = "caller gone"


class ChatMessage(msgspec.Struct, kw_only=True, frozen=True):
    """One message of the conversation."""

    role: str = "user"
    content: Any = ""


class ChatRequest(msgspec.Struct, kw_only=True, frozen=True):
    """The fields of a chat request that the engine uses."""

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    priority: int = 0

    @property
    def prompt(self) -> str:
        """Return the contents of all messages, joined by line breaks."""
        return join_contents(self.messages)

    @property
    def length(self) -> int:
        """Return the number of tokens to answer with."""
        wanted = self.max_completion_tokens or self.max_tokens or DEFAULT_TOKENS
        return max(1, min(wanted, MAX_TOKENS))


def join_contents(messages: tuple[ChatMessage, ...]) -> str:
    """Return the prompt to pass to `expected_text` for these messages."""
    return "\n".join(
        each.content if isinstance(each.content, str) else json.dumps(each.content)
        for each in messages
    )


class ChatHandler(tornado.web.RequestHandler):
    """Answers one chat request with one token per batch step."""

    def initialize(self, *, engine: "Engine") -> None:
        """Set the engine; Tornado calls this for each request."""
        self.engine = engine
        engine.notices.note(self)
        self._generation = None
        self._ended: asyncio.Future[EndReason] | None = None
        self._tokens: list[str] = []

    async def post(self) -> None:
        """Queue the request and wait until its answer has been written."""
        if self.engine.notices.turn_away(self):
            return
        try:
            self._chat = msgspec.json.decode(self.request.body, type=ChatRequest)
        except msgspec.DecodeError as error:
            self._refuse(status=400, text=str(error))
            return
        if self._chat.model not in self.engine.versions:
            self._refuse(status=404, text=f"no version {self._chat.model}")
            return
        request = self.request.headers.get("X-Request-Id") or uuid.uuid4().hex
        self._id = f"other-{request}" if self.engine.answer_other_id else request
        self._ended = asyncio.get_running_loop().create_future()
        self._generation = self.engine.submit(
            chat=self._chat, request=request, sink=self
        )
        if self._chat.stream:
            self.set_header("Content-Type", "text/event-stream")
        reason = await self._ended
        if reason is EndReason.EARLY and not self._chat.stream:
            await self._truncate_plain()

    def on_connection_close(self) -> None:
        """Free the slot when the caller has disconnected."""
        if self._ended is None or self._ended.done():
            return
        if self._generation is not None:
            self.engine.cancel(self._generation)
        self._end(EndReason.CALLER_GONE)

    def add_token(self, *, token: str) -> None:
        """Store a token, and write it if the answer is streamed."""
        self._tokens.append(token)
        if self._ended.done():
            return
        if self.engine.garbage and self._chat.stream:
            self._write(GARBAGE)
            return
        if self.engine.end_early and 2 * len(self._tokens) > self._chat.length:
            self.engine.cancel(self._generation)
            self._end(EndReason.EARLY)
            return
        if self._chat.stream:
            choice = {
                "index": 0,
                "delta": {"content": token},
                "finish_reason": None,
            }
            self._write_chunk({"choices": [choice]})

    def finish_answer(self) -> None:
        """Write the end of the answer after its last token."""
        if self._ended.done():
            return
        self._write_end()
        self._end(EndReason.WHOLE)

    def _write_end(self) -> None:
        """Write the end of a stream, or all of a plain answer."""
        if self._chat.stream:
            choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
            self._write_chunk({"choices": [choice]})
            self._write_chunk({"choices": [], "usage": self._usage()})
            self._write(DONE)
            return
        message = {"role": "assistant", "content": "".join(self._tokens)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        answer = {
            "id": self._id,
            "object": "chat.completion",
            "model": self._chat.model,
            "choices": [choice],
            "usage": self._usage(),
        }
        self.set_header("Content-Type", "application/json")
        self.write(GARBAGE if self.engine.garbage else msgspec.json.encode(answer))

    def _end(self, reason: EndReason) -> None:
        if not self._ended.done():
            self._ended.set_result(reason)

    async def _truncate_plain(self) -> None:
        """Send less than the announced Content-Length, then close the connection."""
        part = msgspec.json.encode({"id": self._id, "choices": []})
        self.set_header("Content-Length", str(2 * len(part)))
        self.write(part)
        with contextlib.suppress(tornado.iostream.StreamClosedError):
            await self.flush()
        self.request.connection.stream.close()

    def _usage(self) -> dict[str, int]:
        prompt = len(self._chat.prompt.split())
        completion = len(self._tokens)
        return {
            "prompt_tokens": prompt,
            "completion_tokens": completion,
            "total_tokens": prompt + completion,
        }

    def _write_chunk(self, part: dict[str, Any]) -> None:
        chunk = {
            "id": self._id,
            "object": "chat.completion.chunk",
            "model": self._chat.model,
            **part,
        }
        self._write(b"data: " + msgspec.json.encode(chunk) + b"\n\n")

    def _write(self, data: bytes) -> None:
        self.write(data)
        self.flush()

    def _refuse(self, *, status: int, text: str) -> None:
        self.set_status(status)
        self.finish({"error": {"message": text, "type": "invalid_request_error"}})
