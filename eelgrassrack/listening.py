"""Sockets that listen for callers, up to their end."""

import asyncio
import socket
from collections.abc import Iterable, Iterator

from tornado.tcpserver import TCPServer

# In which the library begins to read from connections that were just taken in.
TAKE_IN_SECONDS = 0.05


async def stop_listening(server: TCPServer, listeners: Iterable[socket.socket]) -> None:
    """Take in the callers that have connected, and refuse connections then.

    Closed with the socket, a connection that was made looks to its caller as
    if its request might have run.
    """
    for listener in listeners:
        for connection, address in _list_waiting(listener):
            server._handle_connection(connection, address)
    server.stop()
    await asyncio.sleep(TAKE_IN_SECONDS)


def _list_waiting(listener: socket.socket) -> Iterator[tuple[socket.socket, object]]:
    """Accept the connections that wait in a socket's queue, with their addresses."""
    while True:
        try:
            yield listener.accept()
        except BlockingIOError:
            return
