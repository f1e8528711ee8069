"""Shares of a limit that an endpoint states for all entries together.

An endpoint may take 1.5 requests per second from three hundred entries.  Equal shares
would leave each of them with next to nothing and the endpoint unused, and if each could
send one request at any time, three hundred might arrive at once.

Only the first entries in an order that all share may therefore send to it, a few more
than it takes requests in a second.  Those of its failure domain come first: they send
most of its requests anyway, and get the larger shares.  An entry sends at the steady
pace of its share and saves nothing up.  In any time the sum is then at most the limit
and one request for each of these entries.

What an entry doesn't need of its share it may lend to others, see `sharedlimit`.
"""

import math
from collections.abc import Iterable

import msgspec

from .precedence import Sharer, list_before

# Number of entries that share a limit of less than one request per second.
MIN_HOLDERS = 3

# Share of an entry in the endpoint's failure domain, relative to one in another.
NEAR_WEIGHT = 3
FAR_WEIGHT = 1


class Holder(msgspec.Struct, frozen=True):
    """An entry that has a share of a limit, as a part of 1."""

    name: str
    share: float


class Holding(msgspec.Struct, frozen=True):
    """The shares of a limit as one entry knows them, as parts of 1.

    `is_first` says that no other entry may precede this one.
    """

    own: float = 0.0
    others: tuple[Holder, ...] = ()
    is_first: bool = False


def share_limit(
    *, rate: float, own: Sharer, others: Iterable[Sharer], key: str, domain: str
) -> Holding:
    """Return the shares of the entries that may send to an endpoint.

    `rate` is the limit for all entries, `key` identifies the endpoint, and `domain` is
    its failure domain.  `others` are the other entries that may be live.
    """
    entries = tuple(others)
    before, behind = list_before(own=own, others=entries, key=key, domain=domain)
    holders = [*before, own, *behind][: int(rate) + MIN_HOLDERS]
    total = sum(_find_weight(entry, domain) for entry in holders)
    shares = {entry.name: _find_weight(entry, domain) / total for entry in holders}
    return Holding(
        own=shares.pop(own.name, 0.0),
        others=tuple(Holder(name, share) for name, share in shares.items()),
        is_first=not before,
    )


def _find_weight(entry: Sharer, domain: str) -> int:
    """Return an entry's weight; one of an unknown failure domain counts as near."""
    return NEAR_WEIGHT if entry.domain in {"", domain} else FAR_WEIGHT


class SendPace:
    """When an entry may send next, at the pace of a share that changes.

    It saves up one request at most, and none without a share.  So it never sends more
    than one request beyond what its share allows in any time.
    """

    __slots__ = ("_at", "_credit", "_share")

    def __init__(self, *, share: float, credit: float, now: float) -> None:
        self._share = share
        self._credit = credit if share else 0.0
        self._at = now

    def set_share(self, share: float, now: float) -> None:
        """Set the share in requests per second, which may have ended before `now`."""
        earned = min(self._share, share) * max(now - self._at, 0.0)
        self._credit = min(self._credit + earned, 1.0) if share else 0.0
        self._share = share
        self._at = now

    def note_sent(self) -> None:
        """Count a request."""
        self._credit = max(self._credit - 1.0, 0.0)

    def find_send_time(self) -> float:
        """Return the time from which the next request may be sent."""
        if not self._share:
            return math.inf
        return self._at + (1.0 - self._credit) / self._share
