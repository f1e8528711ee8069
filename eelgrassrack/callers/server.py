"""An HTTP server for callers that nobody controls."""

import socket

from tornado.httpserver import HTTPServer, _HTTPRequestContext
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.log import app_log

from ..lingering import LingeringConnections
from .connection import CallerServerConnection
from .room import CallerRoom
from .stream import CallerStream
from .turns import ReadTurns


class CallerServer(HTTPServer):
    """Serves callers within the memory that they share.

    All servers of a process share its `room` and `turns`.
    """

    def initialize(
        self,
        request_callback: HTTPServerConnectionDelegate,
        *,
        room: CallerRoom,
        turns: ReadTurns,
        lingering: LingeringConnections,
        **options: float | None,
    ) -> None:
        """Create the server; `options` are the HTTP library's."""
        super().initialize(request_callback, **options)
        self._room = room
        self._turns = turns
        self._lingering = lingering

    def _handle_connection(self, connection: socket.socket, address: tuple) -> None:
        try:
            stream = CallerStream(
                connection,
                room=self._room,
                turns=self._turns,
                lingering=self._lingering,
            )
            self.handle_stream(stream, address)
        except Exception:
            app_log.error("Error in connection callback", exc_info=True)

    def handle_stream(self, stream: CallerStream, address: tuple) -> None:
        """Begin to read requests from a new connection."""
        context = _HTTPRequestContext(
            stream, address, self.protocol, self.trusted_downstream
        )
        connection = CallerServerConnection(
            turns=self._turns, stream=stream, params=self.conn_params, context=context
        )
        self._connections.add(connection)
        connection.start_serving(self)
