"""Callers that send a request and leave, at any byte of it and in any way."""

import asyncio
import enum
import itertools
import re
import socket
import struct

import msgspec

from test.gateway.world import HOST, KEY

# For the close of a connection that discards what is unsent and resets it.
NO_LINGER = struct.pack("ii", 1, 0)

ANSWER_BYTES = 65_536


class Leaving(enum.Enum):
    """How a caller ends its connection."""

    CLOSE = "close"
    HALF_CLOSE = "half close"
    RESET = "reset"


class Framing(msgspec.Struct, frozen=True):
    """How a body is framed: in chunks of `chunk` bytes, by its length if that is 0."""

    chunk: int = 0

    def __str__(self):
        return f"chunks of {self.chunk}" if self.chunk else "length"

    def encode(self, body):
        """Return the rest of a head and the body."""
        if not self.chunk:
            return f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        starts = range(0, len(body), self.chunk)
        pieces = (body[start : start + self.chunk] for start in starts)
        chunks = (b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
        return b"Transfer-Encoding: chunked\r\n\r\n" + b"".join(chunks) + b"0\r\n\r\n"


def make_body(attempt, size):
    """Return a body that no other attempt has."""
    numbers = itertools.count()
    text = "".join(f"{attempt}.{number};" for number in itertools.islice(numbers, size))
    return text[:size].encode()


def make_request(attempt, body, *, framing, path="/look/1", fields=()):
    """Return a whole request."""
    lines = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {attempt}",
        "X-Deadline-Ms: 5000",
        f"Authorization: Bearer {KEY}",
        *fields,
    )
    return "\r\n".join(lines).encode() + b"\r\n" + framing.encode(body)


async def open_socket(address):
    """Return a connected socket that doesn't block."""
    host, port = address.rsplit(":", 1)
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1_000_000)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return sock


async def read_to_end(sock):
    """Return all that comes until the connection ends."""
    loop = asyncio.get_running_loop()
    received = b""
    while piece := await loop.sock_recv(sock, ANSWER_BYTES):
        received += piece
    return received


def list_statuses(received):
    """Return the statuses of the answers that were received."""
    return [int(found) for found in re.findall(rb"HTTP/1.1 (\d+) ", received)]


def leave(sock, how):
    """End a connection."""
    match how:
        case Leaving.CLOSE:
            sock.close()
        case Leaving.HALF_CLOSE:
            sock.shutdown(socket.SHUT_WR)
        case Leaving.RESET:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            sock.close()
