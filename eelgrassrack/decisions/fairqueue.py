"""Weighted fair queueing between organisations at a full endpoint or entry, by tokens.

One organisation queues hundreds of long reviews, another sends a few short questions.
In a first-come queue the quiet organisation would wait behind the whole backlog; round
robin by request would give most of the endpoint to the organisation with the longest
jobs.

Between organisations the queue uses self-clocked fair queueing.  An organisation's next
request has a finish tag, which is its previous tag plus the request's tokens divided by
its weight, and the lowest tag is served first.  A short job thus overtakes a long one,
and a waiting job keeps its tag while the tags of all others rise past it.  A new
organisation begins at the tag served last, so idle time earns no credit.

Within an organisation, long jobs with time to spare (patient requests) and all other
requests alternate by tokens, so that a short request doesn't wait behind a night's
reviews of its own organisation.  Each of the two lanes is ordered by arrival plus
expected run time: a long request yields to shorter ones for at most its own run time.
Priority moves a request forward by a bounded amount in both orders, so it never starves
the others.

A request that can no longer end by its deadline expires at once.  Otherwise an
overloaded endpoint would start requests that are about to be late, run them until their
deadlines and throw the answers away.  Since nothing starts too late, the oldest request
may go first under overload too.  Serving the newest first answers some requests in half
a second, but lets one in seven wait for its whole time in vain (docs/LOAD.md).
"""

import heapq
import itertools
import operator
from collections.abc import Callable

from .waiting import MIN_WEIGHT, QueuedRequest

# One level of priority overtakes 1,000 tokens of another organisation of weight 1:
# about five mean answers (6.5 million tokens per second over 31,000 requests per second
# are 210 tokens per answer).
TOKENS_PER_PRIORITY = 1_000.0

# The priority that doesn't change the order between organisations, so that requests of
# this level don't set back the clock at which new organisations begin.
USUAL_PRIORITY = 1

# Number of an organisation's newest requests among which one is chosen to be dropped.
DISPLACED_AMONG = 16

# Heaps keep entries of requests that have left the queue.  A heap is rebuilt when it is
# longer than twice the number of queued requests plus this slack.
STALE_SLACK = 32


class Lane:
    """The patient requests of one organisation, or all its others, ordered by rank.

    `served` is the tokens served from the lane, on a clock that both lanes share.
    """

    __slots__ = ("_heap", "_numbers", "_queued", "served")

    def __init__(self, *, queued: dict[str, QueuedRequest]) -> None:
        self.served = 0.0
        self._queued = queued
        self._heap: list[tuple[float, int, QueuedRequest]] = []
        self._numbers = itertools.count()

    @property
    def head(self) -> QueuedRequest | None:
        """Return the first request, or None."""
        while self._heap and not self._is_queued(self._heap[0]):
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def add(self, request: QueuedRequest) -> None:
        """Add a request by its rank."""
        heapq.heappush(self._heap, (request.rank, next(self._numbers), request))

    def prune(self) -> None:
        """Rebuild the heap if it holds many entries of requests that have left."""
        if len(self._heap) > 2 * len(self._queued) + STALE_SLACK:
            self._heap = [entry for entry in self._heap if self._is_queued(entry)]
            heapq.heapify(self._heap)

    def _is_queued(self, entry: tuple[float, int, QueuedRequest]) -> bool:
        return self._queued.get(entry[2].key) is entry[2]


class OrganisationQueue:
    """The requests of one organisation, in the order in which they are served.

    `start` is the tag at which its service begins, `tag` the finish tag of its next
    request (`head`), `tokens` the sum of its requests' tokens.
    """

    __slots__ = ("_lanes", "head", "requests", "start", "tag", "tokens")

    def __init__(self, *, start: float) -> None:
        self.requests: dict[str, QueuedRequest] = {}
        self.head: QueuedRequest | None = None
        self.start = start
        self.tag = start
        self.tokens = 0
        self._lanes = {patient: Lane(queued=self.requests) for patient in (False, True)}

    def add(self, *, request: QueuedRequest) -> None:
        """Add a request to its lane."""
        self.requests[request.key] = request
        self.tokens += request.tokens
        lane = self._lanes[request.is_patient]
        other = self._lanes[not request.is_patient]
        # An empty lane earns no credit for the turns that it didn't use.
        if lane.head is None:
            lane.served = max(lane.served, other.served)
        lane.add(request)
        self.refresh()

    def remove(self, *, request: QueuedRequest) -> None:
        """Remove a request."""
        del self.requests[request.key]
        self.tokens -= request.tokens
        for lane in self._lanes.values():
            lane.prune()
        self.refresh()

    def serve(self) -> QueuedRequest:
        """Remove the next request and charge its cost to the organisation."""
        request = self.head
        self._lanes[request.is_patient].served += request.tokens
        self.start += request.cost
        self.remove(request=request)
        return request

    def refresh(self) -> None:
        """Recompute the next request and its finish tag."""
        heads = [
            (lane.served + lane.head.tokens, lane.head)
            for lane in self._lanes.values()
            if lane.head is not None
        ]
        if not heads:
            self.head = None
            return
        self.head = min(heads, key=operator.itemgetter(0))[1]
        forward = (self.head.level - USUAL_PRIORITY) * TOKENS_PER_PRIORITY
        self.tag = self.start + self.head.cost - forward


class FairQueue:
    """The requests that wait for an endpoint, queued fairly by organisation.

    `tokens` is the sum of their tokens.
    """

    __slots__ = (
        "_clock",
        "_deadlines",
        "_expired",
        "_idle",
        "_numbers",
        "_queues",
        "_requests",
        "tokens",
    )

    def __init__(self) -> None:
        self.tokens = 0
        self._requests: dict[str, QueuedRequest] = {}
        self._queues: dict[str, OrganisationQueue] = {}
        self._idle: dict[str, OrganisationQueue] = {}
        self._expired: dict[str, QueuedRequest] = {}
        self._deadlines: list[tuple[float, int, QueuedRequest]] = []
        self._numbers = itertools.count()
        self._clock = 0.0

    def __len__(self) -> int:
        """Return the number of requests, without expired ones."""
        return len(self._requests)

    def push(self, request: QueuedRequest) -> bool:
        """Add a request; return False if its key is already queued."""
        if request.key in self._requests or request.key in self._expired:
            return False
        self._requests[request.key] = request
        self.tokens += request.tokens
        entry = (request.latest_start, next(self._numbers), request)
        heapq.heappush(self._deadlines, entry)
        self._find_queue(organisation=request.organisation).add(request=request)
        return True

    def pop(
        self, *, now: float, may_start: Callable[[QueuedRequest], bool] | None = None
    ) -> QueuedRequest | None:
        """Remove and return the next request, or None if there is none.

        With `may_start`, only organisations whose next request may start are
        considered.  Requests that can't end in time are returned by `expire` only.
        """
        self._collect_expired(now=now)
        queues = self._queues.values()
        if may_start is not None:
            queues = [queue for queue in queues if may_start(queue.head)]
        if not queues:
            return None
        queue = min(queues, key=operator.attrgetter("tag"))
        self._clock = max(self._clock, queue.tag)
        request = queue.serve()
        self._remove_from_index(request=request)
        return request

    def discard(self, *, key: str) -> QueuedRequest | None:
        """Remove and return a request that its caller cancelled, or None."""
        if key in self._expired:
            return self._expired.pop(key)
        request = self._requests.get(key)
        if request is not None:
            self._remove(request=request)
        return request

    def expire(self, *, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that can't end by their deadlines."""
        self._collect_expired(now=now)
        expired = list(self._expired.values())
        self._expired.clear()
        return expired

    def find_displaced(self, *, limit: int) -> QueuedRequest | None:
        """Return the request to drop if more than `limit` tokens wait, or None.

        It belongs to the organisation with the most tokens by weight, so a burst
        displaces its own requests.  Among that organisation's newest requests it is the
        one of the lowest priority, then the longest.  It stays queued until discarded.
        """
        if self.tokens <= limit or not self._queues:
            return None
        queue = max(
            self._queues.values(),
            key=lambda queue: queue.tokens / max(queue.head.weight, MIN_WEIGHT),
        )
        newest = reversed(queue.requests.values())
        return min(
            itertools.islice(newest, DISPLACED_AMONG),
            key=lambda request: (request.level, -request.tokens),
        )

    def _find_queue(self, *, organisation: str) -> OrganisationQueue:
        if organisation in self._queues:
            return self._queues[organisation]
        queue = self._idle.pop(organisation, None) or OrganisationQueue(
            start=self._clock
        )
        queue.start = max(queue.start, self._clock)
        self._queues[organisation] = queue
        return queue

    def _collect_expired(self, *, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            request = heapq.heappop(self._deadlines)[2]
            if self._requests.get(request.key) is not request:
                continue
            self._remove(request=request)
            self._expired[request.key] = request

    def _remove(self, *, request: QueuedRequest) -> None:
        queue = self._queues[request.organisation]
        queue.remove(request=request)
        self._remove_from_index(request=request)

    def _remove_from_index(self, *, request: QueuedRequest) -> None:
        del self._requests[request.key]
        self.tokens -= request.tokens
        if not self._queues[request.organisation].requests:
            queue = self._queues.pop(request.organisation)
            self._idle[request.organisation] = queue
        if len(self._deadlines) > 2 * len(self._requests) + STALE_SLACK:
            self._deadlines = [
                entry
                for entry in self._deadlines
                if self._requests.get(entry[2].key) is entry[2]
            ]
            heapq.heapify(self._deadlines)
            self._prune_idle()

    def _prune_idle(self) -> None:
        """Drop idle organisations whose tag the clock has passed."""
        self._idle = {
            name: queue
            for name, queue in self._idle.items()
            if queue.start > self._clock
        }
