"""Free ports for daemons that tests and benchmarks start."""

import secrets
import socket

# Below the kernel's ephemeral ports, because an outgoing connection could take one of
# those before the daemon listens.
PORTS = range(12_000, 30_000)
PORT_TRIES = 1_000

# Sockets that reserve the ports found by this process, so that no other process finds
# them.
_reserved = {}


def find_port():
    """Return a port that no other process uses and no other call returns.

    The port stays reserved until this process ends.  A daemon can still listen on it
    at any address, because daemons set SO_REUSEADDR.
    """
    for _ in range(PORT_TRIES):
        port = secrets.choice(PORTS)
        if port in _reserved:
            continue
        reservation = socket.socket()
        try:
            reservation.bind(("0.0.0.0", port))
        except OSError:
            reservation.close()
            continue
        # Set after bind, because two processes could otherwise bind the same port.
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reserved[port] = reservation
        return port
    raise AssertionError("no port is free")
