"""Estimates how long each model takes to read a prompt and to generate an answer.

A route's models read prompts at speeds that differ by a factor of ten, and prompts
differ in length by a factor of fifty.  If endpoints were compared by requests or
tokens, a short question would wait two seconds behind a long prompt of the slowest
model.

The estimates are learned only from endpoints that had nothing else to read; otherwise
the measured time would tell more about the queue than about the model.

The time until the first token is a base, the same for all prompts, and the reading.  Of
a short prompt's time most is the base, so that short prompts teach the base, and long
ones the pace.  If each answer taught the pace alike, a base that is a few hundredths of
a second longer than assumed would make the longest prompts seem twice as long.

A new entry begins with a guess that may be several times too slow.  Until it has
learned better, it would consider half of the long prompts too long for asking a cheap
model first.  The first answers that come sooner than estimated therefore have more
weight.  Answers that come later always have the small weight: something else may have
delayed them, whereas no endpoint answers before it has read the prompt.

An entry sees few answers of the best model, one in hundreds of requests.  Entries
therefore tell their neighbours what they have seen, and each takes the median, so that
a few delayed answers at one of them don't count.
"""

import itertools
from collections.abc import Iterable

import msgspec
import xxhash

# Initial guess of the seconds that the cheapest model takes to read a token.
INITIAL_SECONDS_PER_TOKEN = 1 / 120_000

# The initial guess for a model of n times the cost is n times this factor as slow.
COST_FACTOR = 0.7

# Initial guess of the time until the first token, apart from reading the prompt.
INITIAL_BASE_SECONDS = 0.031

# Shorter prompts teach the base, longer ones the pace.
MIN_TOKENS = 500

# An answer to a prompt of this length has the usual weight, a shorter or longer one in
# proportion, up to a bound.
USUAL_TOKENS = 4_000
MAX_LENGTH_WEIGHT = 2.0

# Weight of an answer once the pace is learned.  The pace changes within seconds, with
# the other requests in the engine's batch.
ANSWER_WEIGHT = 1 / 12

# Answers count as at most this many times slower than the estimate: beyond that,
# something else delayed them, such as another entry's request not known here yet.
MAX_SLOWER_FACTOR = 1.5

# Initial guess of the seconds to generate a token, on an engine that runs a dozen other
# requests.
INITIAL_STREAM_SECONDS_PER_TOKEN = 0.005

# Reports hold whole nanoseconds, which are encoded shorter than fractions.
NANOSECONDS = 1e9

# Number of answers beyond which a report has no more weight.
MAX_REPORT_WEIGHT = 12


class PaceReport(msgspec.Struct, frozen=True, array_like=True):
    """What one entry has seen of a model's pace, in nanoseconds a prompt token.

    `model` is a short hash of its name.
    """

    model: int
    nanoseconds: int
    answers: int


class Learned(msgspec.Struct, frozen=True):
    """Estimated seconds per token, and the number of answers behind the estimate."""

    seconds: float
    answers: int = 0

    def note(self, seconds: float, *, weight: float) -> "Learned":
        """Return the estimate after one more answer; the guess counts as one answer."""
        if seconds < self.seconds:
            weight = max(weight, 1 / (self.answers + 2))
        return self.move(seconds, weight=weight)

    def move(self, seconds: float, *, weight: float) -> "Learned":
        """Return the estimate after an answer that has a share `weight` of it."""
        estimate = self.seconds + (seconds - self.seconds) * weight
        return Learned(estimate, self.answers + 1)


class Pace:
    """The models' estimated seconds to read a prompt and to generate an answer.

    `base_seconds` is the time until the first token apart from reading the prompt.
    """

    __slots__ = ("_paces", "_peers", "_seen", "_streams", "base_seconds")

    def __init__(self) -> None:
        self.base_seconds = INITIAL_BASE_SECONDS
        self._paces: dict[str, Learned] = {}
        self._seen: dict[str, Learned] = {}
        self._peers: dict[int, list[PaceReport]] = {}
        self._streams: dict[str, float] = {}

    def note(self, *, model: str, cost: float, tokens: int, seconds: float) -> None:
        """Learn from the first token of an endpoint that was idle, after `seconds`.

        `cost` is that of the model relative to the cheapest, `tokens` the length of the
        prompt without the part that was probably cached.
        """
        estimate = self._find(model, cost)
        if tokens < MIN_TOKENS:
            self._note_base(seconds - estimate.seconds * tokens)
            return
        seen = max(seconds - self.base_seconds, 0.0) / tokens
        seen = min(seen, estimate.seconds * MAX_SLOWER_FACTOR)
        weight = ANSWER_WEIGHT * min(tokens / USUAL_TOKENS, MAX_LENGTH_WEIGHT)
        self._paces[model] = estimate.note(seen, weight=weight)
        before = self._seen.get(model, Learned(seen))
        self._seen[model] = before.move(
            seen, weight=max(weight, 1 / (before.answers + 1))
        )

    def _note_base(self, seconds: float) -> None:
        seen = min(max(seconds, 0.0), self.base_seconds * MAX_SLOWER_FACTOR)
        self.base_seconds += (seen - self.base_seconds) * ANSWER_WEIGHT

    def estimate(self, *, model: str, cost: float, tokens: int) -> float:
        """Return the seconds that an engine takes to read a prompt of `tokens`."""
        own = self._find(model, cost)
        reports = self._peers.get(_hash_name(model), ())
        if not reports:
            return own.seconds * tokens
        # The guess in the own estimate counts as one answer.
        found = [(own.seconds, min(own.answers, MAX_REPORT_WEIGHT) + 1)]
        found += [
            (report.nanoseconds / NANOSECONDS, min(report.answers, MAX_REPORT_WEIGHT))
            for report in reports
        ]
        return _find_median(found) * tokens

    def report(self) -> tuple[PaceReport, ...]:
        """Return what this entry has seen itself, for peers."""
        return tuple(
            PaceReport(_hash_name(model), int(seen.seconds * NANOSECONDS), seen.answers)
            for model, seen in self._seen.items()
        )

    def replace_reports(self, reports: Iterable[PaceReport]) -> None:
        """Replace what peers have seen by their latest reports."""
        self._peers = {}
        for report in reports:
            if report.answers > 0:
                self._peers.setdefault(report.model, []).append(report)

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


def _hash_name(model: str) -> int:
    return xxhash.xxh32_intdigest(model.encode())


def _find_median(weighted: Iterable[tuple[float, int]]) -> float:
    """Return the value at which half of the weights of (value, weight) are reached."""
    ordered = sorted(weighted)
    reached = itertools.accumulate(weight for _, weight in ordered)
    half = sum(weight for _, weight in ordered) / 2
    return next(
        value
        for (value, _), weight in zip(ordered, reached, strict=True)
        if weight >= half
    )
