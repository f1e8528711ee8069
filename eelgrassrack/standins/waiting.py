"""Notification of all tasks that wait for a change."""

import asyncio


class ChangeNotifier:
    """Wakes all tasks that wait for the next change."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: set[asyncio.Future[None]] = set()

    @property
    def waiting(self) -> int:
        """Return the number of waiting tasks."""
        return len(self._waiting)

    def notify(self) -> None:
        """Wake all tasks that are waiting."""
        for future in self._waiting:
            if not future.done():
                future.set_result(None)

    async def wait(self, *, timeout: float) -> bool:
        """Wait for the next change; return False after `timeout` seconds."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.add(future)
        try:
            done, _ = await asyncio.wait({future}, timeout=max(0.0, timeout))
            return bool(done)
        finally:
            self._waiting.discard(future)
            future.cancel()
