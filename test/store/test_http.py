"""The HTTP client of the platform's store and of peers."""

import asyncio

from eelgrassrack.store.http import HttpCaller, NoAnswer

from ..gateway.world import run

STALL_SECONDS = 0.3
PIECE_BYTES = 16_384
PIECES = 100
HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {PIECES * PIECE_BYTES}\r\n\r\n"


class SlowServer:
    """Sends a large answer that pauses after its first piece until it may go on."""

    def __init__(self):
        self.sent = 0
        self.is_done = asyncio.Event()
        self.may_go_on = asyncio.Event()
        self.url = ""
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.url = f"http://{host}:{port}"

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD.encode())
            for number in range(PIECES):
                writer.write(b"x" * PIECE_BYTES)
                await writer.drain()
                self.sent += 1
                if not number:
                    await self.may_go_on.wait()
                await asyncio.sleep(0.01)
        except ConnectionError:
            return
        finally:
            self.is_done.set()
            writer.close()


def test_an_abandoned_call_receives_nothing_more():
    """Guards against answers that fill the link after their caller gave them up.

    An answer pauses for longer than the caller waits, and then goes on.
    """

    async def main():
        server = SlowServer()
        await server.start()
        caller = HttpCaller(url=server.url, max_clients=2)
        answer = await caller.fetch(path="/x", timeout=8.0, stall=STALL_SECONDS)
        assert isinstance(answer, NoAnswer)
        server.may_go_on.set()
        await asyncio.wait_for(server.is_done.wait(), 3.0)
        assert server.sent < PIECES / 2
        caller.close()
        server.stop()

    run(main())


def test_a_cancelled_call_receives_nothing_more():
    """Guards against answers that fill the link after their call was cancelled."""

    async def main():
        server = SlowServer()
        await server.start()
        caller = HttpCaller(url=server.url, max_clients=2)
        calling = asyncio.ensure_future(caller.fetch(path="/x", timeout=8.0))
        await asyncio.sleep(STALL_SECONDS)
        calling.cancel()
        server.may_go_on.set()
        await asyncio.wait_for(server.is_done.wait(), 3.0)
        assert server.sent < PIECES / 2
        caller.close()
        server.stop()

    run(main())
