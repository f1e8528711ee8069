"""Which gateways there are, as they write it into the platform's store."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import logbook

from .settings import GatewaySettings
from .storeobjects import ListResult, Peer, StoreUnavailable

log = logbook.Logger("gateway")

# A call to the store beside the watches.
CALL_SECONDS = 1.5

# All instances of a deployment start within a third of a second, and a process
# needs as long to come up.
START_SECONDS = 0.7

# Between looks for peers; each is a stale read, at a tenth of a call's price.
PEERS_SECONDS = 5.0


class PeerStore(Protocol):
    """The calls by which gateways find each other."""

    async def write_peer(self, *, name: str, address: str, timeout: float) -> bool:
        """Write where a gateway takes news; tell whether that is done."""

    async def list(
        self, *, kind: str, timeout: float, allow_stale: bool = False
    ) -> ListResult | StoreUnavailable:
        """Return all objects of a kind."""


class PeerList:
    """Say where this gateway is, and look for others now and then.

    A stale list serves later on: a peer that starts then sends news by
    itself.  Where all start at the same moment a stale one names none of
    them, and each would watch the store as if it were one of a few.
    """

    __slots__ = ("_kind", "_settings", "_store", "_take")

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        store: PeerStore,
        kind: str,
        take: Callable[[dict[str, Peer]], None],
    ) -> None:
        self._settings = settings
        self._store = store
        self._kind = kind
        self._take = take

    async def run(self) -> None:
        """Write and list until cancelled."""
        settings = self._settings
        address = f"{settings.address}:{settings.news_port}"
        is_written = False
        while not is_written:
            is_written = await self._store.write_peer(
                name=settings.name, address=address, timeout=CALL_SECONDS
            )
            await self._list(allow_stale=True)
            await asyncio.sleep(START_SECONDS if is_written else 1.0)
        await self._list(allow_stale=False)
        while True:
            await asyncio.sleep(PEERS_SECONDS)
            await self._list(allow_stale=True)

    async def _list(self, *, allow_stale: bool) -> None:
        listed = await self._store.list(
            kind=self._kind, timeout=CALL_SECONDS, allow_stale=allow_stale
        )
        if not isinstance(listed, ListResult):
            log.debug("gateway: peers couldn't be listed: {}", listed)
            return
        found = listed.objects.items()
        self._take({name: one for name, one in found if isinstance(one, Peer)})
