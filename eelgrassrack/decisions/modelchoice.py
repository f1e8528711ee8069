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

Long prompts are the dearest: the best model reads one for as much as dozens of
short ones.  They begin with the best only if there is no time for both: asked
at once without need, it would be paid for every one of them, and more than half
are answered well by the cheapest.

Under overload the better models give way first, but for short prompts: these
take little of an engine's time, and an answer of the cheapest model that is
known to be wrong is worth next to nothing.  A run of the best one takes
an engine's time from ten others, so it is asked only where an engine has next
to nothing else to read.  Asked as long as it answers in time, it would fill
engines up to the most patient route's objective, and all others would be late.
Nor is it asked where its answer, which takes three times as long, wouldn't be
whole in the time that the caller has left, as after a fault that held callers up.
"""

from collections.abc import Callable, Sequence

import msgspec

# An answer is taken from this opinion on.  Opinions lie around 50 where a
# request is just as hard as the model bears, with a spread of about 10.
ACCEPTED_CONFIDENCE = 60

# The opinion of the next model is higher by about this much on the same request.
STEP_CONFIDENCE = 15

# A run that is dropped needs an attempt left for the next one, and one for a
# broken connection; with fewer the best model begins.
LEAST_ATTEMPTS = 2

# What is expected within this part of the objective is taken to be in time.  The
# rest is for waits that aren't known of yet.
IN_TIME_SHARE = 0.85

# An engine whose queue takes no more than this part of the objective has room
# for a better model.
IDLE_SHARE = 0.2


# A prompt that takes no more than this part of the objective to read fills no
# engine, so a better model reads it as long as its answer is in time.
SHORT_SHARE = 0.1

# A caller that gives up in the middle has nothing of its answer, so an answer
# must be expected to be whole with this part of its time to spare.
SPARE_FACTOR = 1.3


class Estimate(msgspec.Struct, frozen=True):
    """Seconds until the first token of a model, and of that the queue's part.

    `whole` is the seconds until the last token.
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
    """Return the model to begin with; `models` come smallest first.

    `remaining` is the seconds until the caller gives up.
    """
    best = models[-1]
    if not is_repeatable or attempts < LEAST_ATTEMPTS:
        return best
    expected = estimate(best)
    both = estimate(models[0]).seconds + expected.seconds
    has_room = expected.wait <= objective * IDLE_SHARE
    in_time = (
        expected.seconds <= objective and expected.whole * SPARE_FACTOR <= remaining
    )
    begins = both > objective * IN_TIME_SHARE and in_time and has_room
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
    """Return the model to ask instead, or None to take the answer.

    `remaining` is the seconds until the caller gives up.
    """
    if confidence is None or confidence >= ACCEPTED_CONFIDENCE:
        return None
    better = models[models.index(model) + 1 :]
    missing = ACCEPTED_CONFIDENCE - confidence
    if missing > STEP_CONFIDENCE:
        better = better[-1:]
    return next(
        (one for one in better if _has_room(estimate(one), objective, remaining)), None
    )


def _has_room(expected: Estimate, objective: float, remaining: float) -> bool:
    """Tell whether a model may be asked instead, for the sake of all requests."""
    if expected.whole * SPARE_FACTOR > remaining:
        return False
    if expected.wait <= objective * IDLE_SHARE:
        return True
    reading = expected.seconds - expected.wait
    is_in_time = expected.seconds <= objective * IN_TIME_SHARE
    return reading <= objective * SHORT_SHARE and is_in_time
