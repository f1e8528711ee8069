"""Makes room for callers when what all of them hold reaches its bound."""

import asyncio
import collections
import math
import resource
from collections.abc import Callable
from typing import Protocol

import logbook

from ..decisions.callermemory import CallerMemory, Phase, Place, find_caller_bounds

log = logbook.Logger("callers")

# The least time between two log lines on callers that gave way.
LOG_SECONDS = 1.0

# How often the number of descriptors that the process may have is read.
LIMIT_SECONDS = 1.0

# What is read from callers in one turn of the event loop, in bytes at their cost.  What
# gives way is free only in the next one.
BYTES_PER_TURN = 1_048_576


# Two turns of the event loop that are noted further apart show that it was held up, and
# so long after that callers may still be read that have left in the meantime.
HELD_UP_SECONDS = 0.45
BEHIND_SECONDS = 0.25


class Leaver(Protocol):
    """What ends a caller's connection."""

    def leave(self, phase: Phase, *, is_reading: bool) -> None:
        """Tell the caller that its request didn't run, and close the connection.

        With `is_reading` the connection is being read just now.
        """


class CallerRoom:
    """What the callers of all ports hold, and who has to leave.

    `count` is called with a phase for each caller that gives way in it.
    """

    __slots__ = (
        "_count",
        "_behind_until",
        "_gave_way",
        "_leavers",
        "_limited_at",
        "_logged_at",
        "_loop",
        "_read",
        "_turned_at",
        "memory",
    )

    def __init__(
        self, *, memory_mb: float, count: Callable[[str], None] | None = None
    ) -> None:
        self.memory = CallerMemory(bounds=find_caller_bounds(memory_mb=memory_mb))
        self._loop = asyncio.get_running_loop()
        self._count = count
        self._leavers: dict[Place, Leaver] = {}
        self._gave_way: collections.Counter[str] = collections.Counter()
        self._logged_at = -LOG_SECONDS
        self._limited_at = -math.inf
        self._read = 0
        self._turned_at = math.inf
        self._behind_until = -math.inf

    def time(self) -> float:
        """Return the time by which progress is measured, in seconds."""
        return self._loop.time()

    def note_turn(self) -> None:
        """Note that the event loop turns; for a task that calls it regularly."""
        now = self.time()
        if now > self._turned_at + HELD_UP_SECONDS:
            self._behind_until = now + BEHIND_SECONDS
        self._turned_at = now

    @property
    def was_held_up(self) -> bool:
        """Return whether what is read now may have come long ago.

        So it is for a while after the process was frozen, or its loop held up.
        """
        now = self.time()
        return now > self._turned_at + HELD_UP_SECONDS or now < self._behind_until

    def open(self, leaver: Leaver) -> Place:
        """Return the place of a new connection, which `leaver` can end."""
        now = self.time()
        if now >= self._limited_at + LIMIT_SECONDS:
            self._limited_at = now
            self.memory.set_descriptors(_find_descriptors())
        place = self.memory.open(now)
        self._leavers[place] = leaver
        self.make_room(place)
        return place

    def close(self, place: Place) -> None:
        """Forget a connection that is closed."""
        self.memory.close(place)
        self._leavers.pop(place, None)

    @property
    def may_read(self) -> bool:
        """Return whether more may be read in this turn of the event loop."""
        return self._read < BYTES_PER_TURN

    def note_read(self, size: int) -> None:
        """Count what was read from a caller, in bytes at their cost."""
        if not self._read:
            self._loop.call_soon(self._begin_turn)
        self._read += size

    def _begin_turn(self) -> None:
        self._read = 0

    def make_room(self, place: Place) -> bool:
        """Let callers give way if there is no room; return whether this one stays."""
        if not place.is_open:
            return False
        if not self.memory.exceeds(place):
            return True
        for leaving in self.memory.choose_leaving(place, self.time()):
            self._end(leaving, is_asking=leaving is place)
        self._log()
        return place.is_open

    def _end(self, place: Place, *, is_asking: bool) -> None:
        phase = place.phase
        leaver = self._leavers[place]
        self.close(place)
        self._gave_way[phase.value] += 1
        if self._count is not None:
            self._count(phase.value)
        leaver.leave(phase, is_reading=is_asking)

    def _log(self) -> None:
        now = self.time()
        if now < self._logged_at + LOG_SECONDS:
            return
        self._logged_at = now
        log.warning(
            "callers: {gave_way} callers gave way as all hold {held} of {most} bytes "
            "on {connections} connections",
            gave_way=self._gave_way.total(),
            held=self.memory.total,
            most=self.memory.bounds.total,
            connections=len(self.memory),
            phases=dict(self._gave_way),
        )
        self._gave_way.clear()


def _find_descriptors() -> float:
    """Return how many descriptors the process may have."""
    most, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return math.inf if most == resource.RLIM_INFINITY else most
