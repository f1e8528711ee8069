"""The listening socket for callers, opened before the libraries are loaded.

Loading the libraries takes nearly all of a start: a third of a second of processor
time, or a second on an instance with a third of a core.  If all gateways were killed
at once, callers who retry in that time would find no listener and use up their last
retry.  With the socket open they wait in its queue until the process is ready.  This
module imports nothing that loads slowly.
"""

import configparser
import socket

from ..listener import CallerListener

# Room for callers who connect while the process loads, and for bursts afterwards.
BACKLOG = 1_024


def open_early(path: str) -> socket.socket | None:
    """Return a socket that listens at the address in the settings at `path`.

    Return None if the settings are invalid or the address is in use; the start of the
    gateway reports the error later.
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
    listener = CallerListener(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except (OSError, ValueError):
        listener.close()
        raise
    return listener
