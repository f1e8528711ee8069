"""Run one gateway on the platform: `python -m eelgrassrack.gateway SETTINGS`.

This is the lightweight alternative to the full command line, which starts more
slowly and takes more memory: gateways restart often and run on small instances.
"""

import gc
import signal
import sys
from collections.abc import Callable

from .listener import open_early
from .stopsignals import STOP_SIGNALS, StopSignals, log_line

# Exit code for wrong arguments.
USAGE = 2


def main(argv: list[str]) -> int:
    """Run until stopped; return the exit code."""
    if len(argv) != 1:
        print("usage: python -m eelgrassrack.gateway SETTINGS", file=sys.stderr)
        return USAGE
    (path,) = argv
    # Without a handler, a SIGHUP during startup would end the process and cut off
    # callers in the socket's backlog.  The settings are read later anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signals = StopSignals()
    signals.install_handlers()
    # A signal that came between opening the socket and noting it would reset callers.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    signals.listener = open_early(path)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)
    try:
        return load_process()(path, signals)
    finally:
        # A start that fails leaves callers in the queue.
        count = signals.dismiss_queued()
        if count:
            log_line(f"gateway: not started, {count} callers refused")


def load_process() -> Callable[[str, StopSignals], int]:
    """Import what runs the process, which takes most of a start.

    The imports allocate much and free little, so the garbage collector would only walk
    over what they have made.  What they made stays for good and isn't looked at later.
    """
    gc.disable()
    from .process import run_process

    gc.freeze()
    gc.enable()
    return run_process


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
