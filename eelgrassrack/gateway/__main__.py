"""Run one gateway on the platform: `python -m eelgrassrack.gateway SETTINGS`.

The command line proper takes longer to start and more memory than a process
that is restarted often on a small instance should.
"""

import signal
import sys

from .earlystop import EarlyStop
from .listener import open_early

USAGE = 2


def main(argv: list[str]) -> int:
    """Run until stopped; return the exit code."""
    if len(argv) != 1:
        print("usage: python -m eelgrassrack.gateway SETTINGS", file=sys.stderr)
        return USAGE
    (path,) = argv
    # Told of changed settings while it loads, a process without a handler ends,
    # and callers in the socket's queue are cut.  It reads the settings later on.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    early = EarlyStop()
    early.install_handlers()
    listener = open_early(path)
    # Only now, with the socket open, what takes long to load.
    from .process import run_process

    return run_process(path, listener, early)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
