"""Load and health of one lifetime of an endpoint, as this gateway knows them."""

import collections

import xxhash

from ...decisions.backlog import ReadingBacklog, Split
from ...decisions.reportedpace import ReportedPace
from ...decisions.slowness import Timing
from .endpoint import Endpoint

# Weight of one response in the moving average of failures.
FAILURE_WEIGHT = 0.2


class EndpointState:
    """What this gateway knows about one lifetime of an endpoint.

    `key` is a short hash of the lifetime that gateways use in updates to each other.

    `own_running` is the number of this gateway's requests in flight there,
    `peer_running` that of other gateways according to their latest updates;
    `own_backlog` and `peer_backlog` are the reading times of their pending prompts.
    `cached_prefixes` maps prompt prefixes that the endpoint has probably cached to
    the time of their last use.  `failure_rate` is the moving average of failures,
    from 0 to 1.  `cold_sends` holds the times of the last second's requests to a cold
    endpoint, and `cold_share` is their limit, valid until `cold_share_until`.
    `has_reports` says that the peers' reports have been applied to this state.
    `timing` holds the response times that this gateway saw until `timed_at`.
    `pace` is how long work takes there by its own reports, `slowness` the ratio of its
    response times to those of others beyond that, as seen by all gateways.  Times are
    the event loop's.
    """

    __slots__ = (
        "failure_rate",
        "has_reports",
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
        "pace",
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
        self.key = hash_lifetime(endpoint.lifetime)
        self.cold_until = now + endpoint.cold
        self.own_running = 0
        self.own_backlog = ReadingBacklog()
        self.pace = ReportedPace()
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
        self.has_reports = False
        self.timing = Timing()
        self.timed_at = now
        self.peer_timing = Timing()
        self.slowness = 1.0

    @property
    def running(self) -> int:
        """Return the number of requests that all gateways have in flight there."""
        return self.own_running + self.peer_running

    @property
    def backlog(self) -> float:
        """Return the seconds that the endpoint needs to read all pending prompts."""
        return self.own_backlog.whole + self.peer_backlog.whole

    def split_backlog(self, urgency: int) -> Split:
        """Return the backlog ahead of and behind a prompt of the given urgency."""
        own = self.own_backlog.split(urgency)
        peers = self.peer_backlog.split(urgency)
        return Split(own.ahead + peers.ahead, own.behind + peers.behind)

    def note_first_byte(self, *, seen: float, expected: float, now: float) -> None:
        """Record the time to a first byte and the expected time, in seconds."""
        self.timing = self.find_timing(now).note(seen=seen, expected=expected)
        self.timed_at = now

    def find_timing(self, now: float) -> Timing:
        """Return the response times seen here, with older ones decayed."""
        return self.timing.fade(now - self.timed_at)

    def note_end(self, *, failed: bool) -> None:
        """Update the failure rate with the end of one attempt."""
        self.failure_rate += (failed - self.failure_rate) * FAILURE_WEIGHT

    def evict_prefixes(self, *, before: float) -> None:
        """Forget prefixes that were last used before a time."""
        if not self.cached_prefixes:
            return
        self.cached_prefixes = {
            name: at for name, at in self.cached_prefixes.items() if at >= before
        }

    def is_suspected(self, now: float) -> bool:
        """Return whether this gateway or a peer recently lost a response there."""
        return self.is_suspected_by_peers or now < self.suspected_until

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint is in its cold start."""
        return now < self.cold_until


def hash_lifetime(lifetime: tuple[str, int]) -> int:
    """Return the short hash of a lifetime that gateways use in updates."""
    name, born = lifetime
    return xxhash.xxh32_intdigest(f"{name}.{born}".encode())
