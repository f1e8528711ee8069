"""What is under way at one lifetime of an endpoint, and how it does."""

import collections

import xxhash

from ..decisions.backlog import ReadingBacklog, Split
from ..decisions.slowness import Timing
from .endpoints import Endpoint

# The weight of one answer in the share of failures among the last ones.
BADNESS_WEIGHT = 0.2


class Flight:
    """What this gateway knows of one lifetime of an endpoint.

    `key` is a short hash of the lifetime, by which gateways speak of it.

    `own` counts its requests under way here, `peers` those of other gateways
    by their last news; `own_backlog` and `peers_backlog` are what the endpoint
    still has to read of their prompts.  `parts` holds the shared parts
    of prompts that were sent there, with the time of the last use.
    `badness` is the share of failures among the last answers, and
    `cold_sends` holds the times of the last second's sends to a cold endpoint,
    `cold_share` is how many there may be until `cold_share_until`.
    `timing` is how slow its answers were here until `timed_at`, and `slowness`
    how many times as long as others it takes by what all gateways saw.
    """

    __slots__ = (
        "badness",
        "cold_sends",
        "cold_share",
        "cold_share_until",
        "cold_until",
        "doubted_until",
        "endpoint",
        "is_doubted_by_peers",
        "key",
        "missing_since",
        "own",
        "own_backlog",
        "parts",
        "peers",
        "peers_backlog",
        "shunned_until",
        "slowness",
        "timed_at",
        "timing",
        "timing_of_peers",
    )

    def __init__(self, *, endpoint: Endpoint, now: float) -> None:
        self.endpoint = endpoint
        name, born = endpoint.lifetime
        self.key = xxhash.xxh32_intdigest(f"{name}.{born}".encode())
        self.cold_until = now + endpoint.cold
        self.own = 0
        self.own_backlog = ReadingBacklog()
        self.peers = 0
        self.peers_backlog = ReadingBacklog()
        self.parts: dict[str, float] = {}
        self.badness = 0.0
        self.cold_sends: collections.deque[float] = collections.deque()
        self.cold_share = 0
        self.cold_share_until = float("-inf")
        self.missing_since: float | None = None
        self.shunned_until = float("-inf")
        self.doubted_until = float("-inf")
        self.is_doubted_by_peers = False
        self.timing = Timing()
        self.timed_at = now
        self.timing_of_peers = Timing()
        self.slowness = 1.0

    @property
    def running(self) -> int:
        """Return how many requests all gateways have there."""
        return self.own + self.peers

    @property
    def backlog(self) -> float:
        """Return the seconds that it needs to read all prompts."""
        return self.own_backlog.whole + self.peers_backlog.whole

    def split_backlog(self, urgency: int) -> Split:
        """Return what it reads before a prompt of an urgency, and after it."""
        own = self.own_backlog.split(urgency)
        peers = self.peers_backlog.split(urgency)
        return Split(own.ahead + peers.ahead, own.behind + peers.behind)

    def note_first(self, *, seen: float, expected: float, now: float) -> None:
        """Learn how long a first piece took against what was expected."""
        self.timing = self.find_timing(now).note(seen=seen, expected=expected)
        self.timed_at = now

    def find_timing(self, now: float) -> Timing:
        """Return how slow its answers were here, as far as that still counts."""
        return self.timing.fade(now - self.timed_at)

    def note_end(self, *, failed: bool) -> None:
        """Learn from one end of an attempt how often the endpoint fails."""
        self.badness += (failed - self.badness) * BADNESS_WEIGHT

    def forget_parts(self, *, before: float) -> None:
        """Forget shared parts that were used before a time."""
        self.parts = {name: at for name, at in self.parts.items() if at >= before}

    def is_doubted(self, now: float) -> bool:
        """Tell whether an answer was lost there lately, here or at a peer."""
        return self.is_doubted_by_peers or now < self.doubted_until

    def is_cold(self, now: float) -> bool:
        """Tell whether the endpoint bears only a few requests a second."""
        return now < self.cold_until
