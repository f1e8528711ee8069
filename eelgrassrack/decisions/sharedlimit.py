"""One entry's part of an endpoint's limit: its own share, what it lends and borrows.

Shares go by names, so that nothing has to be agreed on.  But requests may come to one
entry alone, which then has a small share, while others don't use theirs.  An entry that
lacks room therefore asks the others that have a share, and each lends what it doesn't
need for a short time.

A lease counts at the borrower from when it asked, and at the lender from when it lent,
which is later.  So the borrower has stopped before the lender begins again, whatever
happens to messages and whoever is killed; a lost one costs the room of one lease.

Each entry saves up one request at most.  A lender and its borrower do so both, hence a
share is lent to one borrower at a time, and the first entry lends nothing: so the
entries that may have saved one up are never more than the limit's slack allows.
"""

import msgspec
import xxhash

from .limitshares import Holder, Holding, SendPace
from .load import RecentRate

# How long a lease lasts at least and at most.  Room moves back as late as this.
MIN_LEASE_SECONDS = 0.5
MAX_LEASE_SECONDS = 3.0

# A lease lasts for this multiple of the time that answers take.
ROUND_TRIPS = 4.0

# How much of the longest time that an answer took counts after each further answer.
ROUND_TRIP_FADE = 0.9

# An entry keeps and wants this multiple of what it lately had to send.
NEED_FACTOR = 1.5

# An entry keeps this part of its own share for what may come.
KEPT_PART = 0.2

# It asks for this multiple of what it wants, as some lend nothing.
ASK_FACTOR = 2.0

# Parts of a limit that are too small to be lent.
MIN_SHARE = 0.001

# How long a lender remembers that others asked, which may come first next time.
ASKED_SECONDS = 0.6


class Lease(msgspec.Struct, frozen=True):
    """A part of a limit, and until when it is lent."""

    share: float
    until: float


class LeaseTime:
    """For how long an entry borrows, by how long others take to answer."""

    __slots__ = ("_round_trip",)

    def __init__(self) -> None:
        self._round_trip = 0.0

    def note_answer(self, seconds: float) -> None:
        """Note how long an answer took."""
        self._round_trip = max(seconds, self._round_trip * ROUND_TRIP_FADE)

    def find(self) -> float:
        """Return for how many seconds to borrow."""
        wanted = self._round_trip * ROUND_TRIPS
        return min(max(wanted, MIN_LEASE_SECONDS), MAX_LEASE_SECONDS)


class SharedLimit:
    """One entry's part of one endpoint's limit.

    `name` is the entry's own, `key` identifies the endpoint.  All shares are parts of
    the limit, and all times are of the entry's clock.
    """

    __slots__ = (
        "_asked",
        "_borrowed",
        "_holding",
        "_key",
        "_lent",
        "_name",
        "_need",
        "_pace",
        "_rate",
        "_taker",
    )

    def __init__(
        self,
        *,
        name: str,
        key: int,
        rate: float,
        holding: Holding,
        last_sent: float,
        now: float,
    ) -> None:
        self._name = name
        self._key = key
        self._rate = rate
        self._holding = holding
        self._need = RecentRate()
        self._taker = ""
        self._lent: list[Lease] = []
        self._borrowed: dict[str, Lease] = {}
        self._asked: dict[str, float] = {}
        share = rate * holding.own
        credit = min((now - last_sent) * share, 1.0)
        self._pace = SendPace(share=share, credit=credit, now=now)

    def update(self, rate: float, holding: Holding) -> None:
        """Take over a changed limit in requests per second, or changed shares."""
        self._rate = rate
        self._holding = holding

    def find_share(self, now: float) -> float:
        """Return the requests per second that the entry may send."""
        own = max(self._holding.own - self._find_lent(now), 0.0)
        borrowed = sum(
            lease.share for lease in self._borrowed.values() if now < lease.until
        )
        return self._rate * (own + borrowed)

    def find_send_time(self, now: float) -> float:
        """Return the time from which the entry may send its next request."""
        self._pace.set_share(self.find_share(now), now)
        return self._pace.find_send_time()

    def note_sent(self, now: float) -> None:
        """Count a request that is about to be sent."""
        self._pace.set_share(self.find_share(now), now)
        self._pace.note_sent()
        self._need.note(1.0, now)

    def note_missed(self, now: float) -> None:
        """Count a request that lacked room."""
        self._need.note(1.0, now)

    def list_wishes(self, now: float) -> list[Holder]:
        """Return what this entry wants to borrow of which others."""
        wanted = self._find_need(now) - self._holding.own
        if wanted < MIN_SHARE:
            return []
        rest = ASK_FACTOR * wanted
        wishes = []
        for holder in sorted(
            self._holding.others, key=lambda one: self._rank(one.name, self._name)
        ):
            if rest < MIN_SHARE:
                break
            wishes.append(holder)
            rest -= holder.share
        return wishes

    def lend(self, taker: str, wanted: float, *, seconds: float, now: float) -> float:
        """Lend another entry a part of the limit; return how much, 0 for nothing.

        `seconds` is for how long the other entry wants it, up to the longest lease.
        """
        self._asked[taker] = now
        share = min(wanted, self._find_spare(now))
        if share < MIN_SHARE or not self._is_next(taker, now):
            return 0.0
        self._pace.set_share(self.find_share(now), now)
        self._taker = taker
        until = now + min(seconds, MAX_LEASE_SECONDS)
        self._lent.append(Lease(share, until))
        self._pace.set_share(self.find_share(now), now)
        return share

    def borrow(self, giver: str, share: float, *, until: float, now: float) -> None:
        """Note what another entry lends.

        `until` is the time of the request for it, and the seconds that it was for.
        """
        self._pace.set_share(self.find_share(now), now)
        self._borrowed[giver] = Lease(share, until)

    def _find_need(self, now: float) -> float:
        """Return the part of the limit that the entry needs itself."""
        return NEED_FACTOR * self._need.find(now) / self._rate

    def _find_spare(self, now: float) -> float:
        """Return the part of the limit that the entry can lend."""
        if self._holding.is_first:
            return 0.0
        own = self._holding.own
        return own - max(self._find_need(now), KEPT_PART * own)

    def _is_next(self, taker: str, now: float) -> bool:
        """Return whether a lender's share goes to this one of those that ask."""
        if self._find_lent(now) and self._taker != taker:
            return False
        self._asked = {
            name: at for name, at in self._asked.items() if now < at + ASKED_SECONDS
        }
        return min(self._asked, key=lambda one: self._rank(self._name, one)) == taker

    def _rank(self, giver: str, taker: str) -> int:
        text = f"{giver}\0{self._key}\0{taker}"
        return xxhash.xxh3_64_intdigest(text.encode())

    def _find_lent(self, now: float) -> float:
        self._lent = [lease for lease in self._lent if now < lease.until]
        return max((lease.share for lease in self._lent), default=0.0)
