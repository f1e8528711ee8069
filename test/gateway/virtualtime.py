"""Run a test's coroutine in virtual time, with real sockets on loopback.

Time passes only while all tasks wait and no socket is ready, so what a test plays
doesn't depend on how fast the machine is or how busy.  All gateways, endpoints and
callers of the test must be in its process, and its callers must pause now and then:
time doesn't pass while one of them sends without a pause.
"""

import asyncio
import selectors
from unittest import mock

from eelgrassrack import listening

# How long, in real time, the clock waits before it advances: bytes that were sent over
# loopback nearly always arrive at once.
SETTLE_SECONDS = 0.001

# How late timers run, as with a real selector, which never wakes early.
WAKE_SECONDS = 0.0001

# A test ends after this much virtual time, or after so many turns of the event loop
# in which no time passed.
TIMEOUT_SECONDS = 30
MAX_TURNS = 100_000


class AdvancingSelector(selectors.DefaultSelector):
    """Advances the virtual clock instead of waiting, unless a socket is ready."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self._turns = 0

    def select(self, timeout=None):
        self._turns += 1
        if self._turns > MAX_TURNS:
            self._turns = 0
            raise TimeoutError("no virtual time passes: some task never waits")
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        ready = super().select(min(timeout, SETTLE_SECONDS))
        if not ready:
            self._turns = 0
            self.now += timeout + WAKE_SECONDS
        return ready


class AdvancingLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock and real sockets."""

    def __init__(self):
        self._clock = AdvancingSelector()
        super().__init__(self._clock)

    def time(self):
        return self._clock.now

    def hold_up(self, seconds):
        self._clock.now += seconds


def hold_up(seconds):
    """Let virtual time pass at once, as while one task takes the processor."""
    asyncio.get_running_loop().hold_up(seconds)


def run_in_virtual_time(coroutine):
    """Run a test's coroutine with a timeout of 30 seconds of virtual time.

    Handshakes aren't blocked before a port closes: the kernel tries them again in real
    time, for which a virtual clock doesn't wait.
    """
    unblocked = mock.patch.object(listening, "block_handshakes")
    with unblocked, asyncio.Runner(loop_factory=AdvancingLoop) as runner:
        return runner.run(asyncio.wait_for(coroutine, TIMEOUT_SECONDS))
