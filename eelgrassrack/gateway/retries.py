"""What was sent and repeated here lately, for the budget of retries."""

import collections

import msgspec


class Counts(msgspec.Struct, frozen=True):
    """Requests and repeats of one service within the window."""

    requests: int
    repeats: int


class RetryWindow:
    """Count requests and repeats over a sliding window of `seconds`."""

    __slots__ = ("_repeats", "_requests", "_seconds")

    def __init__(self, *, seconds: float) -> None:
        self._seconds = seconds
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)

    def note_repeat(self, now: float) -> None:
        """Count a request that is sent to one more endpoint."""
        self._repeats.append(now)

    def count(self, now: float) -> Counts:
        """Return what lies within the window."""
        for times in (self._requests, self._repeats):
            while times and times[0] < now - self._seconds:
                times.popleft()
        return Counts(len(self._requests), len(self._repeats))
