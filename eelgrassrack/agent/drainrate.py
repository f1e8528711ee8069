"""The rate at which an endpoint works off its queue.

The rate is measured per slot of the concurrency window, in tokens per second,
and averaged over the latest answers.  It doesn't depend on the load.  Counting
tokens per second of the whole endpoint would make an idle one look slow, and the
first burst would be refused.
"""

# Weight of a new answer in the moving average, which spans about the last ten.
AVERAGE_WEIGHT = 0.2

# Without a lower bound an answer of no measurable duration would give an
# unbounded rate.
MIN_ANSWER_SECONDS = 0.001

# Bounds of the Retry-After of refused callers.  A caller that is told to retry at
# once only adds to the overload.
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 60.0


class DrainRate:
    """The moving average of the rate of one slot, in tokens per second."""

    __slots__ = ("slot_rate",)

    def __init__(self) -> None:
        self.slot_rate = 0.0

    def observe(self, *, tokens: int, seconds: float) -> None:
        """Add one complete answer to the average."""
        rate = tokens / max(seconds, MIN_ANSWER_SECONDS)
        self.slot_rate += (
            AVERAGE_WEIGHT * (rate - self.slot_rate) if self.slot_rate else rate
        )

    def find_rate(self, *, window: int) -> float:
        """Return the tokens per second of all slots, zero if not measured yet."""
        return self.slot_rate * window


def find_retry_after(wait: float) -> float:
    """Return in how many seconds a refused caller should retry."""
    return min(max(wait, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
