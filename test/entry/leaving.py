"""Callers of an entry that leave, and what a plain service got from them."""

import asyncio
import contextlib
import socket

from bench.bodies import SentBody
from bench.leaving import Leaving, leave

TIMEOUT_SECONDS = 20.0
SEND_BUFFER_BYTES = 1_048_576

# So long an entry may take until it waits for the next request of a connection, and
# until what it was sent has reached an endpoint.
TURN_SECONDS = 0.02
SETTLE_SECONDS = 0.1

KEY = "school-key"
SERVICE = "/v1/services/registry"


class LeavingCaller:
    """A connection whose calls don't let the entry's event loop go on."""

    def __init__(self, url):
        host, _, port = url.removeprefix("http://").rpartition(":")
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.socket.settimeout(TIMEOUT_SECONDS)
        self.socket.connect((host, int(port)))
        self.address = self.socket.getsockname()
        self.received = b""

    def send(self, data, leaving=Leaving.STAY):
        """Send bytes at once, and leave."""
        self.socket.sendall(data)
        leave(self.socket, leaving)

    def has_answers(self, count=1, *, status=200):
        """Return whether so many answers of a status have arrived."""
        with contextlib.suppress(BlockingIOError):
            self.socket.settimeout(0.0)
            self.received += self.socket.recv(65_536)
        self.socket.settimeout(TIMEOUT_SECONDS)
        return self.received.count(b"HTTP/1.1 %d " % status) >= count

    def close(self):
        """Close the connection."""
        self.socket.close()


def make_body(size):
    """Return a body no part of which is like another."""
    return b"".join(b"%07d " % n for n in range(size // 8 + 1))[:size]


def make_head(
    key,
    *,
    method="POST",
    path="/credentials",
    target="",
    caller=KEY,
    fields="",
):
    """Return the head of a request without its framing.

    It is for `path` of the plain service, or for `target`.
    """
    return (
        f"{method} {target or SERVICE + path} HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer {caller}\r\nIdempotency-Key: {key}\r\n{fields}"
    ).encode()


def make_request(body, *, key, chunk=0, **rest):
    """Return a request: its body in chunks of so many bytes, or with a length."""
    sent = SentBody(content=body, chunk_bytes=chunk)
    framing = f"{sent.header}\r\n\r\n".encode()
    return make_head(key, **rest) + framing + sent.frame()


def settle(world):
    """Let the entry end what it has begun."""
    world.run(asyncio.sleep(SETTLE_SECONDS))
    world.wait(lambda: world.entry().core.is_idle)


def find_bodies(world, key):
    """Return the bodies that the service got under a key."""
    executions = world.standin("registry").executions
    return [each.body.encode() for each in executions if each.key == key]
