"""The list of all gateways, which they keep in the platform's store."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import logbook

from ..settings import GatewaySettings
from ..store.storeobjects import ListResult, Peer, StoreUnavailable

log = logbook.Logger("gateway")

# Timeout of a call to the store.
CALL_TIMEOUT_SECONDS = 1.5

# Pause between writing the own address and reading the list.  All instances of a
# deployment start within a third of a second, and a process takes as long to start.
START_SECONDS = 0.7

# Interval between reads of the list.  They allow stale answers, which cost a tenth of
# a call's price.
POLL_SECONDS = 5.0

# With more gateways than this the interval grows with their number, so that the calls
# of all of them don't: each reads the whole list, page by page.
FULL_RATE_GATEWAYS = 32


class PeerStore(Protocol):
    """The calls to the store by which gateways find each other."""

    async def write_peer(self, *, name: str, address: str, timeout: float) -> bool:
        """Write the address for peer updates; return whether that succeeded."""

    async def list(
        self, *, kind: str, timeout: float, allow_stale: bool = False
    ) -> ListResult | StoreUnavailable:
        """Return all objects of a kind."""


class PeerList:
    """Register this gateway in the store, and read the list of the others regularly.

    `add_peers` gets each list, by name.

    If all gateways start together for the first time, a stale list contains none of
    them, and each would watch the store as if there were only a few.  So a list that
    lacks this gateway is read once more, not stale.  One that has it, as after a
    restart, has the others too.  Later a stale list is enough, because a new peer sends
    updates by itself.
    """

    __slots__ = (
        "_add_peers",
        "_count",
        "_is_listed",
        "_kind",
        "_settings",
        "_store",
    )

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        store: PeerStore,
        kind: str,
        add_peers: Callable[[dict[str, Peer]], None],
    ) -> None:
        self._settings = settings
        self._store = store
        self._kind = kind
        self._add_peers = add_peers
        self._count = 0
        self._is_listed = False

    async def run(self) -> None:
        """Register, then read the list regularly until cancelled."""
        settings = self._settings
        address = f"{settings.address}:{settings.news_port}"
        is_written = False
        while not is_written:
            is_written = await self._store.write_peer(
                name=settings.name, address=address, timeout=CALL_TIMEOUT_SECONDS
            )
            await self._list(allow_stale=True)
            await asyncio.sleep(START_SECONDS if is_written else 1.0)
        if not self._is_listed:
            await self._list(allow_stale=False)
        while True:
            await asyncio.sleep(find_interval(self._count))
            await self._list(allow_stale=True)

    async def _list(self, *, allow_stale: bool) -> None:
        listed = await self._store.list(
            kind=self._kind, timeout=CALL_TIMEOUT_SECONDS, allow_stale=allow_stale
        )
        if not isinstance(listed, ListResult):
            log.debug("gateway: peers couldn't be listed: {}", listed)
            return
        found = listed.objects.items()
        peers = {name: peer for name, peer in found if isinstance(peer, Peer)}
        self._count = len(peers)
        self._is_listed = self._settings.name in peers
        self._add_peers(peers)


def find_interval(gateways: int) -> float:
    """Return the seconds between two reads of a list of so many gateways."""
    return POLL_SECONDS * max(1.0, gateways / FULL_RATE_GATEWAYS)
