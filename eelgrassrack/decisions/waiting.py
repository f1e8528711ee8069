"""A queued request: its cost, and its rank among its organisation's requests.

The rank is the arrival time plus the expected run time, limited to a share of the time
to spare before the deadline, minus a bonus for priority.
"""

import msgspec

# An engine emits one token per stream every 33 ms at the target size, so a request runs
# for about this time per token.
SECONDS_PER_TOKEN = 0.033

# Upper bound on the time that a long job yields to others: the default deadline of a
# request.
MAX_YIELD_SECONDS = 60.0

# A job yields at most this share of its spare time before the deadline.  Admission
# accepts it by the wait of a first-come queue.  If it yielded more, long jobs in a full
# queue would be late, and those waste most of the endpoint's time.
SPARE_SHARE = 0.25

# The expected length of an answer is a guess, so at most this share of a request's time
# is reserved for running it, as in admission.
MAX_RUN_SHARE = 0.5

# A request is patient if it runs longer than this, twice a mean answer of 210 tokens,
# and can spare more time than a long job yields.
LONG_SECONDS = 14.0

# One level of priority overtakes 10 s of waiting in the same organisation: a sixth of
# the default deadline, so five levels stay within one deadline.
SECONDS_PER_PRIORITY = 10.0

# Priorities are clamped to these levels, which limits their effect.
LOWEST_PRIORITY = 0
HIGHEST_PRIORITY = 5

# Smaller weights count as this, since a weight of zero would give an infinite tag.
MIN_WEIGHT = 0.01


class QueuedRequest(msgspec.Struct, kw_only=True, frozen=True):
    """A request in the queue.

    `tokens` is the expected cost; `deadline` and `arrived` are seconds on the same
    clock as `now`.  A higher `priority` is served first.
    """

    key: str
    organisation: str
    weight: float = 1.0
    tokens: int = 1
    deadline: float
    priority: int = 1
    arrived: float

    @property
    def cost(self) -> float:
        """Return the tokens divided by the organisation's weight."""
        return max(self.tokens, 1) / max(self.weight, MIN_WEIGHT)

    @property
    def level(self) -> int:
        """Return the priority, clamped to its bounds."""
        return min(max(self.priority, LOWEST_PRIORITY), HIGHEST_PRIORITY)

    @property
    def is_patient(self) -> bool:
        """Return whether it is a long job with time to spare."""
        return is_patient(tokens=self.tokens, within=self.deadline - self.arrived)

    @property
    def latest_start(self) -> float:
        """Return the time from which a start is expected to miss the deadline."""
        longest = max(self.deadline - self.arrived, 0.0) * MAX_RUN_SHARE
        run_time = self.tokens * SECONDS_PER_TOKEN
        return self.deadline - min(run_time, longest)

    @property
    def rank(self) -> float:
        """Return the rank among the organisation's requests; the lowest goes first."""
        run_time = self.tokens * SECONDS_PER_TOKEN
        spare = max(self.deadline - self.arrived - run_time, 0.0)
        yielded = min(run_time, MAX_YIELD_SECONDS, spare * SPARE_SHARE)
        return self.arrived + yielded - self.level * SECONDS_PER_PRIORITY


def is_patient(*, tokens: int, within: float) -> bool:
    """Return whether a request is a long job with time to spare.

    `within` is the seconds until its deadline.
    """
    run_time = tokens * SECONDS_PER_TOKEN
    return run_time > LONG_SECONDS and within - run_time > MAX_YIELD_SECONDS


def count_ahead(*, own: int, alike: int) -> int:
    """Return how many of its organisation's tokens a new request waits for.

    `own` tokens of the organisation are queued, `alike` of them in the lane of the new
    request (patient or not).  Each lane gets half of the organisation's service while
    both have requests.
    """
    return min(2 * alike, own)
