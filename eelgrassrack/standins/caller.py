"""A client of the OpenAI-style chat API, for the demo and the tests.

It reads each answer to its end and checks whether it is complete.
"""

from collections.abc import Callable

import msgspec
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError

STREAM_END = "[DONE]"
DATA_PREFIX = "data: "
NO_ANSWER = 0

# Tornado's status code for a broken connection.
BROKEN_CONNECTION = 599
CALL_SECONDS = 60.0


class CallAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """The response that a caller received.

    `status` is 0 if the connection broke.  `is_whole` is whether the text is a
    complete answer.  `run`, `request`, `version`, `token` and `retry_after` are the
    values of response headers, and `code` is the error code in the body.
    """

    status: int
    text: str = ""
    is_whole: bool = False
    run: str = ""
    request: str = ""
    version: str = ""
    token: str = ""
    retry_after: str = ""
    code: str = ""
    body: bytes = b""


class AnswerText(msgspec.Struct, kw_only=True, frozen=True):
    """The text of an answer, and whether it is complete."""

    text: str = ""
    is_whole: bool = False


ReadText = Callable[[bytes], AnswerText]


class Caller:
    """A client with the API key of one organisation."""

    def __init__(self, *, key: str) -> None:
        self._client = AsyncHTTPClient(force_instance=True, max_clients=2000)
        self._key = key

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def chat(
        self,
        *,
        url: str,
        model: str,
        prompt: str,
        max_tokens: int = 16,
        stream: bool = True,
        fields: dict[str, str] | None = None,
        timeout: float = CALL_SECONDS,
    ) -> CallAnswer:
        """Send a chat request and read the complete answer.

        `timeout` is in seconds.
        """
        body = msgspec.json.encode(
            {
                "model": model,
                "messages": [{"role": "user", "content": prompt}],
                "max_tokens": max_tokens,
                "stream": stream,
            }
        )
        return await self.send(
            url=f"{url}/v1/chat/completions",
            body=body,
            fields=fields,
            timeout=timeout,
            read=read_stream if stream else read_plain,
        )

    async def send(
        self,
        *,
        url: str,
        method: str = "POST",
        body: bytes | None = None,
        fields: dict[str, str] | None = None,
        timeout: float = CALL_SECONDS,
        read: ReadText | None = None,
    ) -> CallAnswer:
        """Send any request; `read` extracts the text from the body of a 200 response.

        `timeout` is in seconds.
        """
        request = HTTPRequest(
            url,
            method=method,
            body=body,
            headers={
                "Authorization": f"Bearer {self._key}",
                "Content-Type": "application/json",
                **(fields or {}),
            },
            request_timeout=timeout,
            connect_timeout=timeout,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPStreamClosedError, HTTPTimeoutError, HTTPClientError, OSError):
            return CallAnswer(status=NO_ANSWER)
        if response.code == BROKEN_CONNECTION:
            return CallAnswer(status=NO_ANSWER)
        return _read_response(response, read or read_any)


def _read_response(response: HTTPResponse, read: ReadText) -> CallAnswer:
    get_header = response.headers.get
    body = response.body or b""
    is_success = response.code == 200
    answer = read(body) if is_success else AnswerText()
    return CallAnswer(
        status=response.code,
        text=answer.text,
        is_whole=answer.is_whole,
        run=get_header("Eelgrassrack-Run", ""),
        request=get_header("Eelgrassrack-Request", ""),
        version=get_header("Eelgrassrack-Version", ""),
        token=get_header("Eelgrassrack-Session-Token", ""),
        retry_after=get_header("Retry-After", ""),
        code="" if is_success else _read_code(body),
        body=body,
    )


def read_stream(body: bytes) -> AnswerText:
    """Return the text of server-sent events and whether the stream is complete."""
    lines = body.decode(errors="replace").split("\n")
    data = [
        line.removeprefix(DATA_PREFIX) for line in lines if line.startswith(DATA_PREFIX)
    ]
    is_whole = bool(data) and data[-1] == STREAM_END
    chunks = [msgspec.json.decode(text) for text in data if text != STREAM_END]
    deltas = (
        choice["delta"].get("content") or ""
        for chunk in chunks
        for choice in chunk.get("choices", ())
    )
    return AnswerText(text="".join(deltas), is_whole=is_whole)


def read_plain(body: bytes) -> AnswerText:
    """Return the text of a non-streamed chat answer."""
    answer = msgspec.json.decode(body)
    content = answer["choices"][0]["message"]["content"]
    return AnswerText(text=content, is_whole=True)


def read_any(body: bytes) -> AnswerText:
    """Return any body as text."""
    return AnswerText(text=body.decode(errors="replace"), is_whole=True)


def _read_code(body: bytes) -> str:
    try:
        return msgspec.json.decode(body)["error"]["code"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return ""
