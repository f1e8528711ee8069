"""Tests of the lingering close of connections."""

import asyncio
import socket

import pytest
from tornado.iostream import IOStream

from eelgrassrack.lingering import LingeringConnections, discard_unsent

ANSWER = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"

# More than the kernel takes for a connection.
LONG = b"x" * 8_000_000


def make_pair():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    accepted.setblocking(False)
    return IOStream(accepted), caller


def read_all(caller):
    """Return what a caller gets until its connection ends; raise `OSError`."""
    with caller:
        caller.settimeout(5.0)
        return b"".join(iter(lambda: caller.recv(65_536), b""))


def test_a_last_answer_follows_whole_answers_only():
    """Guards against a last answer that its caller takes for a part of another one."""

    async def main():
        stream, caller = make_pair()
        stream.write(LONG)
        LingeringConnections().half_close(stream, ANSWER)
        got = await asyncio.to_thread(read_all, caller)
        assert 0 < len(got) < len(LONG)
        assert set(got) == {ord("x")}

    asyncio.run(main())


def test_a_connection_that_ends_by_a_reset_isnt_ended_otherwise():
    """Guards against an answer without a length that looks whole to its caller."""

    async def main():
        stream, caller = make_pair()
        await stream.write(b"part")
        discard_unsent(stream.socket)
        LingeringConnections().half_close(stream, ANSWER)
        with pytest.raises(ConnectionResetError):
            await asyncio.to_thread(read_all, caller)

    asyncio.run(main())
