"""How fast an endpoint works off its queue.

The speed is that of one slot of the window, in tokens a second, averaged
over the last answers.  It holds at any load, while a count of tokens by
time would call an idle endpoint slow and refuse the first burst.
"""

# Weight of one more answer; the average spans about the last ten.
SHARE = 0.2

# Without a floor an answer of no measurable duration gives a speed without
# bound.
SHORTEST = 0.001

# A caller that is told to come back at once only adds to the overload.
LEAST_RETRY = 0.2
LONGEST_RETRY = 60.0


class DrainRate:
    """The measured speed of a slot."""

    __slots__ = ("speed",)

    def __init__(self) -> None:
        self.speed = 0.0

    def observe(self, *, tokens: int, seconds: float) -> None:
        """Take one whole answer into the average."""
        speed = tokens / max(seconds, SHORTEST)
        self.speed += SHARE * (speed - self.speed) if self.speed else speed

    def find_rate(self, *, window: int) -> float:
        """Return the tokens a second of all slots, zero when not known."""
        return self.speed * window


def find_retry_after(wait: float) -> float:
    """Return when a refused caller should come back."""
    return min(max(wait, LEAST_RETRY), LONGEST_RETRY)
