"""Hold processes to a share: `python -m bench.hotgateway.throttle SHARE PID...`.

`SHARE` is a part of a core.  A process that has used more is suspended until it may go
on.  This ends when the parent process does.
"""

import os
import signal
import sys
import time
from pathlib import Path

POLL_SECONDS = 0.01

# Processor time that a process may have saved up, as seconds of its share.
SAVED_SECONDS = 0.1

NANOSECONDS = 1e9


class Throttled:
    """A process that is suspended while it has used more than its share of a core."""

    def __init__(self, *, pid: int, share: float) -> None:
        self._pid = pid
        self._share = share
        self._allowance = share * SAVED_SECONDS
        self._used = self._read_used()
        self._is_suspended = False

    def adjust(self, elapsed: float) -> None:
        """Suspend or resume the process; raise `OSError` if it has ended."""
        used = self._read_used()
        spent = used - self._used
        self._used = used
        most = self._share * SAVED_SECONDS
        self._allowance = min(self._allowance + self._share * elapsed - spent, most)
        if (self._allowance < 0.0) != self._is_suspended:
            self._is_suspended = not self._is_suspended
            number = signal.SIGSTOP if self._is_suspended else signal.SIGCONT
            os.kill(self._pid, number)

    def _read_used(self) -> float:
        """Return the processor time of all threads, in seconds."""
        tasks = Path(f"/proc/{self._pid}/task").iterdir()
        texts = [(task / "schedstat").read_text() for task in tasks]
        return sum(int(text.split()[0]) for text in texts) / NANOSECONDS


def main() -> None:
    """Throttle until the parent process ends."""
    share = float(sys.argv[1])
    parent = os.getppid()
    throttled = [Throttled(pid=int(pid), share=share) for pid in sys.argv[2:]]
    before = time.monotonic()
    while throttled and os.getppid() == parent:
        time.sleep(POLL_SECONDS)
        now = time.monotonic()
        throttled = [one for one in throttled if _adjust(one, now - before)]
        before = now


def _adjust(process: Throttled, elapsed: float) -> bool:
    """Return whether a process still runs, after it has been adjusted."""
    try:
        process.adjust(elapsed)
    except OSError:
        return False
    return True


if __name__ == "__main__":
    main()
