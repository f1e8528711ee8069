"""Turns between organisations at a full endpoint or entry, counted in tokens.

Load pattern: one organisation queues hundreds of long reviews, another
sends a few short questions.  Without this module a first-come queue
makes the quiet organisation wait behind the whole backlog, and a turn
per request lets the organisation with the longest jobs take most of the
endpoint.

Between organisations this is self-clocked fair queueing: an organisation's
next request carries a finish tag (its last tag plus tokens by weight) and
the lowest tag goes first, so a short job overtakes a long one, and a job
that waits keeps its tag while all others' tags rise past it.  A newcomer
begins at the tag served last, so idle time earns no credit.

Within an organisation long jobs with time to spare and all other requests
take turns by tokens, so that a short request doesn't wait behind a night's
reviews of its own organisation.  In each of the two a request ranks by its
arrival plus its own expected run time: a longer one yields to shorter ones
only for as long as it would run itself.  Priority brings a request forward
by a bounded amount in both orders, so it never starves the others.

A request that could no longer end by its deadline is given up at once, as
one past it.  Without that an overloaded endpoint starts what is about to be
late, runs it to its deadline and throws it away.  Since nothing starts too
late the oldest may go first under overload too.  Newest first was tried: it
answers some in half a second, but lets one in seven wait out its time for
nothing (docs/LOAD.md).
"""

import heapq
import itertools
import operator
from collections.abc import Callable

from .waiting import LEAST_WEIGHT, QueuedRequest

# One level of priority overtakes 1,000 tokens of another organisation of
# weight 1: about five mean answers (6.5 million tokens a second over 31,000
# requests a second are 210 tokens an answer).
TOKENS_PER_PRIORITY = 1_000.0

# The usual level neither gains nor loses between organisations, so the clock
# that newcomers begin at isn't set back by it.
USUAL_PRIORITY = 1

# How many of an organisation's newest are looked at to find who gives way.
DISPLACED_AMONG = 16

# Heaps hold entries of requests that have left; they are rebuilt once they
# are more than twice as long as what waits, plus this slack.
STALE_SLACK = 32


class Lane:
    """The patient requests of one organisation, or the others, by rank.

    `spent` is the tokens served from it, on a clock that both lanes share.
    """

    __slots__ = ("_heap", "_live", "_numbers", "spent")

    def __init__(self, *, live: dict[str, QueuedRequest]) -> None:
        self.spent = 0.0
        self._live = live
        self._heap: list[tuple[float, int, QueuedRequest]] = []
        self._numbers = itertools.count()

    @property
    def head(self) -> QueuedRequest | None:
        """Return the first, or None."""
        while self._heap and not self._is_live(self._heap[0]):
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def add(self, waiting: QueuedRequest) -> None:
        """Add a request by its rank."""
        heapq.heappush(self._heap, (waiting.rank, next(self._numbers), waiting))

    def prune(self) -> None:
        """Drop entries of requests that left, if they are many."""
        if len(self._heap) > 2 * len(self._live) + STALE_SLACK:
            self._heap = [entry for entry in self._heap if self._is_live(entry)]
            heapq.heapify(self._heap)

    def _is_live(self, entry: tuple[float, int, QueuedRequest]) -> bool:
        return self._live.get(entry[2].key) is entry[2]


class Line:
    """The requests of one organisation, in their order of service."""

    __slots__ = ("_lanes", "head", "items", "start", "tag", "tokens")

    def __init__(self, *, start: float) -> None:
        self.items: dict[str, QueuedRequest] = {}
        self.head: QueuedRequest | None = None
        self.start = start
        self.tag = start
        self.tokens = 0
        self._lanes = {patient: Lane(live=self.items) for patient in (False, True)}

    def add(self, *, waiting: QueuedRequest) -> None:
        """Add a request at the end."""
        self.items[waiting.key] = waiting
        self.tokens += waiting.tokens
        lane = self._lanes[waiting.is_patient]
        other = self._lanes[not waiting.is_patient]
        # A lane that was empty has no claim on the turns it didn't use.
        if lane.head is None:
            lane.spent = max(lane.spent, other.spent)
        lane.add(waiting)
        self.refresh()

    def remove(self, *, waiting: QueuedRequest) -> None:
        """Take a request out."""
        del self.items[waiting.key]
        self.tokens -= waiting.tokens
        for lane in self._lanes.values():
            lane.prune()
        self.refresh()

    def serve(self) -> QueuedRequest:
        """Take the head out and charge the organisation for it."""
        waiting = self.head
        self._lanes[waiting.is_patient].spent += waiting.tokens
        self.start += waiting.cost
        self.remove(waiting=waiting)
        return waiting

    def refresh(self) -> None:
        """Find the head and its tag again."""
        heads = [
            (lane.spent + lane.head.tokens, lane.head)
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
    """Requests that wait for an endpoint, in fair turns by organisation."""

    __slots__ = (
        "_clock",
        "_deadlines",
        "_expired",
        "_idle",
        "_lines",
        "_numbers",
        "_waiting",
        "tokens",
    )

    def __init__(self) -> None:
        self.tokens = 0
        self._waiting: dict[str, QueuedRequest] = {}
        self._lines: dict[str, Line] = {}
        self._idle: dict[str, Line] = {}
        self._expired: dict[str, QueuedRequest] = {}
        self._deadlines: list[tuple[float, int, QueuedRequest]] = []
        self._numbers = itertools.count()
        self._clock = 0.0

    def __len__(self) -> int:
        """Return how many wait, without those that can't end in time."""
        return len(self._waiting)

    def push(self, waiting: QueuedRequest) -> bool:
        """Add a request; return False if its key is already here."""
        if waiting.key in self._waiting or waiting.key in self._expired:
            return False
        self._waiting[waiting.key] = waiting
        self.tokens += waiting.tokens
        entry = (waiting.latest_start, next(self._numbers), waiting)
        heapq.heappush(self._deadlines, entry)
        self._find_line(organisation=waiting.organisation).add(waiting=waiting)
        return True

    def pop(
        self, *, now: float, may_start: Callable[[QueuedRequest], bool] | None = None
    ) -> QueuedRequest | None:
        """Return the request whose turn it is and take it out.

        With `may_start` it is the turn of an organisation whose next request
        may start.  A request that can't end in time is never returned;
        `expire` hands it out.
        """
        self._collect_expired(now=now)
        lines = self._lines.values()
        if may_start is not None:
            lines = [line for line in lines if may_start(line.head)]
        if not lines:
            return None
        line = min(lines, key=operator.attrgetter("tag"))
        self._clock = max(self._clock, line.tag)
        waiting = line.serve()
        self._forget(waiting=waiting)
        return waiting

    def discard(self, *, key: str) -> QueuedRequest | None:
        """Take out a request that its caller gave up."""
        if key in self._expired:
            return self._expired.pop(key)
        waiting = self._waiting.get(key)
        if waiting is not None:
            self._take_out(waiting=waiting)
        return waiting

    def expire(self, *, now: float) -> list[QueuedRequest]:
        """Take out and return the requests that can't end by their deadline."""
        self._collect_expired(now=now)
        expired = list(self._expired.values())
        self._expired.clear()
        return expired

    def find_displaced(self, *, limit: int) -> QueuedRequest | None:
        """Return who gives way if more than `limit` tokens wait, or None.

        It is one of the organisation with the most tokens by weight, so a
        burst pushes out its own.  Among its newest the one of the lowest
        priority goes, then the longest.  It stays until discarded.
        """
        if self.tokens <= limit or not self._lines:
            return None
        line = max(
            self._lines.values(),
            key=lambda line: line.tokens / max(line.head.weight, LEAST_WEIGHT),
        )
        newest = reversed(line.items.values())
        return min(
            itertools.islice(newest, DISPLACED_AMONG),
            key=lambda waiting: (waiting.level, -waiting.tokens),
        )

    def _find_line(self, *, organisation: str) -> Line:
        if organisation in self._lines:
            return self._lines[organisation]
        line = self._idle.pop(organisation, None) or Line(start=self._clock)
        line.start = max(line.start, self._clock)
        self._lines[organisation] = line
        return line

    def _collect_expired(self, *, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            waiting = heapq.heappop(self._deadlines)[2]
            if self._waiting.get(waiting.key) is not waiting:
                continue
            self._take_out(waiting=waiting)
            self._expired[waiting.key] = waiting

    def _take_out(self, *, waiting: QueuedRequest) -> None:
        line = self._lines[waiting.organisation]
        line.remove(waiting=waiting)
        self._forget(waiting=waiting)

    def _forget(self, *, waiting: QueuedRequest) -> None:
        del self._waiting[waiting.key]
        self.tokens -= waiting.tokens
        if not self._lines[waiting.organisation].items:
            line = self._lines.pop(waiting.organisation)
            self._idle[waiting.organisation] = line
        if len(self._deadlines) > 2 * len(self._waiting) + STALE_SLACK:
            self._deadlines = [
                entry
                for entry in self._deadlines
                if self._waiting.get(entry[2].key) is entry[2]
            ]
            heapq.heapify(self._deadlines)
            self._prune_idle()

    def _prune_idle(self) -> None:
        """Drop idle organisations that have nothing left to remember."""
        self._idle = {
            name: line for name, line in self._idle.items() if line.start > self._clock
        }
