"""The slots of the endpoint that are in use, each by one exchange.

A slot is freed when its exchange has ended, not when its attempt is stopped.
Until then the endpoint may still be working on it.
"""

import asyncio
import dataclasses
from collections.abc import Coroutine

from .attempts import Attempt
from .transfer import Exchange


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, eq=False)
class Slot:
    """A slot in use, with its attempt, exchange and task."""

    attempt: Attempt
    exchange: Exchange
    task: asyncio.Task


class Slots:
    """All slots in use, by attempt."""

    __slots__ = ("_by_attempt",)

    def __init__(self) -> None:
        self._by_attempt: dict[str, Slot] = {}

    def __len__(self) -> int:
        """Return the number of slots in use."""
        return len(self._by_attempt)

    @property
    def has_alone(self) -> bool:
        """Return whether a slot is in use by an attempt that must run alone."""
        return any(slot.attempt.start.alone for slot in self._by_attempt.values())

    def take(
        self, attempt: Attempt, exchange: Exchange, job: Coroutine[None, None, None]
    ) -> None:
        """Take a slot and start the coroutine, which frees the slot at its end."""
        task = asyncio.get_running_loop().create_task(job)
        self._by_attempt[attempt.key] = Slot(
            attempt=attempt, exchange=exchange, task=task
        )

    def free(self, attempt: Attempt) -> None:
        """Free the slot of an attempt."""
        del self._by_attempt[attempt.key]

    def stop(self, attempt: Attempt) -> None:
        """Stop the exchange of an attempt, if it has one."""
        slot = self._by_attempt.get(attempt.key)
        if slot is not None:
            slot.exchange.stop()

    def stop_all(self) -> None:
        """Stop all exchanges."""
        for slot in list(self._by_attempt.values()):
            slot.exchange.stop()

    async def wait(self) -> None:
        """Wait until all exchanges have ended."""
        tasks = [slot.task for slot in self._by_attempt.values()]
        await asyncio.gather(*tasks, return_exceptions=True)
