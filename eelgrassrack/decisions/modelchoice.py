"""The choice between a route's models, and escalation to a better one.

A cheap model answers about half of the requests as well as the best one.  If all went
to the best model, the cost would be ten times as high and the engines would be full,
since reading a prompt takes ten times as long with it.  If all went to the cheapest,
half of the answers would be worthless.

The cheapest model begins.  The head of its answer states its confidence, before the
caller has received anything.  If the confidence is slightly too low the request goes to
the next model; if it is far too low it goes to the best one at once, since each further
run costs time and another reading of the prompt.

Long prompts are the most expensive: reading one with the best model costs as much as
dozens of short ones.  They begin with the best model only if there is no time for both,
because the cheapest answers more than half of them well.

Under overload better models are used less, except for short prompts, which take little
of an engine's time; an answer of the cheapest model with low confidence is almost
worthless.  A run of the best model takes the engine time of ten others, so it is used
only if an engine has almost nothing else to read.  Used whenever it answers in time, it
would fill the engines up to the longest objective of any route, and all other requests
would be late.  It isn't used either if its answer, which takes three times as long,
wouldn't be complete in the caller's remaining time, as after a fault that delayed
callers.
"""

from collections.abc import Callable, Sequence

import msgspec

from .shortprompts import is_short

# Minimum confidence of an accepted answer.  Confidence is around 50 if a request is
# just as hard as the model can handle, with a spread of about 10.
ACCEPTED_CONFIDENCE = 60

# How much higher the confidence of the next model usually is on the same request.
STEP_CONFIDENCE = 15

# An escalation needs one more attempt for the next model and one for a broken
# connection; with fewer attempts the best model begins.
MIN_ATTEMPTS = 2

# An answer expected within this share of the objective counts as in time.  The rest is
# for waits that aren't known yet.
IN_TIME_SHARE = 0.85

# An engine has room for a better model if its queue takes at most this share of the
# objective.
IDLE_SHARE = 0.2


# A caller that gives up before the end has no use for a partial answer, so the caller's
# remaining time must be at least this multiple of the expected one.
SPARE_FACTOR = 1.3


class Estimate(msgspec.Struct, frozen=True):
    """Expected times of a model's answer, in seconds.

    `seconds` is the time until the first token, `wait` the part of it spent in the
    queue, `whole` the time until the last token.
    """

    seconds: float
    wait: float
    whole: float = 0.0


Estimator = Callable[[str], Estimate]


def choose_first(
    *,
    models: Sequence[str],
    attempts: int,
    is_repeatable: bool,
    objective: float,
    remaining: float,
    estimate: Estimator,
) -> str:
    """Return the model to begin with; `models` are ordered from cheapest to best.

    `objective` is the seconds within which the first token is due, `remaining` the
    seconds until the caller gives up.
    """
    best = models[-1]
    if not is_repeatable or attempts < MIN_ATTEMPTS:
        return best
    expected = estimate(best)
    both = estimate(models[0]).seconds + expected.seconds
    has_room = expected.wait <= objective * IDLE_SHARE
    latest = objective * IN_TIME_SHARE
    in_time = expected.seconds <= latest and expected.whole * SPARE_FACTOR <= remaining
    begins = both > latest and in_time and has_room
    return best if begins else models[0]


def choose_next(
    *,
    models: Sequence[str],
    model: str,
    confidence: int | None,
    objective: float,
    remaining: float,
    estimate: Estimator,
) -> str | None:
    """Return the model to ask instead, or None to accept the answer.

    `objective` is the seconds within which the first token is due, `remaining` the
    seconds until the caller gives up.
    """
    if confidence is None or confidence >= ACCEPTED_CONFIDENCE:
        return None
    better = models[models.index(model) + 1 :]
    missing = ACCEPTED_CONFIDENCE - confidence
    if missing > STEP_CONFIDENCE:
        better = better[-1:]
    return next(
        (name for name in better if _has_room(estimate(name), objective, remaining)),
        None,
    )


def _has_room(expected: Estimate, objective: float, remaining: float) -> bool:
    """Return whether a better model may be used without delaying other requests."""
    if expected.whole * SPARE_FACTOR > remaining:
        return False
    if expected.wait <= objective * IDLE_SHARE:
        return True
    reading = expected.seconds - expected.wait
    is_in_time = expected.seconds <= objective * IN_TIME_SHARE
    return is_short(reading=reading, objective=objective) and is_in_time
