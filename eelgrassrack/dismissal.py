"""Answers callers of a process that ends without serving them.

A process that opens its port before it has loaded may be told to stop, or fail, while
callers wait in the listen queue.  Closing the port would reset their connections, and
they could not know whether their requests ran.  This module imports nothing that loads
slowly.
"""

import select
import socket
import time

from .handshakes import (
    HANDSHAKE_SECONDS,
    accept_queued,
    block_handshakes,
    has_queued,
)

# RFC 9110 defines 408 as "the server did not receive a complete request message
# within the time that it was prepared to wait", so the caller knows that its
# request has not run.
REQUEST_TIMEOUT_ANSWER = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

# The answer to a request; the process may be back after `Retry-After`.
UNAVAILABLE_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)

HEAD_END = b"\r\n\r\n"
READ_BYTES = 65_536

# How long to wait for callers to close their connections.  A request that arrives
# after the process has closed one resets it, which may discard the answer.
LINGER_SECONDS = 1.0

# The same if more callers are queued than the process has descriptors.  After
# `CROWDED_SECONDS` connections are closed at once: the process may be killed soon, and
# the close resets all callers that are still queued.
CROWDED_LINGER_SECONDS = 0.1
CROWDED_SECONDS = 2.0

# The queue holds far fewer; more only come where the kernel can't block handshakes.
MAX_CROWDED_CALLERS = 4_096


def dismiss_callers(listener: socket.socket) -> int:
    """Answer all queued callers that nothing ran, and stop listening.

    Returns the number of callers, after they have closed their connections or
    `LINGER_SECONDS` have passed.  If there are more callers than descriptors, they
    are answered in turns.
    """
    block_handshakes(listener)
    time.sleep(HANDSHAKE_SECONDS)
    count = 0
    until = time.monotonic() + CROWDED_SECONDS
    while True:
        connections = [connection for connection, _ in accept_queued(listener)]
        count += len(connections)
        is_crowded = bool(connections) and has_queued(listener)
        if is_crowded and count < MAX_CROWDED_CALLERS:
            is_late = time.monotonic() >= until
            _answer_all(connections, 0.0 if is_late else CROWDED_LINGER_SECONDS)
            continue
        listener.close()
        _answer_all(connections, LINGER_SECONDS)
        return count


def _answer_all(connections: list[socket.socket], linger: float) -> None:
    """Send last answers; close the connections after at most `linger` seconds."""
    for connection in connections:
        _send_answer(connection)
    _wait_closed(connections, time.monotonic() + linger)


def _send_answer(connection: socket.socket) -> None:
    """Send the last answer and close the connection for writing."""
    connection.setblocking(False)
    received = _read(connection)
    answer = UNAVAILABLE_ANSWER if HEAD_END in received else REQUEST_TIMEOUT_ANSWER
    try:
        connection.sendall(answer)
        connection.shutdown(socket.SHUT_WR)
    except OSError:
        # The caller has closed the connection.
        return


def _read(connection: socket.socket) -> bytes:
    """Return what has arrived; nothing if the caller has closed the connection."""
    try:
        return connection.recv(READ_BYTES)
    except OSError:
        return b""


def _wait_closed(connections: list[socket.socket], until: float) -> None:
    """Read from connections until their callers close them, then close them."""
    poll = select.poll()
    open_connections = {one.fileno(): one for one in connections}
    for descriptor in open_connections:
        poll.register(descriptor, select.POLLIN)
    while open_connections and (remaining := until - time.monotonic()) > 0:
        for descriptor, _ in poll.poll(remaining * 1_000):
            if not _read(open_connections[descriptor]):
                poll.unregister(descriptor)
                open_connections.pop(descriptor).close()
    for connection in open_connections.values():
        connection.close()
