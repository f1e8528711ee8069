"""Tests of callers that stop reading their answers for a while."""

import asyncio
import socket

from eelgrassrack.standins.directengine import Reply

from .leaving import make_request
from .world import make_world, run

# Longer than the kernel may wait for an acknowledgement.
PAUSE_SECONDS = 4.0

WINDOW_BYTES = 2_048
ANSWER = b"x" * 40_000


def test_a_caller_that_pauses_gets_its_whole_answer():
    """Guards against answers that are reset in the middle as their callers pause."""

    async def main():
        async with make_world() as world:
            await world.add_engine("e1", Reply(body=ANSWER))
            await world.start_gateway()
            await world.wait_ready()
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            sock.setblocking(False)
            host, port = world.settings[0].listen.split(":")
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (host, int(port)))
            sock.send(make_request("a1", b"ask"))
            await asyncio.sleep(PAUSE_SECONDS)
            received = b""
            while not received.endswith(ANSWER):
                piece = await loop.sock_recv(sock, len(ANSWER))
                assert piece, "the answer was broken off"
                received += piece
            sock.close()

    run(main())
