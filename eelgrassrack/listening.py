"""Graceful shutdown of the sockets that listen for callers."""

import asyncio
import socket
from collections.abc import Callable, Sequence

from tornado.tcpserver import TCPServer

from .handshakes import (
    HANDSHAKE_SECONDS,
    accept_queued,
    block_handshakes,
    has_queued,
)

# Gives Tornado time to start reading from the connections accepted last.
ACCEPT_SECONDS = 0.05

# How often connections are accepted if the process has too few descriptors for all.
ROOM_POLL_SECONDS = 0.01


async def stop_listening(
    server: TCPServer,
    listeners: Sequence[socket.socket],
    *,
    make_room: Callable[[], None],
    until: float,
) -> None:
    """Accept the connections in the listen queues, then stop listening.

    Connections still queued when the socket closes would be reset, and their
    callers could not know whether their requests ran.  If there are too few
    descriptors for them, `make_room` is called to answer callers that needn't be
    waited for, up to `until`, a time of the event loop.
    """
    loop = asyncio.get_running_loop()
    for listener in listeners:
        block_handshakes(listener)
    handshakes_until = loop.time() + HANDSHAKE_SECONDS
    while loop.time() < handshakes_until or _is_queued(listeners, until):
        _accept_all(server, listeners)
        if any(map(has_queued, listeners)):
            make_room()
        await asyncio.sleep(ROOM_POLL_SECONDS)
    _accept_all(server, listeners)
    server.stop()
    await asyncio.sleep(ACCEPT_SECONDS)


def _is_queued(listeners: Sequence[socket.socket], until: float) -> bool:
    """Return whether connections are queued and there is time to accept them."""
    is_late = asyncio.get_running_loop().time() >= until
    return not is_late and any(map(has_queued, listeners))


def _accept_all(server: TCPServer, listeners: Sequence[socket.socket]) -> None:
    for listener in listeners:
        for connection, address in accept_queued(listener):
            server._handle_connection(connection, address)
