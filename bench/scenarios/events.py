"""Virtual time, driven by a heap of events."""

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]


class Timeline:
    """Run events in the order of their times.

    `now` is the time of the current event in seconds.  Events with the same time run
    in the order in which they were added.
    """

    __slots__ = ("_heap", "_numbers", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Action]] = []
        self._numbers = itertools.count()

    def at(self, time: float, action: Action) -> None:
        """Call `action` at `time`."""
        heapq.heappush(self._heap, (time, next(self._numbers), action))

    def after(self, seconds: float, action: Action) -> None:
        """Call `action` in `seconds` from now."""
        self.at(self.now + seconds, action)

    def run(self, *, until: float) -> None:
        """Run all events up to and including the time `until`."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = until
