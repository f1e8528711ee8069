"""Sends the bytes of requests in parts, and leaves connections at any byte."""

import asyncio
import contextlib
import enum
import itertools
import random
import socket

from eelgrassrack.lingering import discard_unsent
from eelgrassrack.standins.directengine import reset_connection

MAX_PARTS = 4
ONE_PART_SHARE = 0.6
PAUSE_SECONDS = 0.02
# How long a caller that will leave waits for a process that doesn't read.
SEND_SECONDS = 3.0

# Where callers leave: right after the last byte, within the last bytes, anywhere.
WHOLE_SHARE = 0.6
NEARLY_WHOLE_SHARE = 0.2
LAST_BYTES = 8


class Leaving(enum.Enum):
    """What a caller does before it has its answer."""

    STAY = "stays"
    CLOSE = "closes"
    HALF_CLOSE = "half closes"
    RESET = "resets"


WAYS_TO_LEAVE = (Leaving.CLOSE, Leaving.HALF_CLOSE, Leaving.RESET)


def draw_cut(rng: random.Random, size: int) -> int:
    """Return how many of the `size` bytes of a request are sent before leaving."""
    place = rng.random()
    if place < WHOLE_SHARE:
        return size
    if place < WHOLE_SHARE + NEARLY_WHOLE_SHARE:
        return size - rng.randint(1, min(size, LAST_BYTES))
    return rng.randrange(size)


def draw_parts(rng: random.Random, data: bytes) -> list[bytes]:
    """Divide bytes at random; most often they stay in one piece."""
    count = 1 if rng.random() < ONE_PART_SHARE else rng.randint(2, MAX_PARTS)
    cuts = sorted(rng.randint(0, len(data)) for _ in range(count - 1))
    return [data[begin:end] for begin, end in itertools.pairwise([0, *cuts, len(data)])]


def leave(sock: socket.socket, leaving: Leaving) -> None:
    """Leave a connection in one of `WAYS_TO_LEAVE`, or stay."""
    match leaving:
        case Leaving.CLOSE:
            sock.close()
        case Leaving.HALF_CLOSE:
            sock.shutdown(socket.SHUT_WR)
        case Leaving.RESET:
            discard_unsent(sock)
            sock.close()


async def send_parts(writer: asyncio.StreamWriter, parts: list[bytes]) -> None:
    """Send parts with pauses between them, each once the one before is on its way."""
    # Without this, `drain` returns before all bytes have left the process.
    writer.transport.set_write_buffer_limits(high=0)
    with contextlib.suppress(OSError):
        for number, part in enumerate(parts):
            if number:
                await asyncio.sleep(PAUSE_SECONDS)
            writer.write(part)
            await writer.drain()


async def send_and_leave(
    writer: asyncio.StreamWriter, parts: list[bytes], leaving: Leaving
) -> None:
    """Send parts and then leave in one of `WAYS_TO_LEAVE`."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SEND_SECONDS):
            await send_parts(writer, parts)
    match leaving:
        case Leaving.CLOSE:
            writer.close()
        case Leaving.HALF_CLOSE:
            with contextlib.suppress(OSError):
                writer.write_eof()
        case Leaving.RESET:
            reset_connection(writer)
