"""Ports for daemons that tests and benches start."""

import secrets
import socket

# Below those that the kernel gives connections by themselves: one of these
# could be taken by any connection before the daemon listens.
PORTS = range(12_000, 30_000)
PORT_TRIES = 100

_found = set()


def find_port():
    """Return a port that is free and that no other call here returned."""
    for _ in range(PORT_TRIES):
        port = secrets.choice(PORTS)
        if port in _found:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _found.add(port)
        return port
    raise AssertionError("no port is free")
