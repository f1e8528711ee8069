"""Timeouts for a single request at an endpoint that is up.

An endpoint may accept some requests and never answer them, while its health probes and
all other requests are fine.  Without timeouts their callers would wait until their
deadlines, although a retry needs little of that time.

Only repeatable requests are sent elsewhere, after their first run was stopped.  An
endpoint that is merely busy must not be abandoned too soon, since its work would be
wasted just when capacity is scarce.  The timeout therefore follows the estimate, which
grows with the endpoint's queue.

A short prompt wastes little.  An endpoint that reads a very long one makes it wait for
about a second, which is the whole objective of most requests; if it leaves in time,
another endpoint still answers it within the objective.
"""

import math

from .shortprompts import is_short

# The timeout for the first piece is this multiple of the estimate, plus a constant that
# is larger if the endpoint has a prompt to read.
FIRST_FACTOR = 4.0
EXTRA_FIRST_SECONDS = 0.4
EXTRA_READING_SECONDS = 1.0

# For a short prompt the constant is at most this share of the objective.
EXTRA_SHORT_SHARE = 0.4

# A stream may pause for this multiple of the route's target.  An engine that runs out
# of memory preempts a stream for about a second, hence the minimum.
GAP_FACTOR = 2.0
MIN_GAP_SECONDS = 1.5


def find_first_timeout(
    *,
    expected: float,
    has_prompt: bool,
    reading: float = math.inf,
    objective: float = math.inf,
) -> float:
    """Return the timeout for the first piece of an answer, in seconds.

    `expected` is its estimated time, `reading` the part of it in which the endpoint
    reads the prompt, and `objective` the time within which the piece is due, all in
    seconds.
    """
    extra = EXTRA_READING_SECONDS if has_prompt else EXTRA_FIRST_SECONDS
    if has_prompt and is_short(reading=reading, objective=objective):
        extra = min(extra, objective * EXTRA_SHORT_SHARE)
    return expected * FIRST_FACTOR + extra


def find_gap_timeout(*, wanted: float) -> float:
    """Return the timeout between two pieces of a stream, in seconds.

    `wanted` is the route's target for pauses in seconds.
    """
    return max(wanted * GAP_FACTOR, MIN_GAP_SECONDS)
