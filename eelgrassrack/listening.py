"""Graceful shutdown of the sockets that listen for callers."""

import asyncio
import socket
from collections.abc import Iterable

from tornado.tcpserver import TCPServer

from .handshakes import HANDSHAKE_SECONDS, accept_queued, block_handshakes

# Gives Tornado time to start reading from the connections accepted last.
ACCEPT_SECONDS = 0.05


async def stop_listening(server: TCPServer, listeners: Iterable[socket.socket]) -> None:
    """Accept the connections in the listen queues, then stop listening.

    Connections still queued when the socket closes would be reset, and their
    callers could not know whether their requests ran.
    """
    listeners = tuple(listeners)
    for listener in listeners:
        block_handshakes(listener)
    await asyncio.sleep(HANDSHAKE_SECONDS)
    for listener in listeners:
        for connection, address in accept_queued(listener):
            server._handle_connection(connection, address)
    server.stop()
    await asyncio.sleep(ACCEPT_SECONDS)
