"""Which of a route's models answers a request.

Load pattern: requests of unlike difficulty, of which a cheap model answers
about half as well as the best one does.  If all went to the best model its
cost would be ten times as high and engines, which take ten times as long to
read a prompt for it, would be full.  If all went to the cheapest, half of the
answers would be worth nothing.

The cheapest model begins.  With the head of its answer it tells its own rough
opinion, before the caller has got anything.  A low opinion sends the request
on: a little too low to the next model, far too low to the best one at once,
since each further run costs time and the reading of the prompt.

Under overload the better models give way first.  A run of the best one takes
an engine's time from ten others, so it is asked only where it answers in time,
or where the engine had nothing else to do.
"""

from collections.abc import Callable, Sequence

import msgspec

# An answer is taken from this opinion on.  Opinions lie around 50 where a
# request is just as hard as the model bears, with a spread of about 10, so
# that 60 leaves one bad answer in six at the edge and hardly any beyond.
ACCEPTED_CONFIDENCE = 60

# The opinion of the next model is higher by about this much on the same
# request, measured over a day's requests on both sites.
STEP_CONFIDENCE = 15

# A run that is dropped needs an attempt left for the next one, and one for a
# broken connection; with fewer the best model begins.
LEAST_ATTEMPTS = 2

# A prompt that takes the best model this part of the objective to read leaves
# no time to ask another one first.
LONG_SHARE = 0.45

# What is estimated to be late by no more than this factor is still tried.
LATE_FACTOR = 1.15

# An engine whose queue takes less than this part of the objective counts as
# idle: a late answer of the best model then takes little from others.
IDLE_SHARE = 0.15


class Estimate(msgspec.Struct, frozen=True):
    """Seconds until the first token of a model, and of that the queue's part."""

    seconds: float
    wait: float


Estimator = Callable[[str], Estimate]


def choose_first(
    *,
    models: Sequence[str],
    attempts: int,
    is_repeatable: bool,
    objective: float,
    estimate: Estimator,
) -> str:
    """Return the model to begin with; `models` come smallest first."""
    best = models[-1]
    if not is_repeatable or attempts < LEAST_ATTEMPTS:
        return best
    expected = estimate(best)
    is_long = expected.seconds - expected.wait > objective * LONG_SHARE
    return best if is_long and expected.seconds <= objective else models[0]


def choose_next(
    *,
    models: Sequence[str],
    model: str,
    confidence: int | None,
    left: float,
    objective: float,
    estimate: Estimator,
) -> str | None:
    """Return the model to ask instead, or None to take the answer.

    `left` is what is left of the objective, in seconds.
    """
    if confidence is None or confidence >= ACCEPTED_CONFIDENCE:
        return None
    better = models[models.index(model) + 1 :]
    missing = ACCEPTED_CONFIDENCE - confidence
    if missing > STEP_CONFIDENCE:
        better = better[-1:]
    fitting = (
        one
        for one in better
        if _is_worth(estimate(one), left=left, objective=objective)
    )
    return next(fitting, None)


def _is_worth(expected: Estimate, *, left: float, objective: float) -> bool:
    in_time = expected.seconds <= left * LATE_FACTOR
    return in_time or expected.wait <= objective * IDLE_SHARE
