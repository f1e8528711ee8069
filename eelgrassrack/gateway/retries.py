"""Counts of recent requests and retries, for the retry budget."""

import collections

import msgspec


class RetryCounts(msgspec.Struct, frozen=True):
    """Requests and retries of one service within the window."""

    requests: int
    repeats: int


class RetryWindow:
    """Count requests and retries over a sliding window of `seconds`."""

    __slots__ = ("_repeats", "_requests", "_seconds")

    def __init__(self, *, seconds: float) -> None:
        self._seconds = seconds
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)

    def note_repeat(self, now: float) -> None:
        """Count a retry."""
        self._repeats.append(now)

    def count(self, now: float) -> RetryCounts:
        """Return the counts within the window that ends now."""
        for times in (self._requests, self._repeats):
            while times and times[0] < now - self._seconds:
                times.popleft()
        return RetryCounts(len(self._requests), len(self._repeats))
