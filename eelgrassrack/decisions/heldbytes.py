"""Bounds on the bytes that a process holds of messages that aren't complete yet.

A broken endpoint, or a caller, may send without end.  Without bounds one such message
takes all of the memory, and the process is killed with every request that it serves.
Bounds on each message alone wouldn't do: dozens of them may come at once.

Small messages have as much room again for themselves, so that a few huge ones don't
keep everybody else from being served.
"""

import enum

import msgspec

MEGABYTE = 1_000_000.0

# Share of the process's memory that incomplete messages may hold together.
SHARE_OF_MEMORY = 0.125

# What they may hold together if the memory isn't known, in bytes.
DEFAULT_TOGETHER = 67_108_864

# The largest answer and the largest event of a stream, in bytes.  Requests have a limit
# in the configuration.
MOST_ANSWER = 8_388_608
MOST_EVENT = 1_048_576

# Messages up to this size, in bytes, may grow as long as all of them hold less than
# `ROOM_FOR_SMALL` times the bound on all together.
SMALL = 65_536
ROOM_FOR_SMALL = 2

# Against the bound on one message, a piece of it counts as so many bytes at least: one
# of a single byte takes as long to handle.
LEAST_PIECE = 128


class Excess(enum.Enum):
    """The bound that a message would exceed."""

    ALONE = "the message is too long"
    TOGETHER = "all messages together are too long"


class ByteBounds(msgspec.Struct, kw_only=True, frozen=True):
    """Bounds in bytes: for one answer, for one event, and for all messages together."""

    answer: int = MOST_ANSWER
    event: int = MOST_EVENT
    together: int = DEFAULT_TOGETHER


def find_bounds(*, memory_mb: float) -> ByteBounds:
    """Return the bounds of a process with so much memory, 0 if it isn't known."""
    if not memory_mb:
        return ByteBounds()
    together = int(memory_mb * MEGABYTE * SHARE_OF_MEMORY)
    return ByteBounds(
        answer=min(MOST_ANSWER, together),
        event=min(MOST_EVENT, together),
        together=together,
    )


class HeldBytes:
    """The bytes that incomplete messages hold, `total` of all of them."""

    __slots__ = ("bounds", "total")

    def __init__(self, *, bounds: ByteBounds) -> None:
        self.bounds = bounds
        self.total = 0

    def has_room(self, size: int, *, is_small: bool) -> bool:
        """Return whether a message, which stays small or not, may grow by `size`."""
        factor = ROOM_FOR_SMALL if is_small else 1
        return self.total + size <= self.bounds.together * factor

    def open(self, *, most: int) -> "Holding":
        """Return the holding of a message of at most so many bytes."""
        return Holding(held=self, most=most)


class Holding:
    """The bytes that are held of one message; release it at the message's end.

    `size` is their number.
    """

    __slots__ = ("_counted", "_held", "_most", "size")

    def __init__(self, *, held: HeldBytes, most: int) -> None:
        self._held = held
        self._most = most
        self._counted = 0
        self.size = 0

    def add(self, size: int) -> Excess | None:
        """Hold one more piece, or return which bound forbids it and hold no more."""
        counted = self._counted + max(size, LEAST_PIECE)
        if counted > self._most:
            return Excess.ALONE
        if not self._held.has_room(size, is_small=self.size + size <= SMALL):
            return Excess.TOGETHER
        self._counted = counted
        self._set(self.size + size)
        return None

    def begin(self, size: int) -> None:
        """Hold only the first bytes of the next message any more."""
        self._counted = size
        self._set(size)

    def release(self) -> None:
        """Hold nothing any more."""
        self.begin(0)

    def _set(self, size: int) -> None:
        self._held.total += size - self.size
        self.size = size
