"""Supervision trees of asyncio tasks.

A supervisor restarts failed tasks with exponential backoff.  If a task fails too often
in a short time, its supervisor fails too, and the parent sees this as a failed task.
An error that a restart doesn't fix must end the process visibly, because otherwise it
would keep serving with a component missing.  A supervisor that never gives up restarts
its tasks for as long as they fail.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable

import logbook

from .errors import EelgrassrackError

log = logbook.Logger("supervisor")

Job = Callable[[], Awaitable[None]]

FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 2.0

# A task that fails this often within the window won't recover by another restart.
# Tasks handle outages themselves, so every failure is a bug.
MAX_FAILURES = 8
FAILURE_WINDOW_SECONDS = 30.0


class SupervisorError(EelgrassrackError):
    """A supervised task failed too often."""


class Supervisor:
    """Runs named tasks until they end or one of them fails too often.

    `failures` counts the failures of each task.  Unless it `gives_up`, no number of
    failures is too many.
    """

    __slots__ = ("_failed", "_gives_up", "_tasks", "failures", "name")

    def __init__(self, *, name: str, gives_up: bool = True) -> None:
        self.name = name
        self._gives_up = gives_up
        self.failures: collections.Counter[str] = collections.Counter()
        self._tasks: dict[str, asyncio.Task] = {}
        self._failed: asyncio.Future[None] | None = None

    def start(self, *, name: str, job: Job) -> None:
        """Start a task that runs `job` until it returns and restarts it on failure."""
        if self._failed is None:
            self._failed = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(self._keep_running(name, job), name=name)
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._tasks.pop(name, None))

    def start_child(self, *, child: "Supervisor") -> None:
        """Run another supervisor as one of the tasks."""
        self.start(name=child.name, job=child.wait_failed)

    async def wait_failed(self) -> None:
        """Wait until a task has failed too often, then raise `SupervisorError`."""
        if self._failed is None:
            self._failed = asyncio.get_running_loop().create_future()
        await asyncio.shield(self._failed)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._failed is not None and not self._failed.done():
            self._failed.cancel()

    async def _keep_running(self, name: str, job: Job) -> None:
        clock = asyncio.get_running_loop().time
        failed_at: collections.deque[float] = collections.deque(maxlen=MAX_FAILURES)
        delay = FIRST_DELAY_SECONDS
        while True:
            started_at = clock()
            try:
                await job()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:
                self.failures[name] += 1
                log.exception("supervisor: {} failed: {}", name, error)
                failed_at.append(clock())
            if self._gives_up and self._fails_too_often(failed_at):
                self._give_up(name)
                return
            if clock() - started_at > FAILURE_WINDOW_SECONDS:
                delay = FIRST_DELAY_SECONDS
            await asyncio.sleep(delay)
            delay = min(delay * 2, MAX_DELAY_SECONDS)

    def _fails_too_often(self, failed_at: collections.deque[float]) -> bool:
        is_full = len(failed_at) == MAX_FAILURES
        return is_full and failed_at[-1] - failed_at[0] < FAILURE_WINDOW_SECONDS

    def _give_up(self, name: str) -> None:
        log.critical("supervisor: {} gives up on {}", self.name, name)
        if not self._failed.done():
            text = (
                f"{name} failed {MAX_FAILURES} times in {FAILURE_WINDOW_SECONDS:.0f} s"
            )
            self._failed.set_exception(SupervisorError(text))
