"""A stop that comes before the process has loaded what can carry it out.

Nothing heavy is imported here: the socket for callers is open while the
libraries load, and a signal without a handler would end the process and cut the
callers in its queue.
"""

import signal
import time
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EarlyStop:
    """When a process was told to stop, by the steady clock, if it was."""

    __slots__ = ("requested_at",)

    def __init__(self) -> None:
        self.requested_at: float | None = None

    def install_handlers(self) -> None:
        """Note signals from now on instead of being ended by them."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._note)

    def _note(self, _: int, __: FrameType | None) -> None:
        if self.requested_at is None:
            self.requested_at = time.monotonic()
