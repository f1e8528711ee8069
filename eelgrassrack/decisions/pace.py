"""Estimates how long each model takes to read a prompt and to generate an answer.

A route's models read prompts at speeds that differ by a factor of ten, and prompts
differ in length by a factor of fifty.  If endpoints were compared by requests or
tokens, a short question would wait two seconds behind a long prompt of the slowest
model.

The estimates are learned only from endpoints that had nothing else to read; otherwise
the measured time would tell more about the queue than about the model.

A new entry begins with a guess that may be several times too slow.  Until it has
learned better, it would consider half of the long prompts too long for asking a cheap
model first.  The first answers that come sooner than estimated therefore have more
weight.  Answers that come later always have the small weight: something else may have
delayed them, whereas no endpoint answers before it has read the prompt.
"""

import msgspec

# Initial guess of the seconds that the cheapest model takes to read a token.
INITIAL_SECONDS_PER_TOKEN = 1 / 120_000

# The initial guess for a model of n times the cost is n times this factor as slow.
COST_FACTOR = 0.7

# Time until the first token on an idle engine, apart from reading the prompt.
BASE_SECONDS = 0.031

# Shorter prompts tell too little about the pace.
MIN_TOKENS = 500

# Weight of an answer once the pace is learned.  The pace changes within seconds, with
# the other requests in the engine's batch.
ANSWER_WEIGHT = 1 / 12

# Answers count as at most this many times slower than the estimate: beyond that,
# something else delayed them, such as another entry's request not known here yet.
MAX_SLOWER_FACTOR = 3.0


# Initial guess of the seconds to generate a token, on an engine that runs a dozen other
# requests.
INITIAL_STREAM_SECONDS_PER_TOKEN = 0.005


class Learned(msgspec.Struct, frozen=True):
    """Estimated seconds per token, and the number of answers behind the estimate."""

    seconds: float
    answers: int = 0

    def note(self, seconds: float) -> "Learned":
        """Return the estimate after one more answer; the guess counts as one answer."""
        is_sooner = seconds < self.seconds
        weight = (
            max(ANSWER_WEIGHT, 1 / (self.answers + 2)) if is_sooner else ANSWER_WEIGHT
        )
        estimate = self.seconds + (seconds - self.seconds) * weight
        return Learned(estimate, self.answers + 1)


class Pace:
    """The models' estimated seconds to read a prompt and to generate an answer."""

    __slots__ = ("_paces", "_streams")

    def __init__(self) -> None:
        self._paces: dict[str, Learned] = {}
        self._streams: dict[str, float] = {}

    def note(self, *, model: str, cost: float, tokens: int, seconds: float) -> None:
        """Learn from the first token of an endpoint that was idle, after `seconds`.

        `cost` is that of the model relative to the cheapest, `tokens` the length of the
        prompt without the part that was probably cached.
        """
        if tokens < MIN_TOKENS:
            return
        estimate = self._find(model, cost)
        seen = max(seconds - BASE_SECONDS, 0.0) / tokens
        self._paces[model] = estimate.note(
            min(seen, estimate.seconds * MAX_SLOWER_FACTOR)
        )

    def estimate(self, *, model: str, cost: float, tokens: int) -> float:
        """Return the seconds that an engine takes to read a prompt of `tokens`."""
        return self._find(model, cost).seconds * tokens

    def note_stream(self, *, model: str, tokens: int, seconds: float) -> None:
        """Learn from a complete stream: `tokens` took `seconds` after the first."""
        if not tokens:
            return
        estimate = self._streams.setdefault(model, seconds / tokens)
        self._streams[model] = estimate + (seconds / tokens - estimate) * ANSWER_WEIGHT

    def estimate_stream(self, *, model: str, tokens: int) -> float:
        """Return the seconds from the first to the last token of an answer."""
        return self._streams.get(model, INITIAL_STREAM_SECONDS_PER_TOKEN) * tokens

    def _find(self, model: str, cost: float) -> Learned:
        guess = Learned(INITIAL_SECONDS_PER_TOKEN * max(cost * COST_FACTOR, 1.0))
        return self._paces.get(model, guess)
