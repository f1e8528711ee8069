"""One request that waits: its cost, and its place in its organisation.

The order of an organisation's own requests is by arrival plus expected run
time, at most a part of what the deadline leaves, less what priority gains.
"""

import msgspec

# An engine emits a token for a stream each 33 ms at the target size, so a
# request runs for about this long for each token it asks for.
SECONDS_PER_TOKEN = 0.033

# A long job yields no longer than the default deadline of a request.
LONGEST_YIELD = 60.0

# A job yields no more than this part of the time that it can spare before its
# deadline.  Admission lets it in by the wait of a first-come queue; yielding
# more makes long jobs of a full queue late, which are the ones that waste
# most of the endpoint.
SPARE_SHARE = 0.25

# The expected length of an answer is a guess, so no more than this part of a
# request's time is set aside for its run, as at admission.
LONGEST_RUN_SHARE = 0.5

# A request is patient if it runs longer than this, twice a mean answer of 210
# tokens, and can spare more than a long job yields.
LONG_SECONDS = 14.0

# One level of priority overtakes 10 s of waiting in the same organisation:
# a sixth of the default deadline, so five levels stay within one deadline.
SECONDS_PER_PRIORITY = 10.0

# Levels beyond these count as these, which bounds what priority can do.
LOWEST_PRIORITY = 0
HIGHEST_PRIORITY = 5

# A weight of zero would give a tag of infinity: it counts as this.
LEAST_WEIGHT = 0.01


class QueuedRequest(msgspec.Struct, kw_only=True, frozen=True):
    """One request that waits.

    `tokens` is the expected cost, `deadline` and `arrived` are seconds on
    the same clock as `now`.  A higher `priority` goes first.
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
        """Return the tokens it counts for, by the organisation's weight."""
        return max(self.tokens, 1) / max(self.weight, LEAST_WEIGHT)

    @property
    def level(self) -> int:
        """Return the priority within its bounds."""
        return min(max(self.priority, LOWEST_PRIORITY), HIGHEST_PRIORITY)

    @property
    def is_patient(self) -> bool:
        """Tell whether it is a long job with time to spare."""
        return is_patient(tokens=self.tokens, within=self.deadline - self.arrived)

    @property
    def latest_start(self) -> float:
        """Return from when on a start is expected to end after the deadline."""
        longest = max(self.deadline - self.arrived, 0.0) * LONGEST_RUN_SHARE
        run_time = self.tokens * SECONDS_PER_TOKEN
        return self.deadline - min(run_time, longest)

    @property
    def rank(self) -> float:
        """Return the place among the same organisation's, lowest first."""
        run_time = self.tokens * SECONDS_PER_TOKEN
        spare = max(self.deadline - self.arrived - run_time, 0.0)
        yielded = min(run_time, LONGEST_YIELD, spare * SPARE_SHARE)
        return self.arrived + yielded - self.level * SECONDS_PER_PRIORITY


def is_patient(*, tokens: int, within: float) -> bool:
    """Tell a long job with time to spare from all others."""
    run_time = tokens * SECONDS_PER_TOKEN
    return run_time > LONG_SECONDS and within - run_time > LONGEST_YIELD


def count_ahead(*, own: int, alike: int) -> int:
    """Return how many of its organisation's tokens an arrival waits for.

    `own` tokens of the organisation wait, `alike` of them in requests that
    are patient as this one is, or aren't as it isn't.  These have half of
    the organisation's turns while others wait too.
    """
    return min(2 * alike, own)
