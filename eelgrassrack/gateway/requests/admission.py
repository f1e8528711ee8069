"""Leaves new connections unread for other gateways while the processor can't keep up.

A caller whose connection is closed with its request unread knows that it hasn't run,
and the balancer sends its next try to another gateway.
"""

import asyncio
import math
from collections.abc import Callable, Iterable

import logbook

from ...decisions.acceptrate import AcceptRate, have_room
from ..metrics import GatewayMetrics
from .loopdelay import LoopDelay

log = logbook.Logger("ingress")

# How long a gateway that has just started reads all connections.  They came while it
# was loading.
START_SECONDS = 1.0

# How long it is taken as known whether other gateways have room.
ROOM_SECONDS = 0.1

# The least time between two log lines on connections left unread.
LOG_SECONDS = 1.0


class ConnectionAdmission:
    """Decides whether new connections are read.

    `list_rooms` returns whether each gateway that callers may meet next has room, and
    `is_closing` whether this one is stopping: then it reads all connections.
    """

    __slots__ = (
        "_accept_rate",
        "_has_room_elsewhere",
        "_is_closing",
        "_left",
        "_list_rooms",
        "_logged_at",
        "_loop",
        "_metrics",
        "_room_until",
        "_starts_until",
        "loop_delay",
    )

    def __init__(
        self,
        *,
        list_rooms: Callable[[], Iterable[bool]],
        is_closing: Callable[[], bool],
        metrics: GatewayMetrics,
    ) -> None:
        self._list_rooms = list_rooms
        self._is_closing = is_closing
        self._metrics = metrics
        self._accept_rate = AcceptRate()
        self._loop = asyncio.get_running_loop()
        self._has_room_elsewhere = False
        self._room_until = 0.0
        self._starts_until = math.inf
        self._left = 0
        self._logged_at = 0.0
        self.loop_delay = LoopDelay(note=self._note_turn)

    @property
    def has_room(self) -> bool:
        """Return whether this gateway could take more connections than come."""
        return self._accept_rate.has_room

    @property
    def sends_away(self) -> bool:
        """Return whether callers had better use other gateways."""
        return self._accept_rate.is_limited and self._may_leave()

    def note_late(self, seconds: float) -> None:
        """Note how late regular work ran, in seconds."""
        self._accept_rate.note_late(seconds)

    def begin(self) -> None:
        """Note that the gateway begins to accept connections."""
        self._starts_until = self._loop.time() + START_SECONDS

    def admit(self) -> bool:
        """Return whether a new connection is read."""
        self.loop_delay.measure()
        now = self._loop.time()
        if not self._accept_rate.exceeds(now) or self._is_closing():
            return True
        if now < self._starts_until:
            return True
        if not self._may_leave():
            return True
        self._note_left(now)
        return False

    def _may_leave(self) -> bool:
        """Return whether other gateways have room."""
        now = self._loop.time()
        if now >= self._room_until:
            self._has_room_elsewhere = have_room(self._list_rooms())
            self._room_until = now + ROOM_SECONDS
        return self._has_room_elsewhere

    def _note_turn(self, seconds: float, now: float) -> None:
        self._metrics.loop_delay.set(seconds)
        self._accept_rate.note_turn(seconds, now)

    def _note_left(self, now: float) -> None:
        self._metrics.left_connections.inc()
        self._left += 1
        if now < self._logged_at + LOG_SECONDS:
            return
        log.info(
            "ingress: {left} connections left unread for other gateways: turns of "
            "{loop_delay} s, {rate} taken a second",
            left=self._left,
            loop_delay=round(self.loop_delay.latest, 4),
            rate=round(self._accept_rate.rate, 1),
        )
        self._left = 0
        self._logged_at = now
