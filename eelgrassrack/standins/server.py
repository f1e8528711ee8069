"""A Tornado HTTP server that can drop connections and restart on the same port."""

import socket
import weakref
from typing import Any

import tornado.httpserver
import tornado.iostream
import tornado.netutil
import tornado.web

LOOPBACK = "127.0.0.1"


class CuttableServer(tornado.httpserver.HTTPServer):
    """An HTTP server that can close all of its connections at once."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initialise the server; Tornado calls this instead of `__init__`."""
        self._open_streams = weakref.WeakSet()
        super().initialize(*args, **kwargs)

    def handle_stream(
        self, stream: tornado.iostream.IOStream, address: tuple[str, int]
    ) -> None:
        """Track a new connection and disable Nagle's algorithm."""
        stream.set_nodelay(True)
        self._open_streams.add(stream)
        super().handle_stream(stream, address)

    def cut_connections(self) -> None:
        """Close all connections, including those in the middle of an answer."""
        for stream in list(self._open_streams):
            stream.close()


class StandinServer:
    """The HTTP server of a stand-in, which can refuse connections and recover."""

    __slots__ = ("_app", "_port_holder", "_http", "_url")

    def __init__(self, *, app: tornado.web.Application) -> None:
        self._app = app
        self._port_holder: socket.socket | None = None
        self._http: CuttableServer | None = None
        self._url = ""

    @property
    def url(self) -> str:
        """Return the address as `http://IP:PORT`."""
        return self._url

    async def start(self, *, port: int = 0, address: str = LOOPBACK) -> None:
        """Listen at the address; port 0 picks a free port."""
        # While the server refuses connections, nothing listens on the port, and
        # another process could take it; `accept` would then fail with "address in
        # use".  A second socket that is bound but never listens reserves the port.
        self._port_holder = socket.socket()
        self._port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_holder.bind((address, port))
        host, bound = self._port_holder.getsockname()
        self._url = f"http://{host}:{bound}"
        self.accept()

    def accept(self) -> None:
        """Start or resume listening."""
        if self._http is not None or self._port_holder is None:
            return
        host, port = self._port_holder.getsockname()
        self._http = CuttableServer(self._app)
        self._http.add_sockets(
            tornado.netutil.bind_sockets(port, host, family=socket.AF_INET)
        )

    def refuse(self) -> None:
        """Close all connections and refuse new ones."""
        if self._http is None:
            return
        self._http.stop()
        self._http.cut_connections()
        self._http = None

    def cut(self) -> None:
        """Close all connections but keep listening."""
        if self._http is not None:
            self._http.cut_connections()

    async def stop(self) -> None:
        """Close all connections and release the port."""
        self.refuse()
        if self._port_holder is not None:
            self._port_holder.close()
            self._port_holder = None


class Standin:
    """Base of the stand-ins that have an HTTP server."""

    def __init__(self, *, app: tornado.web.Application) -> None:
        self._server = StandinServer(app=app)

    @property
    def url(self) -> str:
        """Return the address as `http://IP:PORT`."""
        return self._server.url

    async def start(self, port: int = 0, address: str = LOOPBACK) -> None:
        """Start listening; port 0 picks a free port."""
        await self._server.start(port=port, address=address)

    async def stop(self) -> None:
        """Close all connections and stop permanently."""
        await self._server.stop()

    def refuse(self) -> None:
        """Close all connections and refuse new ones until `accept()`."""
        self._server.refuse()

    def accept(self) -> None:
        """Accept connections again."""
        self._server.accept()
