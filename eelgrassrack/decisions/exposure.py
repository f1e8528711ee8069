"""The bound on a version's requests during its trial, which each gateway keeps alone.

Operators allow a bad version a share of a service's requests until the time limit, and
a few more.  A forecast of the requests to come is exceeded by chance, and by any burst
after it; counts of all gateways arrive late.

Each gateway therefore sends a version no more than that share of its own requests so
far, and its part of the constant.  These bounds add up to the operators' at any moment,
whatever comes later and whichever gateway is killed: a process that starts during a
roll-out has none of the constant, which the one before it may have used.
"""

import msgspec

# Time before the limit for whose requests some of the allowance is kept back, as a
# multiple of those at the latest rate.  Sessions that already use the version, and all
# requests after the end of its trial, use what is kept.
KEPT_SECONDS = 0.5
KEPT_FACTOR = 2.0

# Largest part of the allowance that is kept back: one that just started has little.
KEPT_PART = 0.25

# A trial ends only if so many times the requests at the latest rate may still come.
COVERED_FACTOR = 1.5


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

    def has_room(self, *, kept: float = 0.0) -> bool:
        """Return whether the version may get one more request, with `kept` left."""
        return self.left + self.share >= 1.0 + kept

    def find_use(self, *, rate: float, seconds: float) -> float:
        """Return by how much less is left after `seconds` of all requests.

        `rate` is in requests per second.
        """
        return (1.0 - self.share) * rate * max(seconds, 0.0)

    def find_kept(self, *, rate: float, remaining: float) -> float:
        """Return what is kept back `remaining` seconds before the limit."""
        seconds = min(remaining, KEPT_SECONDS)
        most = (self.share * self.sent + self.slack) * KEPT_PART
        return min(self.find_use(rate=rate, seconds=seconds) * KEPT_FACTOR, most)

    def covers(self, *, rate: float, remaining: float) -> bool:
        """Return whether the version may get all requests until the limit."""
        use = self.find_use(rate=rate, seconds=remaining) * COVERED_FACTOR
        return remaining <= 0.0 or self.left >= use


def share_slack(slack: float, *, gateways: int | None) -> float:
    """Return a gateway's part of the constant, 0 while the others aren't known."""
    return slack / max(gateways, 1) if gateways is not None else 0.0
