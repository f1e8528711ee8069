"""The bound on a version's requests during its trial, which each gateway keeps alone.

Operators allow a bad version a share of a service's requests until the time limit, and
a few more, the slack.  A forecast of the requests to come is exceeded by chance, and by
any burst after it; counts of all gateways arrive late.

Each gateway therefore sends a version no more than that share of its own requests so
far, and its part of the slack.  These bounds add up to the operators' at any moment,
whatever comes later and whichever gateway is killed: a process that starts during a
roll-out has none of the slack, which the one before it may have used.

What one gateway has left another may need: gateways give each other parts of it, as
in an escrow.  A gift counts at the giver from the moment at which it is made, and at
the receiver once it hears of it, so that the sum never grows.
"""

import itertools
from collections.abc import Iterable, Sequence

import msgspec

# Time before the limit at which the trial of a good version ends, and that as a part of
# short limits.  Until then a version that turns bad is taken back.
END_SECONDS = 0.5
END_PART = 0.06

# What is kept back for the requests after the end, as a multiple of those at the latest
# rate: from then on all requests use the version.
KEPT_FACTOR = 1.5

# The largest part of what is left at the move that is kept back: without some requests
# before its end nothing shows how the version bears the load.
KEPT_PART = 0.6

# A trial ends only if so many times the requests at the latest rate may still come.
COVERED_FACTOR = 1.2

# How far a gateway exceeds the share that what it has left is enough for.
OWN_FACTOR = 2.0

# The least that is given, in requests.
MIN_GIFT = 0.5


class Allowance(msgspec.Struct, frozen=True, kw_only=True):
    """The requests of a service so far, and what a version on trial may get of them.

    `sent_new` of `sent` requests went to the version.  It may get `share` of them and
    `slack` more.
    """

    sent: int
    sent_new: int
    share: float
    slack: float

    @property
    def left(self) -> float:
        """Return how many more requests the version may get, which may be below 0."""
        return self.share * self.sent + self.slack - self.sent_new

    @property
    def has_room(self) -> bool:
        """Return whether the version may get one more request."""
        return self.left >= 1.0


class Holder(msgspec.Struct, frozen=True):
    """What a gateway has left for a version, and how many requests it gets a second.

    `age` is the seconds since that was so.
    """

    name: str
    left: float
    rate: float
    age: float = 0.0


def find_end_seconds(limit: float, *, unseen: float = 0.0) -> float:
    """Return the seconds between the end of a good version's trial and its limit.

    The time limit may pass up to `unseen` seconds before it seems to.
    """
    return min(END_SECONDS, limit * END_PART) + unseen


def limit_unseen(
    unseen: float, *, left: float, share: float, rate: float, limit: float
) -> float:
    """Return how many seconds earlier a trial ends as its order was seen late.

    Those are at most `unseen`, and so many that `left` suffices for the requests that
    may come after the end.
    """
    use = KEPT_FACTOR * find_use(share=share, rate=rate, seconds=1.0)
    if use <= 0.0:
        return unseen
    affordable = KEPT_PART * left / use - find_end_seconds(limit)
    return min(max(affordable, 0.0), unseen)


def find_use(*, share: float, rate: float, seconds: float) -> float:
    """Return by how much less is left after `seconds` of all requests.

    `share` is what operators allow, `rate` the requests per second.
    """
    return (1.0 - share) * rate * max(seconds, 0.0)


def find_kept_factor(
    *, left: float, share: float, rate: float, seconds: float
) -> float:
    """Return by which factor of their use requests after the end are provided for.

    `left` is what is left at the move, `seconds` the time between end and limit.
    """
    use = find_use(share=share, rate=rate, seconds=seconds)
    return min(KEPT_FACTOR, KEPT_PART * left / use) if use > 0.0 else KEPT_FACTOR


def find_moved_share(
    *,
    left: float,
    share: float,
    rate: float,
    remaining: float,
    end_seconds: float,
    kept_factor: float = KEPT_FACTOR,
) -> float:
    """Return the share of sessions for which enough is left, at most 1.

    All requests use the version since the move until `end_seconds` before the limit,
    which is in `remaining` seconds.  What is kept for the time from then on isn't used
    before the end, without which a good version couldn't end in time.
    """
    seconds = min(remaining, end_seconds)
    use = find_use(share=share, rate=rate, seconds=remaining - seconds)
    kept = kept_factor * find_use(share=share, rate=rate, seconds=seconds)
    if use <= 0.0:
        return float(left >= kept)
    return min(max((left - kept) / use, 0.0), 1.0)


def limit_share(common: float, own: float) -> float:
    """Return the share of sessions that use the version at one gateway.

    `common` is the share for which all gateways have enough, `own` that for which this
    one has.  All of them use the same sessions, as callers change gateways; one that
    has less than the others follows as far as what it gets from them allows.
    """
    return min(common, own * OWN_FACTOR)


def covers(
    holders: Iterable[Holder],
    *,
    share: float,
    rate: float,
    remaining: float,
    end_seconds: float,
    kept_factor: float = KEPT_FACTOR,
) -> bool:
    """Return whether the version may get all requests until the limit.

    `rate` is that of all gateways.  Since a gateway's report all of its requests may
    have used the version, but not what it keeps back: its sessions may use a little of
    that, for which the factor makes up.
    """
    kept_seconds = kept_factor * min(remaining, end_seconds)
    least = sum(
        _find_least(holder, share=share, kept_seconds=kept_seconds)
        for holder in holders
    )
    use = find_use(share=share, rate=rate, seconds=remaining)
    return least >= COVERED_FACTOR * use


def _find_least(holder: Holder, *, share: float, kept_seconds: float) -> float:
    used = find_use(share=share, rate=holder.rate, seconds=holder.age)
    kept = find_use(share=share, rate=holder.rate, seconds=kept_seconds)
    return max(holder.left - used, min(holder.left, kept))


def share_slack(slack: float, *, gateways: int | None) -> float:
    """Return a gateway's part of the slack, 0 while the others aren't known."""
    return slack / max(gateways, 1) if gateways is not None else 0.0


def find_gifts(*, own: Holder, others: Iterable[Holder]) -> dict[str, float]:
    """Return what a gateway gives to others, so that all have enough for as long.

    All that is too much and all that is missing, each in the order of names, are laid
    side by side; a gateway gives to those that lie beside it.  So all give what is
    missing once, and each to few.
    """
    holders = sorted((own, *others), key=lambda holder: holder.name)
    rate = sum(holder.rate for holder in holders)
    if rate <= 0.0:
        return {}
    seconds = sum(max(holder.left, 0.0) for holder in holders) / rate
    spare = [max(holder.left - seconds * holder.rate, 0.0) for holder in holders]
    missing = [max(seconds * holder.rate - holder.left, 0.0) for holder in holders]
    if not sum(spare) or not sum(missing):
        return {}
    scale = min(sum(missing) / sum(spare), 1.0)
    begin = sum(spare[: holders.index(own)]) * scale
    end = begin + spare[holders.index(own)] * scale
    gifts = zip(holders, _overlap(missing, begin, end), strict=True)
    return {holder.name: gift for holder, gift in gifts if gift >= MIN_GIFT}


def _overlap(sizes: Sequence[float], begin: float, end: float) -> list[float]:
    """Return how much of each of adjoining intervals lies in another one."""
    bounds = itertools.pairwise(itertools.accumulate(sizes, initial=0.0))
    return [max(min(high, end) - max(low, begin), 0.0) for low, high in bounds]
