"""The pace at which one engine takes requests, as it told its agent.

An engine in need names the requests per second that it takes, in each answer for as
long as that holds.  Its agent is its only sender, so that it keeps to the limit alone.
"""


class EnginePace:
    """The limit of one engine in requests per second, None while it names none."""

    __slots__ = ("_last_start", "limit")

    def __init__(self) -> None:
        self._last_start = float("-inf")
        self.limit: float | None = None

    def note_start(self, now: float) -> None:
        """Note that a request is sent to the engine."""
        self._last_start = now

    def measure(self, *, now: float, ahead: int = 0) -> float:
        """Return the seconds until the engine takes a request that comes now.

        `ahead` is the number of requests that go first.
        """
        if self.limit is None:
            return 0.0
        return max(self._last_start + 1.0 / self.limit - now, 0.0) + ahead / self.limit
