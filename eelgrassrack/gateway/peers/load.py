"""How this gateway's load compares with that of its peers."""

import asyncio
from collections.abc import Callable

import logbook

from ...decisions.load import RequestRate, compare_load, is_uneven
from ..metrics import GatewayMetrics
from .updatemessages import PeerUpdate

log = logbook.Logger("gateway")


class LoadComparison:
    """Counts requests, and tells how many times the peers' mean they are.

    `list_peer_updates` returns the latest update of each live peer.
    """

    __slots__ = ("_is_uneven", "_list_peer_updates", "_loop", "_metrics", "_rate")

    def __init__(
        self,
        *,
        list_peer_updates: Callable[[], tuple[PeerUpdate, ...]],
        metrics: GatewayMetrics,
    ) -> None:
        self._list_peer_updates = list_peer_updates
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._rate = RequestRate(now=self._loop.time())
        self._is_uneven = False

    def note_request(self) -> None:
        """Count a request that was read."""
        self._rate.note(self._loop.time())

    def report(self) -> float:
        """Return the requests per second that this gateway reads, for peers."""
        return round(self._rate.find(self._loop.time()), 1)

    def list_rooms(self, domain: str) -> tuple[bool, ...]:
        """Return whether each peer of a domain that takes callers has room."""
        return tuple(
            update.has_room
            for update in self._list_peer_updates()
            if update.is_ready and update.domain == domain
        )

    def compare(self) -> None:
        """Log when this gateway begins or ceases to get far more than its part."""
        own = self._rate.find(self._loop.time())
        rates = [update.requests for update in self._list_peer_updates()]
        others = [rate for rate in rates if rate >= 0.0]
        ratio = compare_load(own, others)
        self._metrics.load_ratio.set(ratio)
        uneven = is_uneven(own, others)
        if uneven != self._is_uneven:
            log.info(
                "gateway: {state} far more requests than others: {own} a second",
                state="gets" if uneven else "no longer gets",
                own=round(own, 1),
                ratio=round(ratio, 2),
            )
        self._is_uneven = uneven
