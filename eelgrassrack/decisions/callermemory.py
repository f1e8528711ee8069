"""The memory that callers make a process hold, and who gives way when it is full.

Callers that nobody controls may open connections, send most of a request and then stop.
Each one holds little, but thousands of them take all of the memory, and the process is
killed with every request that it serves.  So everything that a caller makes the process
hold counts here, at what it costs rather than at its length, and all of it has one
bound.

Descriptors have a bound as well: a request that is served takes another one.

When a bound is reached, those give way that have held most for longest without
progress.  A request that arrives whole, at once, holds little and for no time: it
displaces callers that have stopped, however many there are.  A request that an endpoint
has begun never gives way.
"""

import enum
import heapq
import math
from collections.abc import Iterable

import msgspec

MEGABYTE = 1_000_000.0

# What a process needs without callers, in bytes.
REST_BYTES = 48_000_000

# Share of the remaining memory that callers may take.  Another part is for answers, and
# the rest for what frees memory late.
CALLERS_SHARE = 0.3

# The same if the memory isn't known, and the least of it, in bytes.
DEFAULT_BYTES = 64_000_000
LEAST_BYTES = 8_000_000

# Share of it that only callers that hold little may take, and how little, in bytes.
RESERVED_SHARE = 0.25
LITTLE_BYTES = 32_768

# What a connection costs, in bytes: its objects, its task and the kernel's part.
CONNECTION_BYTES = 12_000

# What a head costs: its objects, each line's objects, and how many times its text
# stands in memory.
HEAD_BYTES = 4_000
HEAD_LINE_BYTES = 300
HEAD_COPIES = 3

# Buffers that grow keep up to an eighth more than they hold.
BUFFER_FACTOR = 1.125

# Bytes per second that count as full progress.
PROGRESS_RATE = 16_384.0

# How much is freed at once, as a share of the bound: the search for those who give way
# looks at all callers.
FREED_SHARE = 0.05

# Share of the process's descriptors that callers may take.
DESCRIPTORS_SHARE = 0.75


class Phase(enum.Enum):
    """What a caller's connection is used for.

    The values name the ways of making room in logs and metrics.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    WAITING = "waiting"
    REFUSED = "refused"
    SERVED = "served"
    UNREAD = "unread"


class MemoryBounds(msgspec.Struct, kw_only=True, frozen=True):
    """Bytes that all callers may hold, and those of them that hold more than little."""

    total: int
    large: int


def find_caller_bounds(*, memory_mb: float) -> MemoryBounds:
    """Return the bounds of a process with so much memory, 0 if it isn't known."""
    spare = memory_mb * MEGABYTE - REST_BYTES
    total = max(int(spare * CALLERS_SHARE), LEAST_BYTES) if memory_mb else DEFAULT_BYTES
    return MemoryBounds(total=total, large=int(total * (1.0 - RESERVED_SHARE)))


class Place:
    """What one caller's connection holds; times are of one clock, in seconds.

    `cost` is in bytes.  `since` is when it last made full progress.  `is_open` is unset
    once the connection is closed: what is noted afterwards counts nowhere.
    """

    __slots__ = (
        "_body",
        "_buffered",
        "_head",
        "_memory",
        "_taken",
        "_unsent",
        "cost",
        "is_open",
        "phase",
        "since",
    )

    def __init__(self, *, memory: "CallerMemory", now: float) -> None:
        self._memory = memory
        self._buffered = 0
        self._taken = 0
        self._head = 0
        self._body = 0
        self._unsent = 0
        self.cost = 0
        self.is_open = True
        self.phase = Phase.IDLE
        self.since = now
        self._update()

    @property
    def may_give_way(self) -> bool:
        """Return whether the connection may be closed for others.

        A request that an endpoint has begun stays, unless its caller doesn't read the
        answer.
        """
        return self.phase is not Phase.SERVED

    def begin(self, now: float) -> None:
        """Wait for the connection's next request."""
        self.phase = Phase.IDLE
        self.since = now
        self._head = 0
        self._body = 0
        self._update()

    def note_read(self, size: int, *, buffered: int, now: float) -> None:
        """Note that bytes were read, and how many wait in the buffer."""
        if self.phase is Phase.IDLE:
            self.phase = Phase.HEAD
            self.since = now
        self.since = min(self.since + size / PROGRESS_RATE, now)
        self.note_buffered(buffered, taken=self._taken)

    def note_buffered(self, size: int, *, taken: int) -> None:
        """Note how many bytes wait in the buffer, and how many were taken from it.

        Those that were taken count until they are part of a head or a body.
        """
        self._buffered = size
        self._taken = taken
        self._update()

    def note_head(self, size: int, *, lines: int) -> None:
        """Note a whole head."""
        self.phase = Phase.BODY
        self._taken = 0
        self._head = HEAD_BYTES + size * HEAD_COPIES + lines * HEAD_LINE_BYTES
        self._update()

    def hold(self, size: int) -> None:
        """Hold so many more bytes of the body."""
        self._taken = 0
        self._body += size
        self._update()

    def release(self) -> None:
        """Hold nothing of the body any more."""
        self._body = 0
        self._update()

    def note_unsent(self, size: int, *, has_sent: bool, now: float) -> None:
        """Note how many bytes of an answer the caller hasn't read."""
        self._unsent = size
        if has_sent:
            self.since = now
        match self.phase:
            case Phase.SERVED if size:
                self.phase = Phase.UNREAD
                self.since = now
            case Phase.UNREAD if not size:
                self.phase = Phase.SERVED
        self._update()

    def weigh(self, now: float) -> float:
        """Return what was held without progress, in bytes times seconds."""
        return self.cost * (now - self.since)

    def _update(self) -> None:
        buffers = self._buffered + self._taken + self._body + self._unsent
        held = self._head + buffers * BUFFER_FACTOR
        cost = CONNECTION_BYTES + int(held)
        if self.is_open:
            self._memory.total += cost - self.cost
        self.cost = cost


class CallerMemory:
    """The places of all callers; `total` is what they cost together, in bytes.

    `most` is how many connections there may be.
    """

    __slots__ = ("_places", "bounds", "most", "total")

    def __init__(self, *, bounds: MemoryBounds) -> None:
        self.bounds = bounds
        self.total = 0
        self.most = math.inf
        self._places: set[Place] = set()

    def open(self, now: float) -> Place:
        """Return the place of a new connection."""
        place = Place(memory=self, now=now)
        self._places.add(place)
        return place

    def close(self, place: Place) -> None:
        """Forget a connection that is closed."""
        if place.is_open:
            place.is_open = False
            self._places.discard(place)
            self.total -= place.cost

    def __len__(self) -> int:
        return len(self._places)

    def set_descriptors(self, count: float) -> None:
        """Set how many descriptors the process may have."""
        self.most = count * DESCRIPTORS_SHARE

    def exceeds(self, place: Place) -> bool:
        """Return whether there is no room for what a place holds."""
        return self.total > self._find_bound(place) or len(self) > self.most

    def choose_leaving(self, asking: Place, now: float) -> list[Place]:
        """Return who gives way to the one that asks, itself among them if need be.

        They have held most for longest without progress.
        """
        bound = self._find_bound(asking)
        excess = Room(
            size=self.total - bound + int(self.bounds.total * FREED_SHARE),
            count=len(self) - self.most + int(len(self) * FREED_SHARE),
        )
        own = asking.weigh(now)
        weights = (
            (place.weigh(now), place)
            for place in self._places
            if place is not asking and place.may_give_way
        )
        leaving = _take_heaviest((pair for pair in weights if pair[0] > own), excess)
        freed = sum(place.cost for place in leaving)
        is_full = self.total - freed > bound or len(self) - len(leaving) > self.most
        if is_full and asking.may_give_way:
            leaving.append(asking)
        return leaving

    def _find_bound(self, place: Place) -> int:
        is_little = place.cost <= LITTLE_BYTES
        return self.bounds.total if is_little else self.bounds.large


class Room(msgspec.Struct, kw_only=True, frozen=True):
    """Room that is to be made: bytes, or a number of connections."""

    size: int
    count: float


def _take_heaviest(pairs: Iterable[tuple[float, Place]], room: Room) -> list[Place]:
    """Return the heaviest places that make the room together."""
    heap = [(-weight, number, place) for number, (weight, place) in enumerate(pairs)]
    heapq.heapify(heap)
    taken = []
    size = 0
    while heap and (size < room.size or len(taken) < room.count):
        _, _, place = heapq.heappop(heap)
        taken.append(place)
        size += place.cost
    return taken
