"""Which gateways watch the store, as seen by one of them.

Without a common choice all of them would, and each watch is a call to the store.
"""

import asyncio
from collections.abc import Callable

import logbook

from ...decisions.watchers import WatchRole, find_watch_role
from ..peers.updatemessages import PeerUpdate
from ..settings import GatewaySettings
from .storecontact import StoreContact

log = logbook.Logger("gateway")

# How long a role is kept.  Finding it sorts the names of all gateways, and it is asked
# for with each peer update, a hundred times a second.
ROLE_SECONDS = 0.2

# How long no gateway must have reached the store before all of them watch it.  Those
# that replace watchers need most of this to list everything over a thin link.
UNREACHED_SECONDS = 2.0

# How long a gateway that has just started waits at most to learn whether it is one of
# those that watch, before it begins to watch anything but endpoints.
STARTING_SECONDS = 1.25


class WatchRoles:
    """Find this gateway's role in watching the store from what its peers say.

    `has_listed` returns whether it has read all kinds since it began to watch, and
    `knows_peers` whether most of its peers have been heard.
    """

    __slots__ = (
        "_contact",
        "_has_listed",
        "_is_starting",
        "_knows_peers",
        "_last_reached_at",
        "_list_peer_updates",
        "_lost_peers",
        "_role",
        "_role_until",
        "_settings",
        "_started_at",
    )

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        contact: StoreContact,
        list_peer_updates: Callable[[], tuple[PeerUpdate, ...]],
        knows_peers: Callable[[], bool],
        has_listed: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._contact = contact
        self._list_peer_updates = list_peer_updates
        self._knows_peers = knows_peers
        self._has_listed = has_listed
        self._is_starting = True
        self._started_at = asyncio.get_running_loop().time()
        self._last_reached_at = float("-inf")
        self._lost_peers: set[str] = set()
        self._role = WatchRole(None, 0)
        self._role_until = float("-inf")

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings."""
        self._settings = settings

    @property
    def has_lost_store(self) -> bool:
        """Return whether this gateway has lost the store, perhaps."""
        now = asyncio.get_running_loop().time()
        return self._contact.has_failed(now=now)

    def note_update(self, update: PeerUpdate) -> bool:
        """Note whether a peer reaches the store; return whether that has changed."""
        if update.has_lost_store is (update.name in self._lost_peers):
            return False
        self._lost_peers ^= {update.name}
        log.info(
            "gateway: {} {} the store",
            update.name,
            "has lost" if update.has_lost_store else "reaches",
        )
        self._role_until = float("-inf")
        return True

    def find(self) -> WatchRole:
        """Return this gateway's role, up to a moment old."""
        now = asyncio.get_running_loop().time()
        if now >= self._role_until:
            self._role = self._compute()
            self._role_until = now + ROLE_SECONDS
        return self._role

    def may_watch(self) -> bool:
        """Return whether this gateway knows its role, or has waited long enough.

        Each watch is a call to the store.  When all gateways start together, each of
        them would begin to watch every kind before it has heard of the others.
        """
        if not self._is_starting:
            return True
        now = asyncio.get_running_loop().time()
        if self._knows_peers() or now >= self._started_at + STARTING_SECONDS:
            self._is_starting = False
            self._role_until = now
        return not self._is_starting

    def _compute(self) -> WatchRole:
        updates = self._list_peer_updates()
        now = asyncio.get_running_loop().time()
        reaching = {update.name for update in updates if update.knows_store}
        if reaching:
            self._last_reached_at = now
        if self._has_listed() and self._contact.lost_at is None:
            reaching.add(self._settings.name)
        lost = {update.name for update in updates if update.has_lost_store}
        return find_watch_role(
            name=self._settings.name,
            others=(update.name for update in updates),
            is_store_reachable=now < self._last_reached_at + UNREACHED_SECONDS,
            lost=lost | {self._settings.name} if self.has_lost_store else lost,
            reaching=reaching,
            links={
                self._settings.name: self._settings.link_mbps,
                **{update.name: update.link_mbps for update in updates},
            },
        )
