"""Callers of an entry that leave, and what a plain service got from them."""

import asyncio
import contextlib
import enum
import socket
import struct

TIMEOUT_SECONDS = 20.0
SEND_BUFFER_BYTES = 1_048_576
RESET = struct.pack("ii", 1, 0)

# So long an entry may take until it waits for the next request of a connection, and
# until what it was sent has reached an endpoint.
TURN_SECONDS = 0.02
SETTLE_SECONDS = 0.1

KEY = "school-key"
SERVICE = "/v1/services/registry"


class Leave(enum.Enum):
    """What a caller does after the last byte of its request."""

    STAYS = "stays"
    HALF_CLOSES = "half closes"
    CLOSES = "closes"
    RESETS = "resets"


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

    def send(self, data, leave=Leave.STAYS):
        """Send bytes at once, and leave."""
        self.socket.sendall(data)
        match leave:
            case Leave.HALF_CLOSES:
                self.socket.shutdown(socket.SHUT_WR)
            case Leave.CLOSES:
                self.socket.close()
            case Leave.RESETS:
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                self.socket.close()

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


def make_request(body, *, key, chunk=None, **rest):
    """Return a request for the plain service, its body in one framing.

    Without the size of a `chunk` the body is declared by its length.
    """
    head = make_head(key, **rest)
    if chunk is None:
        return b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)
    pieces = (body[at : at + chunk] for at in range(0, len(body), chunk))
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in pieces)
    return b"%bTransfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n" % (head, chunks)


def settle(world):
    """Let the entry end what it has begun."""
    world.run(asyncio.sleep(SETTLE_SECONDS))
    world.wait(lambda: world.entry().core.is_idle)


def find_bodies(world, key):
    """Return the bodies that the service got under a key."""
    executions = world.standin("registry").executions
    return [each.body.encode() for each in executions if each.key == key]
