"""Limits that endpoints state: the requests per second that they take from all entries.

An endpoint in need names its limit in each answer, for as long as it holds.  An entry
hears of it by its own answers or from other entries, of which the latest news counts.

Answers cross on their way, and an endpoint may have written one before the limit was
known here.  An answer to a request that was sent before the last news can therefore
only lower a limit; it neither raises nor ends it.
"""

import msgspec

# The value of a notice that says that an endpoint names no limit.
NO_LIMIT = 0.0

# How long other entries are told that a limit has ended.
ENDED_SECONDS = 20.0

# Notices that are older are forgotten if their endpoint is gone.
KEPT_SECONDS = 120.0


class LimitNotice(msgspec.Struct, frozen=True):
    """A limit in requests per second, and when an answer named it.

    `is_own` says that the answer came to this entry.
    """

    rate: float
    seen_at: float
    is_own: bool


class StatedLimits:
    """The latest notice of each lifetime of an endpoint, by a hash of the lifetime."""

    __slots__ = ("_notices",)

    def __init__(self) -> None:
        self._notices: dict[int, LimitNotice] = {}

    def note(self, key: int, *, rate: float, asked_at: float, now: float) -> None:
        """Note the limit in an answer to a request that was sent at `asked_at`.

        `rate` is `NO_LIMIT` if the answer names none.
        """
        known = self._notices.get(key)
        if known is None and rate == NO_LIMIT:
            return
        if known is not None and asked_at < known.seen_at:
            rate = _find_lower(known.rate, rate)
        self._notices[key] = LimitNotice(rate, now, True)

    def merge(self, key: int, *, rate: float, seen_at: float) -> None:
        """Take another entry's notice if it is later than the one known here."""
        known = self._notices.get(key)
        if known is None or seen_at > known.seen_at:
            self._notices[key] = LimitNotice(rate, seen_at, False)

    def find_rate(self, key: int) -> float:
        """Return the limit in force, `NO_LIMIT` if there is none."""
        known = self._notices.get(key)
        return NO_LIMIT if known is None else known.rate

    def find_age(self, key: int, now: float) -> float:
        """Return how many seconds old the latest notice is, 0 if there is none."""
        known = self._notices.get(key)
        return 0.0 if known is None else now - known.seen_at

    def list_own(self, now: float) -> dict[int, LimitNotice]:
        """Return the notices of this entry's own answers that others need."""
        return {
            key: notice
            for key, notice in self._notices.items()
            if notice.is_own
            and (notice.rate != NO_LIMIT or now < notice.seen_at + ENDED_SECONDS)
        }

    def forget(self, *, present: set[int], now: float) -> None:
        """Forget old notices of endpoints that aren't `present`."""
        self._notices = {
            key: notice
            for key, notice in self._notices.items()
            if key in present or now < notice.seen_at + KEPT_SECONDS
        }


def _find_lower(known: float, stated: float) -> float:
    """Return the lower of two limits, of which `NO_LIMIT` is the highest."""
    if NO_LIMIT in (known, stated):
        return max(known, stated)
    return min(known, stated)
