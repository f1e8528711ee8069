"""How many new connections an entry takes while its event loop can't keep up.

An entry that reads more requests than it can serve is late with all of them.  What it
leaves unread, another entry can serve.  So it takes connections at a rate that falls
while each turn of its loop is long, and rises again once turns are short, until it is
no limit any more.  A single long turn, as after a pause, changes nothing.

Leaving connections unread helps only while others have room: if most of them are busy
too, callers would go round in vain.  An entry has room while what is due runs in time.
"""

import math
from collections.abc import Iterable

# A turn of the event loop that is longer is a sign of overload.  A request takes about
# ten turns.
LONG_TURN_SECONDS = 0.08

# How long all turns must have been long before the rate falls, each time.
LONG_SECONDS = 0.2

# The rate falls to this share of what was taken meanwhile, but not below the minimum,
# in connections per second.
FALL_SHARE = 0.7
MIN_RATE = 5.0

# What the rate allows can be saved up for this long: connections come in batches if
# turns are long.
SAVED_SECONDS = 0.25

# By what share of itself the rate rises in a second of short turns.
RISE_PER_SECOND = 0.5

# The rate is no limit any more once no connection has exceeded it for this long.
CALM_SECONDS = 1.5

# An entry has room if what was due ran less late than this in the mean.  Each new value
# has this weight in the mean.
LATE_SECONDS = 0.04
LATE_WEIGHT = 0.2

# Share of the other entries that must have room.
ROOM_SHARE = 0.5


class AcceptRate:
    """The rate at which an entry takes connections; all times are of one clock."""

    __slots__ = (
        "_adjusted_at",
        "_credit",
        "_credited_at",
        "_exceeded_at",
        "_lateness",
        "_long_since",
        "_taken",
        "rate",
    )

    def __init__(self) -> None:
        self.rate = math.inf
        self._adjusted_at = -math.inf
        self._credit = 0.0
        self._credited_at = 0.0
        self._exceeded_at = -math.inf
        self._lateness = 0.0
        self._long_since: float | None = None
        self._taken = 0

    @property
    def is_limited(self) -> bool:
        """Return whether connections are taken at a limited rate."""
        return math.isfinite(self.rate)

    @property
    def has_room(self) -> bool:
        """Return whether the entry could take more connections than come."""
        return not self.is_limited and self._lateness < LATE_SECONDS

    def note_late(self, seconds: float) -> None:
        """Note how late regular work ran, in seconds."""
        self._lateness += LATE_WEIGHT * (seconds - self._lateness)

    def note_turn(self, seconds: float, now: float) -> None:
        """Adjust the rate by how long a turn of the event loop took until `now`."""
        if seconds < LONG_TURN_SECONDS:
            self._long_since = None
            self._rise(now)
        elif self._long_since is None:
            self._long_since = now
            self._taken = 0
        elif now >= self._long_since + LONG_SECONDS:
            self._fall(now)

    def exceeds(self, now: float) -> bool:
        """Count a new connection, and return whether it exceeds the rate."""
        if self.is_limited:
            earned = (now - self._credited_at) * self.rate
            most = max(self.rate * SAVED_SECONDS, 1.0)
            self._credit = min(self._credit + earned, most)
            self._credited_at = now
            if self._credit < 1.0:
                self._exceeded_at = now
                return True
            self._credit -= 1.0
        self._taken += 1
        return False

    def _fall(self, now: float) -> None:
        taken = self._taken / (now - self._long_since)
        if not self.is_limited:
            self._exceeded_at = now
            self._credited_at = now
        self.rate = max(min(self.rate, taken) * FALL_SHARE, MIN_RATE)
        self._adjusted_at = now
        self._long_since = now
        self._taken = 0

    def _rise(self, now: float) -> None:
        if not self.is_limited:
            return
        if now >= self._exceeded_at + CALM_SECONDS:
            self.rate = math.inf
            return
        self.rate *= 1.0 + RISE_PER_SECOND * max(now - self._adjusted_at, 0.0)
        self._adjusted_at = now


def have_room(others: Iterable[bool]) -> bool:
    """Return whether enough other entries have room, of which each value tells."""
    rooms = tuple(others)
    return any(rooms) and sum(rooms) >= ROOM_SHARE * len(rooms)
