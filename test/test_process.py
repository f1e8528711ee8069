"""Stop signals of a daemon's process."""

import asyncio
import os
import signal
import time

import pytest

from eelgrassrack.process import EXIT_STOPPED, run_daemon

HELD_UP_SECONDS = 1.0
SLACK_SECONDS = 0.3


class RecordingDaemon:
    """A daemon that notes when its stop signal came.

    Its event loop is held up after the start if `is_held_up` is set, and its start
    takes a while otherwise.
    """

    def __init__(self, *, is_held_up):
        self._is_held_up = is_held_up
        self.signalled_at = None

    async def start(self):
        loop = asyncio.get_running_loop()
        if self._is_held_up:
            loop.call_later(0.2, self._hold_up)
            return
        loop.call_later(0.2, os.kill, os.getpid(), signal.SIGTERM)
        await asyncio.sleep(HELD_UP_SECONDS)

    def _hold_up(self):
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(HELD_UP_SECONDS)

    async def stop(self, *, signalled_at=None):
        self.signalled_at = signalled_at

    async def wait_failed(self):
        await asyncio.Event().wait()


@pytest.fixture(autouse=True)
def signal_handlers():
    """Restore the signal handlers that the daemon replaces."""
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    handlers = [signal.getsignal(number) for number in numbers]
    yield
    for number, handler in zip(numbers, handlers, strict=True):
        signal.signal(number, handler)


@pytest.mark.parametrize("is_held_up", [True, False])
def test_the_grace_period_counts_from_the_signal(is_held_up):
    """A daemon that counts from a later moment is killed before it has stopped."""
    daemon = RecordingDaemon(is_held_up=is_held_up)
    began = time.monotonic()
    assert asyncio.run(run_daemon(daemon)) == EXIT_STOPPED
    assert daemon.signalled_at < began + 0.2 + SLACK_SECONDS
