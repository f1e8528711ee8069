"""Keeps a gateway's state in sync with the platform's store.

Only a few gateways watch the store.  The others, and those that the store turns
away, fetch changes from peers.
"""

import time
from collections.abc import Callable, Collection
from typing import Protocol

import logbook
import msgspec

from ...decisions.sources import Source, rank_sources
from ...decisions.watchschedule import find_wait
from ..endpoints.endpoint import Endpoint
from ..endpoints.fleet import Fleet
from ..peers.updatemessages import PeerUpdate
from ..settings import GatewaySettings
from ..versions.rollouts import Rollouts
from .changelog import ChangeLog
from .configuration import Configuration, Router
from .follower import ApplyChanges, Follower, ReplaceAll, Store
from .storecontact import StoreContact
from .storeviews import KnownRevisions, PullNeed, StoreView
from .watchroles import WatchRoles

log = logbook.Logger("gateway")

MILLISECONDS = 1000.0


class Kinds(Protocol):
    """The store's names for the kinds of objects that a gateway reads."""

    CONFIGURATION: str
    ENDPOINTS: str
    ROLLOUTS: str
    EVACUATIONS: str
    PEERS: str


class StoreSync:
    """Follow the store, or take over what peers have read from it.

    `followers` follow one kind each; all gateways have them in the same order.
    """

    __slots__ = (
        "_peer_revisions",
        "_contact",
        "_endpoint_changes",
        "_fleet",
        "_kinds",
        "_list_peer_updates",
        "_rollouts",
        "_roles",
        "_router",
        "_settings",
        "_store",
        "followers",
    )

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        store: Store,
        kinds: Kinds,
        contact: StoreContact,
        router: Router,
        fleet: Fleet,
        rollouts: Rollouts,
        list_peer_updates: Callable[[], tuple[PeerUpdate, ...]],
        knows_peers: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._store = store
        self._kinds = kinds
        self._contact = contact
        self._router = router
        self._fleet = fleet
        self._rollouts = rollouts
        self._list_peer_updates = list_peer_updates
        self._roles = WatchRoles(
            settings=settings,
            contact=contact,
            list_peer_updates=list_peer_updates,
            knows_peers=knows_peers,
            has_listed=lambda: self._has_listed,
        )
        self._endpoint_changes = ChangeLog()
        self._peer_revisions: tuple[int, ...] = (0, 0, 0, 0)
        self.followers = self._make_followers()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed time bounds, from the next watch on."""
        self._settings = settings
        self._roles.apply_settings(settings)

    @property
    def is_loaded(self) -> bool:
        """Return whether a configuration and the list of endpoints are known."""
        return self._router.configuration is not None and self._fleet.is_loaded

    def describe(self, known: KnownRevisions) -> StoreView:
        """Return the part of the store view that the asking peer lacks."""
        revisions = self.revisions
        theirs = dict(zip(self._followed, known.revisions, strict=False))
        fresh = {
            kind
            for kind, mine in zip(self._followed, revisions, strict=True)
            if kind not in theirs or mine > theirs[kind]
        }
        kinds = self._kinds
        is_newer = self._router.version > known.configuration
        endpoints, gone = None, None
        if kinds.ENDPOINTS in fresh:
            since = theirs.get(kinds.ENDPOINTS) if known.takes_changes else None
            endpoints, gone = self._list_endpoints_since(since)
        return StoreView(
            plan=self._router.configuration if is_newer else None,
            endpoints=endpoints,
            evacuated=(
                tuple(sorted(self._fleet.evacuated))
                if kinds.EVACUATIONS in fresh
                else None
            ),
            orders=self._rollouts.orders if kinds.ROLLOUTS in fresh else None,
            knows_store=self.knows_store,
            revisions=revisions,
            gone=gone,
        )

    def _list_endpoints_since(
        self, revision: int | None
    ) -> tuple[tuple[Endpoint, ...], tuple[str, ...] | None]:
        """Return the endpoints that changed after a revision, and which are gone.

        If the changes aren't known, return all endpoints and None.
        """
        endpoints = self._list_endpoints()
        if revision is None:
            return endpoints, None
        changed = self._endpoint_changes.list_since(revision)
        if changed is None:
            return endpoints, None
        kept = tuple(one for one in endpoints if one.name in changed)
        return kept, tuple(changed - {one.name for one in endpoints})

    def _list_endpoints(self) -> tuple[Endpoint, ...]:
        present = (state for state in self._fleet if state.missing_since is None)
        return tuple(state.endpoint for state in present)

    def find_revisions(self) -> KnownRevisions:
        """Return the revisions already fetched from peers.

        They are sent with a request, so that the peer answers with newer kinds only.
        """
        is_from_peers = not self._reads_store and self._fleet.is_loaded
        return KnownRevisions(
            configuration=self._router.version,
            revisions=self._peer_revisions if is_from_peers else (),
            takes_changes=is_from_peers,
        )

    def rank_sources(self) -> list[str]:
        """Return the names of the peers to ask, best first."""
        sources = (
            Source(
                name=update.name,
                is_near=update.domain == self._settings.domain,
                knows_store=update.knows_store,
                configuration=update.configuration,
                revisions=update.revisions[1:],
            )
            for update in self._list_peer_updates()
        )
        return rank_sources(
            sources, revisions=self._peer_revisions[1:], spread=self._settings.name
        )

    def drop_missing(self) -> None:
        """Drop endpoints that are still missing after an outage, and let peers know."""
        if self._fleet.sweep():
            self._find_follower(self._kinds.ENDPOINTS).claim_list()

    def list_newer(self, update: PeerUpdate) -> None:
        """List each kind again for which a peer reports a newer change."""
        for follower, revision in zip(self.followers, update.revisions, strict=False):
            follower.list_newer(revision)

    @property
    def knows_store(self) -> bool:
        """Return whether this gateway's view comes directly from the store."""
        return self._has_listed and self._reads_store

    @property
    def _has_listed(self) -> bool:
        """Return whether all kinds were listed since this gateway began to watch."""
        return all(follower.has_listed for follower in self.followers)

    @property
    def _followed(self) -> tuple[str, ...]:
        """Return the followed kinds, in the order of all revisions."""
        return tuple(follower.kind for follower in self.followers)

    @property
    def revisions(self) -> tuple[int, ...]:
        """Return the revision of the last change of each kind, in their order."""
        return tuple(follower.event_revision for follower in self.followers)

    def find_need(self) -> PullNeed:
        """Return whether, and how soon, to fetch the store view from a peer."""
        updates = self._list_peer_updates()
        if not self.is_loaded:
            has_source = any(update.configuration for update in updates)
            return PullNeed.IMMEDIATE if has_source else PullNeed.NONE
        readers = [update for update in updates if update.knows_store]
        is_newer = self.lacks_configuration
        if not self.is_watcher():
            is_behind = is_newer or any(map(self._is_ahead, readers))
            return PullNeed.IMMEDIATE if is_behind else PullNeed.NONE
        if self._needs_only_configuration:
            return PullNeed.IMMEDIATE
        if self._contact.lost_at is not None:
            return PullNeed.DEFERRED if readers else PullNeed.NONE
        return PullNeed.DEFERRED if is_newer else PullNeed.NONE

    def note_role_change(self, update: PeerUpdate) -> None:
        """Find this gateway's role anew if a peer has lost or regained the store."""
        if self._roles.note_update(update):
            for follower in self.followers:
                follower.wake.set()

    @property
    def has_lost_store(self) -> bool:
        """Return whether this gateway has lost the store, perhaps."""
        return self._roles.has_lost_store

    def is_news(self, update: PeerUpdate) -> bool:
        """Return whether a peer's update tells of something to fetch from a peer.

        This looks at no other update, since many arrive each second.
        """
        if update.configuration > self._router.version:
            return True
        return update.knows_store and not self.is_watcher() and self._is_ahead(update)

    def _is_ahead(self, update: PeerUpdate) -> bool:
        """Return whether a peer knows a later change than those fetched from peers."""
        pairs = zip(self._peer_revisions, update.revisions, strict=False)
        return any(mine < theirs for mine, theirs in pairs)

    @property
    def lacks_configuration(self) -> bool:
        """Return whether a peer has a newer configuration."""
        updates = self._list_peer_updates()
        return any(update.configuration > self._router.version for update in updates)

    @property
    def _needs_only_configuration(self) -> bool:
        """Return whether to take nothing but a configuration from a peer.

        No watch of its own brings it to a gateway that has lost the store.  Endpoints
        whose leases lapsed meanwhile are missing at the peer until they have
        registered again, so that their list can wait.
        """
        has_lost_store = self.is_watcher() and self._contact.lost_at is not None
        return has_lost_store and self.lacks_configuration

    def is_watcher(self) -> bool:
        """Return whether this gateway watches the store itself."""
        return self._roles.find().rank is not None

    @property
    def _reads_store(self) -> bool:
        return self.is_watcher() and self._contact.lost_at is None

    def _find_wait(self, bound: float) -> float:
        role = self._roles.find()
        return find_wait(
            bound=bound,
            entries=role.watchers,
            rank=role.rank or 0,
            time_of_day=time.time(),
        )

    def apply_peer_view(self, view: StoreView, name: str) -> None:
        """Apply the newer parts of a view that the peer `name` has sent."""
        log.info(
            "gateway: beliefs of {}, store {}, revisions {}",
            name,
            "known" if view.knows_store else "lost",
            view.revisions,
        )
        needs_only_configuration = self._needs_only_configuration
        if view.plan is not None:
            self._apply_configurations({name: view.plan})
        if needs_only_configuration and self._fleet.is_loaded:
            return
        if self._reads_store and self._fleet.is_loaded:
            return
        if self._fleet.is_loaded and not view.knows_store:
            return
        read = (follower.complete_revision for follower in self.followers)
        known = tuple(map(max, self._peer_revisions, read))
        newest = tuple(map(max, self._peer_revisions, view.revisions))
        self._apply_view(self._drop_older(view, known))
        # Not earlier: what couldn't be applied has to be fetched again.
        self._peer_revisions = newest

    def _drop_older(self, view: StoreView, known: tuple[int, ...]) -> StoreView:
        """Return a view without the kinds of which later changes are known here.

        This gateway may have read them itself, until it lost the store or since it
        started, and its next watch doesn't report them again.
        """
        revisions = zip(self._followed, known, view.revisions, strict=False)
        older = {kind for kind, mine, theirs in revisions if theirs < mine}
        return msgspec.structs.replace(
            view,
            endpoints=None if self._kinds.ENDPOINTS in older else view.endpoints,
            evacuated=None if self._kinds.EVACUATIONS in older else view.evacuated,
            orders=None if self._kinds.ROLLOUTS in older else view.orders,
        )

    def _apply_view(self, view: StoreView) -> None:
        """Apply the kinds that the view contains; the others haven't changed."""
        match view:
            case StoreView(endpoints=None):
                pass
            case StoreView(gone=None):
                self._endpoint_changes.clear()
                self._fleet.replace_from_peer(view.endpoints)
            case _:
                self._endpoint_changes.clear()
                self._fleet.apply_changes_of_peer(view.endpoints, gone=view.gone)
        if view.evacuated is not None:
            self._fleet.replace_evacuations(view.evacuated)
        if view.orders is not None:
            orders = {order.service: order for order in view.orders}
            self._rollouts.replace_all(orders)

    def _make_followers(self) -> tuple[Follower, ...]:
        kinds = self._kinds
        fleet = self._fleet
        return (
            self._follow(
                kind=kinds.CONFIGURATION,
                replace_all=self._apply_configurations,
                apply_changes=self._apply_configurations,
                find_bound_ms=lambda: self._settings.configuration_ms,
            ),
            self._follow(
                kind=kinds.ENDPOINTS,
                replace_all=self._replace_endpoints,
                apply_changes=self._apply_endpoint_changes,
                find_bound_ms=lambda: self._settings.drain_ms,
                list_known=lambda: [state.endpoint.name for state in fleet],
            ),
            self._follow(
                kind=kinds.ROLLOUTS,
                replace_all=self._replace_orders,
                apply_changes=self._apply_order_changes,
                find_bound_ms=lambda: self._settings.rollback_ms,
                list_known=lambda: [order.service for order in self._rollouts.orders],
            ),
            self._follow(
                kind=kinds.EVACUATIONS,
                replace_all=fleet.replace_evacuations,
                apply_changes=fleet.apply_evacuation_changes,
                find_bound_ms=lambda: self._settings.evacuation_ms,
                list_known=lambda: fleet.evacuated,
            ),
        )

    def _follow(
        self,
        *,
        kind: str,
        replace_all: ReplaceAll,
        apply_changes: ApplyChanges,
        find_bound_ms: Callable[[], float],
        list_known: Callable[[], Collection[str]] = tuple,
    ) -> Follower:
        follower = Follower(
            store=self._store,
            kind=kind,
            contact=self._contact,
            replace_all=replace_all,
            apply_changes=apply_changes,
            find_wait=lambda: self._find_wait(find_bound_ms() / MILLISECONDS),
            is_active=self.is_watcher,
            is_standby=lambda: self._roles.find().is_standby,
            # Changes of endpoints are frequent at a start, and urgent.
            may_watch=lambda: kind == self._kinds.ENDPOINTS or self._roles.may_watch(),
            list_known=list_known,
        )
        follower.on_gap = lambda: self._relist_others(follower)
        return follower

    def _relist_others(self, cause: Follower) -> None:
        """Make the other followers list too, since their watches may miss changes."""
        for follower in self.followers:
            if follower is not cause:
                follower.relist()

    def _replace_endpoints(self, objects: dict[str, object]) -> None:
        self._fleet.replace_all(objects)
        follower = self._find_follower(self._kinds.ENDPOINTS)
        revision = max(follower.revision or 0, follower.event_revision)
        self._endpoint_changes.restart(revision)

    def _apply_endpoint_changes(self, objects: dict[str, object | None]) -> None:
        self._fleet.apply_changes(objects)
        self._endpoint_changes.note(
            objects,
            revision=self._find_follower(self._kinds.ENDPOINTS).event_revision,
        )

    def _replace_orders(self, objects: dict[str, object]) -> None:
        follower = self._find_follower(self._kinds.ROLLOUTS)
        self._rollouts.replace_all(objects, made_after=follower.changed_after)

    def _apply_order_changes(self, objects: dict[str, object | None]) -> None:
        follower = self._find_follower(self._kinds.ROLLOUTS)
        self._rollouts.apply_changes(objects, made_after=follower.changed_after)

    def _find_follower(self, kind: str) -> Follower:
        return next(found for found in self.followers if found.kind == kind)

    def _apply_configurations(self, objects: dict[str, object | None]) -> None:
        for found in objects.values():
            if isinstance(found, Configuration) and self._router.update(found):
                log.info("gateway: configuration {} in force", found.version)
