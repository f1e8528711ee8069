"""Many callers of one process that send something and then stay open."""

import asyncio
import contextlib
import pathlib

import msgspec

from test.gateway.world import HOST, KEY, Caller

# How long a caller tries to send, and an ordinary one waits for its answer.
SEND_SECONDS = 20.0
ANSWER_SECONDS = 20.0

# An ordinary caller comes back so often, after the time that a refusal names.
MOST_TRIES = 5
DEFAULT_PAUSE_SECONDS = 1.0

# Connections are opened in groups that fit into a listen queue.
GROUP = 100

KILOBYTE = 1_024
MEGABYTE = 1_000_000


class Usage(msgspec.Struct, frozen=True):
    """What a process has used: its highest memory in bytes, its descriptors now."""

    memory: int
    descriptors: int


def measure(process):
    """Return what a running process uses; raise `AssertionError` if it has ended."""
    assert process.poll() is None, f"the process ended with {process.returncode}"
    folder = pathlib.Path("/proc", str(process.pid))
    lines = (folder / "status").read_text().splitlines()
    peak = next(line for line in lines if line.startswith("VmHWM:"))
    return Usage(
        memory=int(peak.split()[1]) * KILOBYTE,
        descriptors=len(list((folder / "fd").iterdir())),
    )


def make_head(path, *, key=KEY, attempt="crowd", filler=0, fields=()):
    """Return the head of a request, without the empty line at its end."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {attempt}",
        "X-Deadline-Ms: 60000",
        f"Authorization: Bearer {key}",
        *fields,
    ]
    lines += [f"X-Filler-{number}: {'x' * 1_000}" for number in range(filler)]
    return "\r\n".join(lines).encode() + b"\r\n"


def make_chunks(size, *, piece):
    """Return a body in chunks of `piece` bytes, without its end."""
    chunk = f"{piece:x}\r\n".encode() + b"x" * piece + b"\r\n"
    return chunk * (size // piece)


async def _open(address, receive_bytes):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port), limit=KILOBYTE)
    writer.transport.set_write_buffer_limits(0)
    if receive_bytes:
        # Nothing is read on, so that the answer stays with its sender.
        writer.transport.pause_reading()
    return Caller(reader, writer)


async def _send(caller, pieces):
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_SECONDS):
            for piece in pieces:
                caller.writer.write(piece)
                await caller.writer.drain()


@contextlib.asynccontextmanager
async def gather_crowd(address, count, *pieces, reads=True):
    """Yield once `count` callers have sent their pieces; they stay open until then.

    With `reads` unset they don't read what is sent to them.
    """
    callers = []
    try:
        for begin in range(0, count, GROUP):
            group = range(begin, min(begin + GROUP, count))
            callers += await asyncio.gather(*(_open(address, not reads) for _ in group))
        await asyncio.gather(*(_send(caller, pieces) for caller in callers))
        yield callers
    finally:
        for caller in callers:
            caller.writer.transport.abort()


async def ask(connect_and_read):
    """Return the status of an ordinary request, which comes back after refusals.

    `connect_and_read` sends it once and returns its `CallerResponse`.
    """
    for _ in range(MOST_TRIES):
        async with asyncio.timeout(ANSWER_SECONDS):
            response = await connect_and_read()
        if response.status != 503:
            break
        pause = response.headers.get("retry-after", DEFAULT_PAUSE_SECONDS)
        await asyncio.sleep(float(pause))
    return response.status
