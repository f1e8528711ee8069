"""What is under way at one lifetime of an endpoint, and how it does."""

import collections

import xxhash

from ..decisions.backlog import ReadingBacklog, Split
from ..decisions.slowness import Timing
from .endpoints import Endpoint

# The weight of one answer in the share of failures among the last ones.
BADNESS_WEIGHT = 0.2


class EndpointState:
    """What this gateway knows of one lifetime of an endpoint.

    `key` is a short hash of the lifetime, by which gateways speak of it.

    `own_running` counts its requests there, `peer_running` those of other gateways
    by their last news; `own_backlog` and `peer_backlog` are what the endpoint
    still has to read of their prompts.  `cached_prefixes` holds the shared parts
    of prompts that were sent there, with the time of the last use.
    `failure_rate` is the share of failures among the last answers, and
    `cold_sends` holds the times of the last second's sends to a cold endpoint,
    `cold_share` is how many there may be until `cold_share_until`.
    `timing` is how slow its answers were here until `timed_at`, and `slowness`
    how many times as long as others it takes by what all gateways saw.
    """

    __slots__ = (
        "failure_rate",
        "cold_sends",
        "cold_share",
        "cold_share_until",
        "cold_until",
        "suspected_until",
        "endpoint",
        "is_suspected_by_peers",
        "key",
        "missing_since",
        "own_running",
        "own_backlog",
        "cached_prefixes",
        "peer_running",
        "peer_backlog",
        "avoided_until",
        "slowness",
        "timed_at",
        "timing",
        "peer_timing",
    )

    def __init__(self, *, endpoint: Endpoint, now: float) -> None:
        self.endpoint = endpoint
        name, born = endpoint.lifetime
        self.key = xxhash.xxh32_intdigest(f"{name}.{born}".encode())
        self.cold_until = now + endpoint.cold
        self.own_running = 0
        self.own_backlog = ReadingBacklog()
        self.peer_running = 0
        self.peer_backlog = ReadingBacklog()
        self.cached_prefixes: dict[str, float] = {}
        self.failure_rate = 0.0
        self.cold_sends: collections.deque[float] = collections.deque()
        self.cold_share = 0
        self.cold_share_until = float("-inf")
        self.missing_since: float | None = None
        self.avoided_until = float("-inf")
        self.suspected_until = float("-inf")
        self.is_suspected_by_peers = False
        self.timing = Timing()
        self.timed_at = now
        self.peer_timing = Timing()
        self.slowness = 1.0

    @property
    def running(self) -> int:
        """Return how many requests all gateways have there."""
        return self.own_running + self.peer_running

    @property
    def backlog(self) -> float:
        """Return the seconds that it needs to read all prompts."""
        return self.own_backlog.whole + self.peer_backlog.whole

    def split_backlog(self, urgency: int) -> Split:
        """Return what it reads before a prompt of an urgency, and after it."""
        own = self.own_backlog.split(urgency)
        peers = self.peer_backlog.split(urgency)
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
        self.failure_rate += (failed - self.failure_rate) * BADNESS_WEIGHT

    def evict_prefixes(self, *, before: float) -> None:
        """Forget shared parts that were used before a time."""
        self.cached_prefixes = {
            name: at for name, at in self.cached_prefixes.items() if at >= before
        }

    def is_suspected(self, now: float) -> bool:
        """Tell whether an answer was lost there lately, here or at a peer."""
        return self.is_suspected_by_peers or now < self.suspected_until

    def is_cold(self, now: float) -> bool:
        """Tell whether the endpoint bears only a few requests a second."""
        return now < self.cold_until
