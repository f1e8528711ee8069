"""A listening socket that bears a lack of descriptors and can turn callers away.

This module imports nothing that loads slowly.
"""

import errno
import socket
from collections.abc import Callable

# Errors of a process or a machine that has no room for another connection.
NO_ROOM = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class CallerListener(socket.socket):
    """A listening socket that seems to have an empty queue if there is no room.

    An event loop writes a traceback for each other error, thousands a second, and
    stops in the midst of it once nobody reads them fast enough.

    `admit` is asked for each new connection; one that isn't admitted is closed unread.
    """

    __slots__ = ("admit",)

    def __init__(self, *arguments: int, **options: int | None) -> None:
        super().__init__(*arguments, **options)
        self.admit: Callable[[], bool] = admit_all

    def accept(self) -> tuple[socket.socket, object]:
        """Accept a connection.

        Raise `BlockingIOError` if none can be accepted, and `ConnectionAbortedError`
        if it isn't admitted.
        """
        try:
            connection, address = super().accept()
        except OSError as error:
            if error.errno not in NO_ROOM:
                raise
            raise BlockingIOError(errno.EAGAIN, error.strerror) from error
        if not self.admit():
            connection.close()
            raise ConnectionAbortedError(errno.ECONNABORTED, "not admitted")
        return connection, address


def admit_all() -> bool:
    """Admit a connection."""
    return True
