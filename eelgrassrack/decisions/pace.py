"""How long each model takes to read a prompt, learned from answers.

Load pattern: a route's models read prompts at speeds that differ by a factor
of ten, and prompts differ by a factor of fifty.  Whoever counts requests, or
tokens, sends a short question behind a long prompt of the slowest model and
makes it wait for two seconds.

Only answers of endpoints that had nothing else to read are learned from: with
a queue before it the time says more of the queue than of the model.

An entry that has just started knows no pace.  Its guess may be several times
too slow, and until it has learned better it takes half of the long prompts for
too long to ask a cheap model first.  The first answers that come sooner than
guessed therefore count more.  Those that come later count as little as ever:
something else may have held them up, but nothing answers before it has read.
"""

import msgspec

# Seconds to read a token with the cheapest model before any answer was seen.
FIRST_PACE = 1 / 120_000

# Before any answer, a model of n times the cost is taken to be this part of
# n times as slow.
COST_SHARE = 0.7

# What an idle engine takes before the first token whatever the prompt.
BASE_SECONDS = 0.031

# Prompts shorter than this say too little of the pace.
LEAST_TOKENS = 500

# The weight of one answer in the end; paces change with the batch beside,
# within seconds.
WEIGHT = 1 / 12

# An answer much slower than the known pace has met something else, such as
# another entry's request that wasn't known of yet.
MOST_FACTOR = 3.0


# Seconds to generate a token before any answer was seen: what an engine takes
# with a dozen requests beside.
FIRST_STREAM_PACE = 0.005


class Learned(msgspec.Struct, frozen=True):
    """Seconds a token, and from how many answers they were learned."""

    seconds: float
    answers: int = 0

    def note(self, seconds: float) -> "Learned":
        """Return it with one more answer; what was guessed counts as one."""
        is_sooner = seconds < self.seconds
        weight = max(WEIGHT, 1 / (self.answers + 2)) if is_sooner else WEIGHT
        known = self.seconds + (seconds - self.seconds) * weight
        return Learned(known, self.answers + 1)


class Pace:
    """Seconds to read a prompt and to generate an answer, by model."""

    __slots__ = ("_paces", "_streams")

    def __init__(self) -> None:
        self._paces: dict[str, Learned] = {}
        self._streams: dict[str, float] = {}

    def note(self, *, model: str, cost: float, tokens: int, seconds: float) -> None:
        """Learn from an answer of an endpoint that was idle.

        `cost` is that of the model relative to the cheapest, `tokens` the
        prompt without what was most likely cached.
        """
        if tokens < LEAST_TOKENS:
            return
        known = self._find(model, cost)
        seen = max(seconds - BASE_SECONDS, 0.0) / tokens
        self._paces[model] = known.note(min(seen, known.seconds * MOST_FACTOR))

    def estimate(self, *, model: str, cost: float, tokens: int) -> float:
        """Return the seconds that an engine is busy with reading a prompt."""
        return self._find(model, cost).seconds * tokens

    def note_stream(self, *, model: str, tokens: int, seconds: float) -> None:
        """Learn from a whole stream how long its tokens took after the first."""
        if not tokens:
            return
        known = self._streams.setdefault(model, seconds / tokens)
        self._streams[model] = known + (seconds / tokens - known) * WEIGHT

    def estimate_stream(self, *, model: str, tokens: int) -> float:
        """Return the seconds from the first token of an answer to the last."""
        return self._streams.get(model, FIRST_STREAM_PACE) * tokens

    def _find(self, model: str, cost: float) -> Learned:
        guess = Learned(FIRST_PACE * max(cost * COST_SHARE, 1.0))
        return self._paces.get(model, guess)
