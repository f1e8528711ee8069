"""Requests of callers that leave, and what they get."""

import asyncio
import itertools
import re
import socket

from bench.bodies import SentBody
from test.gateway.world import HOST, KEY

ANSWER_BYTES = 65_536


def make_body(attempt, size):
    """Return a body that no other attempt has."""
    numbers = itertools.count()
    text = "".join(f"{attempt}.{number};" for number in itertools.islice(numbers, size))
    return text[:size].encode()


def make_request(attempt, body, *, chunk=0, path="/look/1", fields=()):
    """Return a whole request: its body in chunks of so many bytes, or with a length."""
    sent = SentBody(content=body, chunk_bytes=chunk)
    lines = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {attempt}",
        "X-Deadline-Ms: 5000",
        f"Authorization: Bearer {KEY}",
        *fields,
        sent.header,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + sent.frame()


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
