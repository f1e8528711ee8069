"""A gateway's own requests during a roll-out, and what it has left for the version."""

from collections import deque

from ...decisions.exposure import Allowance, share_slack
from ..peers.updatemessages import Gift

# Time over which the latest rate of requests is measured, the least number of requests
# for that, and the time between the counts kept for it.
RATE_SECONDS = 0.5
RATE_REQUESTS = 10
MARK_SECONDS = 0.1

# Time over which the mean rate is measured at least.
MEAN_SECONDS = 1.0

# How long a gift is reported.  One that isn't heard of by then is lost, which leaves
# the version with less.
GIFT_REPORT_SECONDS = 3.0


class RequestAccount:
    """The requests that this gateway sent since the loop time `began_at`.

    `sent` counts attempts, of which `sent_new` went to the new version and `not_run`
    never ran.  `reached` counts those that an endpoint began to answer: what is allowed
    is a share of them.  `has_slack` says that no process before this one used its
    part of the slack that operators allow, and `gateways` is the largest number of
    gateways that share it, None while it isn't known.  `given` holds what this gateway
    gave to each peer in all, `received` what each peer gave to it.
    """

    __slots__ = (
        "_given_at",
        "_marks",
        "began_at",
        "gateways",
        "given",
        "has_slack",
        "not_run",
        "reached",
        "received",
        "sent",
        "sent_new",
    )

    def __init__(self, *, began_at: float, has_slack: bool) -> None:
        self.began_at = began_at
        self.has_slack = has_slack
        self.gateways: int | None = None
        self.sent = 0
        self.sent_new = 0
        self.reached = 0
        self.not_run = 0
        self.given: dict[str, float] = {}
        self.received: dict[str, float] = {}
        self._given_at: dict[str, float] = {}
        self._marks: deque[tuple[float, int]] = deque([(began_at, 0)])

    def count_sent(self, *, is_new: bool, now: float) -> None:
        """Count an attempt."""
        self.sent += 1
        self.sent_new += is_new
        if now >= self._marks[-1][0] + MARK_SECONDS:
            self._marks.append((now, self.sent))
            self._forget_marks(now)

    def count_reached(self) -> None:
        """Count an attempt that its endpoint begins to answer."""
        self.reached += 1

    def count_not_run(self, *, is_new: bool, is_sent: bool) -> None:
        """Count an attempt that didn't run, and take back one that wasn't even sent."""
        self.not_run += 1
        if not is_sent:
            self.sent -= 1
            self.sent_new -= is_new

    def note_gateways(self, count: int | None) -> None:
        """Note how many gateways there are."""
        if count is not None:
            self.gateways = max(self.gateways or 0, count)

    def give(self, gifts: dict[str, float], *, now: float) -> None:
        """Give parts of what is left to peers."""
        for name, gift in gifts.items():
            self.given[name] = self.given.get(name, 0.0) + gift
            self._given_at[name] = now

    def list_gifts(self, now: float) -> tuple[Gift, ...]:
        """Return what was given in all to each peer that got something lately."""
        return tuple(
            Gift(name, self.given[name])
            for name, at in self._given_at.items()
            if now < at + GIFT_REPORT_SECONDS
        )

    def receive(self, name: str, gift: float) -> None:
        """Apply all that a peer has given so far."""
        self.received[name] = max(self.received.get(name, 0.0), gift)

    def find_allowance(self, *, share: float, slack: float) -> Allowance:
        """Return what this gateway may send, of what operators allow in all."""
        own = share_slack(slack, gateways=self.gateways)
        gifts = sum(self.received.values()) - sum(self.given.values())
        return Allowance(
            sent=self.reached,
            sent_new=self.sent_new,
            share=share,
            slack=(own if self.has_slack else 0.0) + gifts,
        )

    def find_mean_rate(self, now: float) -> float:
        """Return the requests per second in this process's time."""
        return self.sent / max(now - self.began_at, MEAN_SECONDS)

    def find_latest_rate(self, now: float) -> float:
        """Return the requests per second of the latest time."""
        self._forget_marks(now)
        at, sent = self._marks[0]
        return (self.sent - sent) / max(now - at, RATE_SECONDS)

    def find_rate(self, now: float) -> float:
        """Return the latest requests per second, or the mean if that is more."""
        return max(self.find_latest_rate(now), self.find_mean_rate(now))

    def _forget_marks(self, now: float) -> None:
        """Forget the counts that a later one makes needless."""
        while len(self._marks) > 1 and self._is_enough(self._marks[1], now):
            self._marks.popleft()

    def _is_enough(self, mark: tuple[float, int], now: float) -> bool:
        """Return whether the rate can be measured from a mark on."""
        at, sent = mark
        return at <= now - RATE_SECONDS and self.sent - sent >= RATE_REQUESTS
