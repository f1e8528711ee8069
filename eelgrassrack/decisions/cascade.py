"""Which model of a cascade answers first, and when the next one is asked.

Load pattern: most requests are answered well by a cheap model, and the
share differs by kind of request.  Without this module each request pays for
the best model, or, beginning with the cheapest, hard kinds pay for every
rung and wait for all of them.

The first rung is the one with the least expected cost to reach the
organisation's quality target: its own cost, plus the cost of going on with
the next one as often as its recent ratings for this kind fell short.  For
an organisation that prefers latency going on costs extra, and a sure rung
streams directly, without waiting for its rating.

While the rating service is slow, an answer without a rating is delivered if
its model usually reaches the target, else the next rung is asked.  Once the
service is silent, or gives the same rating over and over, nothing new is
learnt: the cheapest rung that usually reached the target answers directly,
else the last one.  Asking every rung then would multiply the load while
nothing could be gained.  A service that rates everything too low costs as
much as always using the last rung, no more, since that one is then first.
One that rates everything too high can't be told from good models here; its
ratings weigh no more than MOST_SAMPLES answers and fade by half in half an
hour, while the document's expected quality always keeps its weight.
"""

import enum
import math
from collections.abc import Sequence

import msgspec

from ..document.sections import Policy, Preference
from .weights import weigh_haste, weigh_latency

# Ratings are counted in so many classes of equal width.
CLASSES = 20

# Ratings fade by half in half an hour: a model's answers to a kind change
# with its versions, of which one rolls out on most days.
HALF_LIFE = 1_800.0

# The ratings of one model and kind weigh no more than this many answers, so
# a change shows after some dozens even where requests are frequent.
MOST_SAMPLES = 200.0

# The document's expected quality weighs as much as this many answers.
PRIOR_SAMPLES = 4.0

# Ratings of a model scatter around its quality by about this much; it sets
# how fast the expected part of good answers falls with the target.
PRIOR_SPREAD = 0.08

# A rung is sure if nine in ten of its answers reach the target, by at least
# so many ratings.  Streaming directly then delivers one in ten below it.
# The policy's latency against exposure makes it more or fewer, within these.
UNSURE = 0.1
LEAST_UNSURE = 0.02
MOST_UNSURE = 0.2
SURE_SAMPLES = 10.0

# Without a rating an answer counts as good if this part usually is.
USUALLY = 0.8

# For an organisation that prefers latency going on to the next rung costs
# half an answer of the last rung on top: the caller waits twice.  The
# policy's latency against cost makes it more or less.
LATENCY_PENALTY = 0.5

# One request in fifty begins a rung lower than it would, to find out whether
# that one has become good enough.  It costs at most that rung's answers.
EXPLORE = 0.02

# So many answers without a rating in a row mean that the service is silent;
# so many equal ratings in a row that it is stuck.
SILENT_AFTER = 5
STUCK_AFTER = 50


# Without a word from the document all measures count alike.
EVEN = Policy()


class Rung(msgspec.Struct, kw_only=True, frozen=True):
    """A model of a cascade.

    `cost` is in money units per 1,000 tokens, `quality` the expected rating
    before any answer was rated.
    """

    model: str
    cost: float
    quality: float


class CascadePlan(msgspec.Struct, kw_only=True, frozen=True):
    """Begin at rung `first`; `direct` streams it without awaiting a rating."""

    first: int
    direct: bool


class Deliver(msgspec.Struct, kw_only=True, frozen=True):
    """Give the answer to the caller."""


class EscalateReason(enum.Enum):
    """Why the next rung is asked."""

    BELOW_TARGET = "below_target"
    NO_RATING = "no_rating"


class Escalate(msgspec.Struct, kw_only=True, frozen=True):
    """Ask the next rung."""

    reason: EscalateReason


class Ratings:
    """The recent ratings of one model for one kind, in classes."""

    __slots__ = ("_at", "counts", "total")

    def __init__(self, *, now: float) -> None:
        self.counts = [0.0] * CLASSES
        self.total = 0.0
        self._at = now

    def add(self, *, rating: float, now: float) -> None:
        """Count a rating and let the older ones fade."""
        # Beyond one half-life a gap fades no further: after a long silence
        # the old ratings are still the best that is known.
        gap = min(max(now - self._at, 0.0), HALF_LIFE)
        fade = 0.5 ** (gap / HALF_LIFE)
        fade = min(fade, MOST_SAMPLES / (self.total + 1.0))
        self.counts = [count * fade for count in self.counts]
        self.counts[_find_class(rating)] += 1.0
        self.total = self.total * fade + 1.0
        self._at = now

    def count_from(self, *, target: float) -> float:
        """Return the weight of the ratings that reach the target."""
        return sum(self.counts[_find_class(target) :])


class CascadePlanner:
    """Plan cascades from recent ratings by kind of request."""

    __slots__ = ("_equal", "_last", "_ratings", "_unrated")

    def __init__(self) -> None:
        self._ratings: dict[tuple[str, str], Ratings] = {}
        self._unrated = 0
        self._equal = 0
        self._last: float | None = None

    @property
    def is_blind(self) -> bool:
        """Tell whether the rating service is silent or stuck."""
        return self._unrated >= SILENT_AFTER or self._equal >= STUCK_AFTER

    def plan(
        self,
        *,
        kind: str,
        target: float,
        preference: Preference,
        rungs: Sequence[Rung],
        chance: float,
        policy: Policy = EVEN,
    ) -> CascadePlan:
        """Return where to begin; `rungs`, at least one, are cheapest first."""
        chances = [self.estimate(kind=kind, rung=rung, target=target) for rung in rungs]
        last = len(rungs) - 1
        if self.is_blind:
            good = (at for at, good in enumerate(chances) if good >= USUALLY)
            return CascadePlan(first=next(good, last), direct=True)
        prefers_latency = preference is Preference.LATENCY
        penalty = LATENCY_PENALTY * weigh_latency(policy) if prefers_latency else 0.0
        first = _find_cheapest(rungs=rungs, chances=chances, penalty=penalty)
        if chance < EXPLORE and first > 0:
            return CascadePlan(first=first - 1, direct=False)
        ratings = self._ratings.get((kind, rungs[first].model))
        is_sure = (
            chances[first] >= 1 - _find_unsure(policy)
            and ratings is not None
            and ratings.total >= SURE_SAMPLES
        )
        direct = is_sure and prefers_latency
        return CascadePlan(first=first, direct=direct or first == last)

    def judge(
        self,
        *,
        rating: float | None,
        target: float,
        rung: Rung,
        last: bool,
        kind: str | None = None,
    ) -> Deliver | Escalate:
        """Decide on a rung's answer; `rating` is None if none came in time."""
        if not _is_rating(rating):
            self._unrated += 1
            good = self.estimate(kind=kind or "", rung=rung, target=target)
            if last or self.is_blind or good >= USUALLY:
                return Deliver()
            return Escalate(reason=EscalateReason.NO_RATING)
        if last or rating >= target:
            return Deliver()
        return Escalate(reason=EscalateReason.BELOW_TARGET)

    def note(self, *, kind: str, rung_model: str, rating: float, now: float) -> None:
        """Learn from a rating, whether it was awaited or came later."""
        if not _is_rating(rating):
            return
        self._unrated = 0
        self._equal = self._equal + 1 if rating == self._last else 0
        self._last = rating
        if self._equal >= STUCK_AFTER:
            return
        key = (kind, rung_model)
        if key not in self._ratings:
            self._ratings[key] = Ratings(now=now)
        self._ratings[key].add(rating=rating, now=now)

    def estimate(self, *, kind: str, rung: Rung, target: float) -> float:
        """Return the part of a rung's answers that reaches the target."""
        expected = 1 / (1 + math.exp((target - rung.quality) / PRIOR_SPREAD))
        ratings = self._ratings.get((kind, rung.model))
        if ratings is None:
            return expected
        good = ratings.count_from(target=target) + PRIOR_SAMPLES * expected
        return good / (ratings.total + PRIOR_SAMPLES)


def _find_cheapest(
    *, rungs: Sequence[Rung], chances: Sequence[float], penalty: float
) -> int:
    """Return the rung with the least expected cost to reach the target.

    `penalty` for going on is in answers of the last rung.
    """
    cost = rungs[-1].cost
    costs = [cost]
    for rung, good in zip(rungs[-2::-1], chances[-2::-1], strict=True):
        cost = rung.cost + (1 - good) * (cost + penalty * rungs[-1].cost)
        costs.append(cost)
    costs.reverse()
    return costs.index(min(costs))


def _find_unsure(policy: Policy) -> float:
    """Return the part of a sure rung's answers that may miss the target."""
    return min(max(UNSURE * weigh_haste(policy), LEAST_UNSURE), MOST_UNSURE)


def _is_rating(rating: float | None) -> bool:
    """Tell a rating from none, and from what can't be one."""
    return rating is not None and 0.0 <= rating <= 1.0


def _find_class(rating: float) -> int:
    return min(int(rating * CLASSES + 1e-9), CLASSES - 1)
