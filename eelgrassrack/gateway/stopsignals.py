"""Handles stop signals from the process's first moments on.

The listening socket is already open while the libraries load: without a signal handler
the process would exit and reset the connections in the socket's queue.  This module
imports nothing that loads slowly.
"""

import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from types import FrameType

from ..dismissal import dismiss_callers

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

EXIT_STOPPED = 0


class StopSignals:
    """Receives the stop signals of one process.

    While the process loads, a signal ends it as soon as the callers in the queue of
    `listener` are answered: loading may take longer than the grace period.  After
    `forward` has been called, signals are passed on.
    """

    __slots__ = ("_act", "listener")

    def __init__(self) -> None:
        self.listener: socket.socket | None = None
        self._act: Callable[[], None] = self._end_process

    def install_handlers(self) -> None:
        """Handle stop signals from now on instead of exiting on them."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._handle)

    def forward(self, act: Callable[[], None]) -> None:
        """Call `act` on each stop signal from now on, between two bytecodes."""
        self._act = act

    def dismiss_queued(self) -> int:
        """Answer the callers in the listen queue; return how many there were.

        Later stop signals are ignored.
        """
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        if self.listener is None or self.listener.fileno() < 0:
            return 0
        return dismiss_callers(self.listener)

    def _handle(self, _: int, __: FrameType | None) -> None:
        self._act()

    def _end_process(self) -> None:
        """End the process without returning into the code that is being loaded."""
        count = self.dismiss_queued()
        log_line(f"gateway: stopped while it loaded, {count} callers refused")
        os._exit(EXIT_STOPPED)


def log_line(message: str) -> None:
    """Write a log line in the format of `BoundedHandler`, without its library.

    `message` needs no escaping in JSON.
    """
    line = f'{{"time":{time.time():.4f},"level":"notice","message":"{message}"}}\n'
    try:
        os.write(sys.stdout.fileno(), line.encode())
    except OSError:
        # The log reader is slow or gone, which must not keep the process from ending.
        return
