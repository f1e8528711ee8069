"""Responses of which only a part of the head arrives, and a server that sends them."""

import asyncio
import contextlib

STATUS = b"HTTP/1.1 200 OK\r\n"
WHOLE = STATUS + b"Content-Length: 2\r\n\r\n{}"
CUTS = {
    "after the status line": STATUS,
    "inside a name": STATUS + b"Content-Le",
    "inside a value": STATUS + b"X-Stamp: ab",
    "after a field": STATUS + b"X-Stamp: abc\r\n",
    "after the length": STATUS + b"Content-Length: 9\r\n",
    "after the coding": STATUS + b"Transfer-Encoding: chunked\r\n",
    "after an interim head": b"HTTP/1.1 100 Continue\r\n\r\n" + STATUS,
}


@contextlib.asynccontextmanager
async def serve(answer):
    """Serve `answer` to each request, then close; yield the URL."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    async with server:
        yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
