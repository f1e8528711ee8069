"""Runs a daemon as a process: handles its signals and sets its exit status."""

import asyncio
import signal
from collections.abc import Callable
from types import FrameType
from typing import Protocol

import logbook

from .stoptime import StopTime

log = logbook.Logger("process")

EXIT_STOPPED = 0
EXIT_FAILED = 1


class Daemon(Protocol):
    """The methods that `run_daemon` calls on an entry or an agent."""

    async def start(self) -> None:
        """Start serving."""

    async def stop(self, *, signalled_at: float | None = None) -> None:
        """Stop gracefully; the grace period counts from the loop time of a signal."""

    async def wait_failed(self) -> None:
        """Wait until a component has failed too often, then raise `SupervisorError`."""

    def skip_grace_period(self) -> None:
        """Finish a graceful stop immediately."""


async def run_daemon(daemon: Daemon) -> int:
    """Run a daemon until a stop signal or until it fails; return the exit status.

    Stop signals are SIGTERM, SIGINT and SIGHUP, whose default action would cut callers.

    A second signal skips the rest of the grace period.
    """
    stopping = asyncio.Event()
    stop_time = StopTime()
    loop = asyncio.get_running_loop()

    def handle_signal() -> None:
        if stopping.is_set():
            daemon.skip_grace_period()
        stopping.set()

    def note_signal(_: int, __: FrameType | None) -> None:
        # Runs before the event loop continues, which may have been held up.
        stop_time.note_signal()
        loop.call_soon_threadsafe(handle_signal)

    _handle_stop_signals(note_signal)
    watching = loop.create_task(stop_time.watch())
    await daemon.start()
    status = await _wait_for_end(daemon, stopping)
    await daemon.stop(signalled_at=stop_time.signalled_at)
    watching.cancel()
    _handle_stop_signals(signal.SIG_IGN)
    return status


def _handle_stop_signals(handler: Callable | signal.Handlers) -> None:
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, handler)
    # A process that was started to outlive its terminal ignores SIGHUP already.
    if signal.getsignal(signal.SIGHUP) is not signal.SIG_IGN:
        signal.signal(signal.SIGHUP, handler)


async def _wait_for_end(daemon: Daemon, stopping: asyncio.Event) -> int:
    """Wait for a signal or a failure; return the exit status."""
    loop = asyncio.get_running_loop()
    stopped = loop.create_task(stopping.wait())
    failed = loop.create_task(daemon.wait_failed())
    await asyncio.wait({stopped, failed}, return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    if not failed.done():
        failed.cancel()
        return EXIT_STOPPED
    log.critical("process: gives up: {}", failed.exception())
    return EXIT_FAILED
