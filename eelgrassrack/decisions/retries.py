"""The retry budget: which failed attempts are retried, and how many of them.

Endpoints fail under overload.  If every layer retried, the load would triple just when
the endpoints can't handle it, and retries would prolong a short overload for minutes.
A request that may not be repeated could run twice if it were retried after a timeout.

Only the entry retries.  An attempt that is known not to have started may go to another
endpoint for any request; one that failed or whose outcome is unknown is retried only if
the request is repeatable.  Nothing is retried after the first byte of the answer was
sent to the caller, since a second run would produce a different answer.  All retries
are taken from a budget that successes fill.
"""

import enum

import msgspec

# Minimum time to the deadline for a retry: 0.77 s is the target for the first token of
# 95 in 100 answers, so a later retry wouldn't produce one.
MIN_REMAINING_SECONDS = 0.77

# The budget holds at most the retries earned by so many successes; otherwise an hour
# without failures would allow a retry storm.
MAX_SUCCESSES = 1_000


class Outcome(enum.Enum):
    """The outcome of an attempt that produced no answer."""

    NOT_STARTED = "not_started"
    FAILED = "failed"
    UNKNOWN = "unknown"


class GiveUpReason(enum.Enum):
    """Why an attempt isn't retried."""

    FIRST_BYTE_SENT = "first_byte_sent"
    NOT_REPEATABLE = "not_repeatable"
    TOO_MANY_TRIES = "too_many_tries"
    TOO_LATE = "too_late"
    BUDGET = "budget"


class Retry(msgspec.Struct, kw_only=True, frozen=True):
    """Retry, with `within` seconds to the deadline."""

    within: float


class GiveUp(msgspec.Struct, kw_only=True, frozen=True):
    """Don't retry."""

    reason: GiveUpReason


class RetryBudget:
    """Decide on retries within a budget.

    Each success earns `ratio` retries.  The budget begins with `floor` retries, so that
    an entry that has just started can retry at all.
    """

    __slots__ = ("_remaining", "floor", "ratio")

    def __init__(self, *, ratio: float, floor: float) -> None:
        self.ratio = ratio
        self.floor = floor
        self._remaining = floor

    @property
    def remaining(self) -> float:
        """Return how many retries are left."""
        return self._remaining

    def note_success(self) -> None:
        """Count a complete answer, which earns a fraction of a retry."""
        most = max(self.floor, self.ratio * MAX_SUCCESSES)
        self._remaining = min(self._remaining + self.ratio, most)

    def judge(
        self,
        *,
        outcome: Outcome,
        repeatable: bool,
        first_byte_sent: bool,
        tries: int,
        most_tries: int,
        within: float,
    ) -> Retry | GiveUp:
        """Decide whether to retry after `tries` attempts; a retry uses up budget.

        `within` is the seconds to the deadline.
        """
        if first_byte_sent:
            return GiveUp(reason=GiveUpReason.FIRST_BYTE_SENT)
        if not repeatable and outcome is not Outcome.NOT_STARTED:
            return GiveUp(reason=GiveUpReason.NOT_REPEATABLE)
        if tries >= most_tries:
            return GiveUp(reason=GiveUpReason.TOO_MANY_TRIES)
        if within < MIN_REMAINING_SECONDS:
            return GiveUp(reason=GiveUpReason.TOO_LATE)
        if self._remaining < 1.0:
            return GiveUp(reason=GiveUpReason.BUDGET)
        self._remaining -= 1.0
        return Retry(within=within)
