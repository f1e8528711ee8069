"""A minimal HTTP/1.1 server side on asyncio streams, for stand-ins."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

REASONS = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


@dataclasses.dataclass
class Request:
    """A request with its whole body; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    fields = (line.partition(":") for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Return a status line and headers."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a whole answer with its length."""
    return encode_head(status, {**headers, "Content-Length": str(len(body))}) + body


Serve = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


async def start_server(host: str, port: int, serve: Serve) -> asyncio.Server:
    """Serve requests one after the other on each connection."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                await serve(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(handle, host, port)
