"""Which of a route's models answers a request.

Load pattern: requests of unlike difficulty, of which a cheap model answers
about half as well as the best one does.  If all went to the best model its
cost would be ten times as high and engines, on which it takes three times as
long, would be full.  If all went to the cheapest, half of the answers would
be worth nothing.

The cheapest model begins.  With the head of its answer it tells its own rough
opinion, before the caller has got anything.  A low opinion sends the request
on: a little too low to the next model, far too low to the best one at once,
since each further run costs time and the reading of the prompt.
"""

from collections.abc import Sequence

# An answer is taken from this opinion on.  Opinions lie around 50 where a
# request is just as hard as the model bears, with a spread of about 10, so
# that 60 leaves one bad answer in six at the edge and hardly any beyond.
ACCEPTED_CONFIDENCE = 60

# The opinion of the next model is higher by about this much on the same
# request, measured over a day's requests on both sites.
STEP_CONFIDENCE = 15

# A run that must not be dropped needs one attempt kept for a broken
# connection; with fewer left the best model begins.
LEAST_ATTEMPTS = 2


def choose_first(*, models: Sequence[str], attempts: int, is_repeatable: bool) -> str:
    """Return the model to begin with; `models` come smallest first."""
    if not is_repeatable or attempts < LEAST_ATTEMPTS:
        return models[-1]
    return models[0]


def choose_next(
    *, models: Sequence[str], model: str, confidence: int | None
) -> str | None:
    """Return the model to ask instead, or None to take the answer."""
    if confidence is None or confidence >= ACCEPTED_CONFIDENCE:
        return None
    place = models.index(model)
    if place + 1 == len(models):
        return None
    if confidence + STEP_CONFIDENCE >= ACCEPTED_CONFIDENCE:
        return models[place + 1]
    return models[-1]
