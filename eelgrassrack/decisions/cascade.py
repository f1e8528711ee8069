"""Model cascades: which rung (model) answers first, and when to escalate to the next.

A cheap model answers most requests well enough, how often depends on the kind of
request.  Without the cascade every request would pay for the best model; if all began
with the cheapest, hard kinds would pay and wait for every rung.

The first rung is the one with the lowest expected cost of reaching the organisation's
quality target: its own cost, plus the cost of the next rungs times the probability,
from recent ratings of this kind, that its answer misses the target.  For an
organisation that prefers latency, escalation costs extra, and a rung that is sure to
reach the target streams its answer without waiting for the rating.

If the rating comes too late, the answer is delivered if its model usually reaches the
target; otherwise the next rung is asked.  When the rating service is silent, or repeats
one rating, it teaches nothing: the cheapest rung that usually reached the target
answers directly, or the last one if none did.  Asking every rung would multiply the
load for no gain.  A service that rates everything too low makes the last rung the
first, which costs no more than always using that one.  A service that rates everything
too high can't be distinguished from good models; its ratings count as MAX_SAMPLES
answers at most and lose half their weight in half an hour, while the expected quality
of the document always keeps its weight.
"""

import enum
import math
from collections.abc import Sequence

import msgspec

from ..document.sections import Policy, Preference
from .weights import weigh_latency, weigh_speed

# Number of histogram classes of equal width that ratings (0 to 1) are counted in.
CLASSES = 20

# Ratings lose half their weight in half an hour: a model's answers change with its
# versions, and on most days one version rolls out.
HALF_LIFE_SECONDS = 1_800.0

# Upper bound on the weight of one model's ratings for one kind, in answers, so that a
# change shows after some dozens of answers even if requests are frequent.
MAX_SAMPLES = 200.0

# Weight of the document's expected quality, in answers.
PRIOR_SAMPLES = 4.0

# Spread of a model's ratings around its expected quality; it determines how fast the
# expected share of good answers falls as the target rises.
PRIOR_SPREAD = 0.08

# A rung is sure if at least nine in ten of its answers reach the target, according to
# at least MIN_SURE_SAMPLES ratings.  Streaming then delivers one in ten answers below
# the target.  The policy's ratio of latency to exposure scales the share that may miss
# it, within the two bounds.
MISS_SHARE = 0.1
MIN_MISS_SHARE = 0.02
MAX_MISS_SHARE = 0.2
MIN_SURE_SAMPLES = 10.0

# An unrated answer is delivered if at least this share of its model's answers is good.
USUALLY_GOOD_SHARE = 0.8

# Cost of an escalation for an organisation that prefers latency, in answers of the last
# rung: the caller waits twice.  The policy's ratio of latency to cost scales it.
LATENCY_PENALTY = 0.5

# Share of requests that begin one rung lower than planned, to find out whether that
# rung has become good enough.  It costs at most the answers of that rung.
EXPLORE_SHARE = 0.02

# Consecutive answers without a rating after which the rating service counts as silent,
# and consecutive equal ratings after which it counts as stuck.
SILENT_AFTER = 5
STUCK_AFTER = 50


# The policy if the document states none: equal weights.
EVEN = Policy()


class Rung(msgspec.Struct, kw_only=True, frozen=True):
    """A model of a cascade.

    `cost` is in money units per 1,000 tokens, `quality` the expected rating (0 to 1)
    as long as no answer was rated.
    """

    model: str
    cost: float
    quality: float


class CascadePlan(msgspec.Struct, kw_only=True, frozen=True):
    """Begin at rung `first`; `direct` streams its answer without awaiting a rating."""

    first: int
    direct: bool


class Deliver(msgspec.Struct, kw_only=True, frozen=True):
    """Deliver the answer to the caller."""


class EscalateReason(enum.Enum):
    """Why the next rung is asked."""

    BELOW_TARGET = "below_target"
    NO_RATING = "no_rating"


class Escalate(msgspec.Struct, kw_only=True, frozen=True):
    """Drop the answer and ask the next rung."""

    reason: EscalateReason


class Ratings:
    """A histogram of one model's recent ratings for one kind of request."""

    __slots__ = ("_at", "counts", "total")

    def __init__(self, *, now: float) -> None:
        self.counts = [0.0] * CLASSES
        self.total = 0.0
        self._at = now

    def add(self, *, rating: float, now: float) -> None:
        """Count a rating and reduce the weight of older ones."""
        # A gap counts as one half-life at most: after a long silence the old
        # ratings are still the best available.
        gap = min(max(now - self._at, 0.0), HALF_LIFE_SECONDS)
        decay = 0.5 ** (gap / HALF_LIFE_SECONDS)
        decay = min(decay, MAX_SAMPLES / (self.total + 1.0))
        self.counts = [count * decay for count in self.counts]
        self.counts[_find_class(rating)] += 1.0
        self.total = self.total * decay + 1.0
        self._at = now

    def count_from(self, *, target: float) -> float:
        """Return the total weight of the ratings that reach the target."""
        return sum(self.counts[_find_class(target) :])


class CascadePlanner:
    """Plan cascades by the models' recent ratings for each kind of request."""

    __slots__ = ("_equal", "_last", "_ratings", "_unrated")

    def __init__(self) -> None:
        self._ratings: dict[tuple[str, str], Ratings] = {}
        self._unrated = 0
        self._equal = 0
        self._last: float | None = None

    @property
    def lacks_ratings(self) -> bool:
        """Return whether the rating service is silent or stuck."""
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
        """Return the rung to begin with.

        `rungs` holds at least one rung, the cheapest first.  `chance` is a random
        number in [0, 1) that decides on exploration.
        """
        probabilities = [
            self.estimate(kind=kind, rung=rung, target=target) for rung in rungs
        ]
        last = len(rungs) - 1
        if self.lacks_ratings:
            good = (
                at
                for at, good in enumerate(probabilities)
                if good >= USUALLY_GOOD_SHARE
            )
            return CascadePlan(first=next(good, last), direct=True)
        prefers_latency = preference is Preference.LATENCY
        penalty = LATENCY_PENALTY * weigh_latency(policy) if prefers_latency else 0.0
        first = _find_cheapest(
            rungs=rungs, probabilities=probabilities, penalty=penalty
        )
        if chance < EXPLORE_SHARE and first > 0:
            return CascadePlan(first=first - 1, direct=False)
        ratings = self._ratings.get((kind, rungs[first].model))
        is_sure = (
            probabilities[first] >= 1 - _find_miss_share(policy)
            and ratings is not None
            and ratings.total >= MIN_SURE_SAMPLES
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
        """Deliver a rung's answer or escalate; `rating` is None if it came too late."""
        if not _is_rating(rating):
            self._unrated += 1
            good = self.estimate(kind=kind or "", rung=rung, target=target)
            if last or self.lacks_ratings or good >= USUALLY_GOOD_SHARE:
                return Deliver()
            return Escalate(reason=EscalateReason.NO_RATING)
        if last or rating >= target:
            return Deliver()
        return Escalate(reason=EscalateReason.BELOW_TARGET)

    def note(self, *, kind: str, rung_model: str, rating: float, now: float) -> None:
        """Learn from a rating, also from one that came after the decision."""
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
        """Return the expected share of a rung's answers that reach the target."""
        expected = 1 / (1 + math.exp((target - rung.quality) / PRIOR_SPREAD))
        ratings = self._ratings.get((kind, rung.model))
        if ratings is None:
            return expected
        good = ratings.count_from(target=target) + PRIOR_SAMPLES * expected
        return good / (ratings.total + PRIOR_SAMPLES)


def _find_cheapest(
    *, rungs: Sequence[Rung], probabilities: Sequence[float], penalty: float
) -> int:
    """Return the index of the rung with the lowest expected cost to reach the target.

    `penalty` is the extra cost of an escalation, in answers of the last rung.
    """
    cost = rungs[-1].cost
    costs = [cost]
    for rung, good in zip(rungs[-2::-1], probabilities[-2::-1], strict=True):
        cost = rung.cost + (1 - good) * (cost + penalty * rungs[-1].cost)
        costs.append(cost)
    costs.reverse()
    return costs.index(min(costs))


def _find_miss_share(policy: Policy) -> float:
    """Return the share of a sure rung's answers that may miss the target."""
    return min(max(MISS_SHARE * weigh_speed(policy), MIN_MISS_SHARE), MAX_MISS_SHARE)


def _is_rating(rating: float | None) -> bool:
    """Return whether `rating` is present and between 0 and 1."""
    return rating is not None and 0.0 <= rating <= 1.0


def _find_class(rating: float) -> int:
    """Return the index of a rating's histogram class."""
    return min(int(rating * CLASSES + 1e-9), CLASSES - 1)
