"""Two bare relays without any checks, as a baseline for the entry.

Both relay a streamed answer from one of several engines to a caller.  One is a
tornado handler with the curl client, the other forwards bytes between two asyncio
protocols.
"""

import asyncio
import itertools

from tornado import web
from tornado.httpclient import HTTPRequest

from eelgrassrack.curl import make_client
from eelgrassrack.standins.server import StandinServer

LOOPBACK = "127.0.0.1"
MAX_SECONDS = 120.0


class CurlRelay(web.RequestHandler):
    """Relays a streamed answer chunk by chunk with the curl client."""

    def initialize(self, *, client: object, engines: itertools.cycle) -> None:
        """Set the HTTP client and the engines' URLs."""
        self._client = client
        self._engines = engines

    async def post(self) -> None:
        """Relay one request."""
        request = HTTPRequest(
            next(self._engines) + self.request.path,
            method="POST",
            body=self.request.body,
            headers={"Content-Type": "application/json"},
            request_timeout=MAX_SECONDS,
            streaming_callback=self._pass_on,
        )
        await self._client.fetch(request, raise_error=False)

    def _pass_on(self, data: bytes) -> None:
        if self._finished or self.request.connection.stream.closed():
            return
        self.write(data)
        self.flush()


async def start_curl_relay(engines: list[str]) -> StandinServer:
    """Start the tornado relay."""
    given = {
        "client": make_client(max_clients=1000),
        "engines": itertools.cycle(engines),
    }
    app = web.Application([(r"/.*", CurlRelay, given)], log_function=lambda _: None)
    server = StandinServer(app=app)
    await server.start()
    return server


class Upstream(asyncio.Protocol):
    """The engine's side: forwards every byte to the caller's transport."""

    __slots__ = ("_caller",)

    def __init__(self, *, caller: asyncio.Transport) -> None:
        self._caller = caller

    def data_received(self, data: bytes) -> None:
        """Forward bytes to the caller."""
        self._caller.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Close the caller's connection too."""
        self._caller.close()


class Downstream(asyncio.Protocol):
    """The caller's side: connects to an engine and forwards every byte to it."""

    __slots__ = ("_early", "_engines", "_task", "_transport", "_upstream")

    def __init__(self, *, engines: itertools.cycle) -> None:
        self._early: list[bytes] = []
        self._engines = engines
        self._upstream: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Connect to the next engine."""
        self._transport = transport
        self._task = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        host, port = next(self._engines)
        loop = asyncio.get_running_loop()
        self._upstream, _ = await loop.create_connection(
            lambda: Upstream(caller=self._transport), host, port
        )
        self._upstream.writelines(self._early)

    def data_received(self, data: bytes) -> None:
        """Forward bytes, or buffer them until the engine is connected."""
        if self._upstream is None:
            self._early.append(data)
            return
        self._upstream.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Close the engine's connection too."""
        if self._upstream is not None:
            self._upstream.close()


async def start_byte_relay(engines: list[str]) -> str:
    """Start the byte relay; return its URL."""
    addresses = itertools.cycle(
        [(host, int(port)) for host, _, port in map(_split, engines)]
    )
    server = await asyncio.get_running_loop().create_server(
        lambda: Downstream(engines=addresses), LOOPBACK, 0, backlog=1024
    )
    return f"http://{LOOPBACK}:{server.sockets[0].getsockname()[1]}"


def _split(url: str) -> tuple[str, str, str]:
    return url.removeprefix("http://").partition(":")
