"""A daemon as a process of its own: its signals and exit status."""

import asyncio
import signal
from typing import Protocol

import logbook

log = logbook.Logger("process")

EXIT_STOPPED = 0
EXIT_FAILED = 1


class Daemon(Protocol):
    """What an entry and an agent have in common."""

    async def start(self) -> None:
        """Begin to serve."""

    async def stop(self) -> None:
        """Stop gracefully."""

    async def wait_failed(self) -> None:
        """Wait until a part has failed too often, then raise."""

    def skip_grace_period(self) -> None:
        """End a stop that is under way at once."""


async def run_daemon(daemon: Daemon) -> int:
    """Run a daemon until SIGTERM or SIGINT; return the exit status."""
    stopping = asyncio.Event()

    def take_signal() -> None:
        # A second signal says that nobody waits for the grace to pass.
        if stopping.is_set():
            daemon.skip_grace_period()
        stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, take_signal)
    await daemon.start()
    status = await _wait_for_end(daemon, stopping)
    await daemon.stop()
    return status


async def _wait_for_end(daemon: Daemon, stopping: asyncio.Event) -> int:
    """Wait until the daemon is told to stop or gives up."""
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
