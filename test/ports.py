"""Ports for daemons that tests and benches start."""

import secrets
import socket

# Below those that the kernel gives connections by themselves: one of these
# could be taken by any connection before the daemon listens.
PORTS = range(12_000, 30_000)
PORT_TRIES = 1_000

# All that this process has found, held so that no other finds them.
_held = {}


def find_port():
    """Return a port that nobody else has, nor another call here.

    It is held for as long as this process lives; a daemon may listen on it at
    any address all the same, as daemons let addresses be used again.
    """
    for _ in range(PORT_TRIES):
        port = secrets.choice(PORTS)
        if port in _held:
            continue
        holder = socket.socket()
        try:
            holder.bind(("0.0.0.0", port))
        except OSError:
            holder.close()
            continue
        # Only now: with it set, two processes could hold the same port.
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _held[port] = holder
        return port
    raise AssertionError("no port is free")
