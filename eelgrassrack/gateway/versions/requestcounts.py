"""A gateway's own counts of a service's requests during a roll-out."""

from collections import deque

# Time over which the latest rate of requests is measured, and between the counts kept
# for that.
RATE_SECONDS = 1.0
MARK_SECONDS = 0.1


class RequestCounts:
    """The requests that this gateway sent since the loop time `began_at`.

    A request counts once among all, as operators count them, and each time that it
    reaches the new version there.  Attempts that never ran are taken back.
    """

    __slots__ = ("_marks", "began_at", "not_run", "sent", "sent_new")

    def __init__(self, *, began_at: float) -> None:
        self.began_at = began_at
        self.sent = 0
        self.sent_new = 0
        self.not_run = 0
        self._marks: deque[tuple[float, int]] = deque([(began_at, 0)])

    def count(self, *, is_new: bool, is_repeat: bool, now: float) -> None:
        """Count a request that was sent."""
        self.sent += not is_repeat
        self.sent_new += is_new
        if now >= self._marks[-1][0] + MARK_SECONDS:
            self._marks.append((now, self.sent))
            self._forget_marks(now)

    def take_back(self, *, is_new: bool, is_repeat: bool, has_reached: bool) -> None:
        """Take back an attempt that didn't run.

        One that its endpoint rejected has reached the version all the same.
        """
        self.not_run += 1
        self.sent -= not is_repeat
        self.sent_new -= is_new and not has_reached

    def find_mean_rate(self, now: float) -> float:
        """Return the requests per second in this process's time."""
        return self.sent / max(now - self.began_at, RATE_SECONDS)

    def find_rate(self, now: float) -> float:
        """Return the requests per second, the latest or the mean if that is more."""
        self._forget_marks(now)
        at, sent = self._marks[0]
        latest = (self.sent - sent) / max(now - at, MARK_SECONDS)
        return max(latest, self.find_mean_rate(now))

    def _forget_marks(self, now: float) -> None:
        while len(self._marks) > 1 and self._marks[1][0] <= now - RATE_SECONDS:
            self._marks.popleft()
