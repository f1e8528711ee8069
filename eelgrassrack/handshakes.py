"""Ends the handshakes of a listening socket before it is closed.

The kernel resets connections that complete their handshake between the last accept and
the close of the socket, and those whose last packet arrives after it: their callers
have connected, and can't know whether their requests ran.  A packet filter lets no new
handshake begin, so that all others can be accepted.  Callers that come then are
refused when their kernel tries again, after the close.  This module imports nothing
that loads slowly.
"""

import array
import select
import socket
import struct
from collections.abc import Iterator

# From the kernel's headers; the module `socket` lacks it.
SO_ATTACH_FILTER = 26

TCP_FLAGS_OFFSET = 13
TCP_SYN = 0x02
TCP_ACK = 0x10

# Instructions of the kernel's packet filter: operation, jump if true, jump if false,
# operand.  A result of 0 drops the packet.
DROP_SYN = (
    (0x30, 0, 0, TCP_FLAGS_OFFSET),  # load a byte of the TCP header
    (0x54, 0, 0, TCP_SYN | TCP_ACK),  # and
    (0x15, 0, 1, TCP_SYN),  # jump if equal
    (0x06, 0, 0, 0),  # return
    (0x06, 0, 0, 0xFFFF_FFFF),  # return
)

# How long handshakes that have begun may take.  Callers that come meanwhile are refused
# a second later than others.
HANDSHAKE_SECONDS = 0.1


def block_handshakes(listener: socket.socket) -> None:
    """Let no new handshake begin; do nothing where the kernel has no such filter."""
    program = array.array("B", b"".join(struct.pack("HBBI", *one) for one in DROP_SYN))
    address, _ = program.buffer_info()
    try:
        listener.setsockopt(
            socket.SOL_SOCKET,
            SO_ATTACH_FILTER,
            struct.pack("HP", len(DROP_SYN), address),
        )
    except OSError:
        return


def accept_queued(listener: socket.socket) -> Iterator[tuple[socket.socket, object]]:
    """Accept and yield each queued connection with its address.

    This ends early if the process has no descriptor left.
    """
    while True:
        try:
            yield listener.accept()
        except ConnectionAbortedError:
            continue
        except OSError:
            return


def has_queued(listener: socket.socket) -> bool:
    """Return whether a connection waits to be accepted."""
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    return bool(poll.poll(0))
