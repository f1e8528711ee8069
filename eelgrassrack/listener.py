"""A listening socket whose callers wait while the process has no descriptor left.

This module imports nothing that loads slowly.
"""

import errno
import socket

# Errors of a process or a machine that has no room for another connection.
NO_ROOM = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class CallerListener(socket.socket):
    """A listening socket that seems to have an empty queue if there is no room.

    An event loop writes a traceback for each other error, thousands a second, and
    stops in the midst of it once nobody reads them fast enough.
    """

    __slots__ = ()

    def accept(self) -> tuple[socket.socket, object]:
        """Accept a connection; raise `BlockingIOError` if none can be accepted."""
        try:
            return super().accept()
        except OSError as error:
            if error.errno not in NO_ROOM:
                raise
            raise BlockingIOError(errno.EAGAIN, error.strerror) from error
