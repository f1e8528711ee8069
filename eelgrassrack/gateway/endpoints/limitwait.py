"""The requests that wait for room at endpoints with limits."""

import collections


class LimitWait:
    """A request's place among those of its service that wait for room.

    Use it as a context, and call `begin` when the request starts to wait for room.
    `has_missed` says that its lack of room has been counted.
    """

    __slots__ = ("_is_waiting", "_priority", "_service", "_waiting", "has_missed")

    def __init__(
        self, *, waiting: collections.Counter, service: str, priority: int
    ) -> None:
        self._waiting = waiting
        self._service = service
        self._priority = priority
        self._is_waiting = False
        self.has_missed = False

    def __enter__(self) -> "LimitWait":
        """Return this place; the request doesn't wait yet."""
        return self

    def __exit__(self, *error: object) -> None:
        """Give up the place, also if the request is cancelled."""
        if self._is_waiting:
            self._waiting[self._service, self._priority] -= 1

    def begin(self) -> None:
        """Let others count this request as one that waits."""
        if not self._is_waiting:
            self._is_waiting = True
            self._waiting[self._service, self._priority] += 1

    def count_ahead(self) -> int:
        """Return how many requests go first.

        These are the more urgent ones that wait and, for one that has just come, also
        those of its own priority.
        """
        least = self._priority - self._is_waiting
        return sum(
            count
            for (service, priority), count in self._waiting.items()
            if service == self._service and priority <= least
        )
