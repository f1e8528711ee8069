"""Handles stop signals while the process is still loading its libraries.

The listening socket is already open then: without a signal handler the process would
exit and cut the connections in the socket's queue.  This module imports nothing that
loads slowly.
"""

import signal
import time
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EarlyStop:
    """Records when the process first received a stop signal.

    `requested_at` is on the monotonic clock, None without a signal.
    """

    __slots__ = ("requested_at",)

    def __init__(self) -> None:
        self.requested_at: float | None = None

    def install_handlers(self) -> None:
        """Record stop signals from now on instead of exiting on them."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._note)

    def _note(self, _: int, __: FrameType | None) -> None:
        if self.requested_at is None:
            self.requested_at = time.monotonic()
