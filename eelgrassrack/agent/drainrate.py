"""How fast an endpoint works off its queue.

The speed is that of one slot of the window, in tokens a second, averaged
over the last answers.  It holds at any load, while a count of tokens by
time would call an idle endpoint slow and refuse the first burst.
"""

# Weight of one more answer; the average spans about the last ten.
AVERAGE_WEIGHT = 0.2

# Without a floor an answer of no measurable duration gives a speed without
# bound.
MIN_ANSWER_SECONDS = 0.001

# A caller that is told to come back at once only adds to the overload.
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 60.0


class DrainRate:
    """The measured speed of a slot."""

    __slots__ = ("speed",)

    def __init__(self) -> None:
        self.speed = 0.0

    def observe(self, *, tokens: int, seconds: float) -> None:
        """Take one whole answer into the average."""
        speed = tokens / max(seconds, MIN_ANSWER_SECONDS)
        self.speed += AVERAGE_WEIGHT * (speed - self.speed) if self.speed else speed

    def find_rate(self, *, window: int) -> float:
        """Return the tokens a second of all slots, zero when not known."""
        return self.speed * window


def find_retry_after(wait: float) -> float:
    """Return when a refused caller should come back."""
    return min(max(wait, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
