"""The socket for callers, opened before anything else is loaded.

Nothing heavy is imported here.  Loading the libraries takes nearly all of a
start: a third of a second of processor time, and a second on an instance with
a third of a core.  Where all gateways were killed at once, callers who come back
in that time would find no listener anywhere and have spent their last try.
With the socket open they wait in its queue and are served when the process is
up.
"""

import configparser
import socket

# Callers who come while the process loads, and in a burst afterwards.
BACKLOG = 1_024


def open_early(path: str) -> socket.socket | None:
    """Return the listening socket that the settings at `path` name, if any.

    Faults of the settings and an address in use are left to the checked start,
    which reports them.
    """
    settings = configparser.ConfigParser(interpolation=None)
    try:
        settings.read(path, encoding="utf-8")
        return open_listener(settings.get("gateway", "listen"))
    except (configparser.Error, OSError, ValueError):
        return None


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens at `IP:PORT`; raise `OSError`."""
    host, port = address.rsplit(":", 1)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except (OSError, ValueError):
        listener.close()
        raise
    return listener
