"""What a gateway knows of the platform, from the store and from its peers."""

import itertools
import time
from collections.abc import Callable
from typing import Protocol

import logbook

from ..decisions.sources import Source, rank_sources
from ..decisions.watchers import WatchRole, find_watch_role
from ..decisions.watchschedule import find_wait
from .configuration import Configuration, Router
from .endpoints import Endpoint
from .fleet import Fleet
from .follower import Contact, Follower, Store, TakeChanges, TakeList
from .peerupdates import PeerUpdate
from .rollouts import Rollouts
from .settings import GatewaySettings
from .storeviews import KnownRevisions, Need, StoreView

log = logbook.Logger("gateway")

MILLISECONDS = 1000.0


class Kinds(Protocol):
    """The store's names of what is followed."""

    CONFIGURATION: str
    ENDPOINTS: str
    ROLLOUTS: str
    EVACUATIONS: str
    PEERS: str


class StoreSync:
    """Follow the store, or learn from peers what it doesn't tell here."""

    __slots__ = (
        "_adopted",
        "_contact",
        "_fleet",
        "_kinds",
        "_list_peer_updates",
        "_rollouts",
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
        contact: Contact,
        router: Router,
        fleet: Fleet,
        rollouts: Rollouts,
        list_peer_updates: Callable[[], tuple[PeerUpdate, ...]],
    ) -> None:
        self._settings = settings
        self._store = store
        self._kinds = kinds
        self._contact = contact
        self._router = router
        self._fleet = fleet
        self._rollouts = rollouts
        self._list_peer_updates = list_peer_updates
        self._adopted: tuple[int, ...] = (0, 0, 0, 0)
        self.followers = self._make_followers()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Take over changed bounds, from the next watch on."""
        self._settings = settings

    @property
    def is_informed(self) -> bool:
        """Tell whether a configuration and the endpoints are known."""
        return self._router.configuration is not None and self._fleet.is_known

    def describe(self, known: KnownRevisions) -> StoreView:
        """Return what was read and a peer doesn't know yet."""
        revisions = self.revisions
        fresh = {
            follower.kind
            for follower, mine, theirs in itertools.zip_longest(
                self.followers, revisions, known.revisions[: len(revisions)]
            )
            if theirs is None or mine > theirs
        }
        kinds = self._kinds
        is_newer = self._router.version > known.configuration
        return StoreView(
            plan=self._router.configuration if is_newer else None,
            endpoints=self._list_endpoints() if kinds.ENDPOINTS in fresh else None,
            evacuated=(
                tuple(sorted(self._fleet.evacuated))
                if kinds.EVACUATIONS in fresh
                else None
            ),
            orders=self._rollouts.orders if kinds.ROLLOUTS in fresh else None,
            knows_store=self.knows_store,
            revisions=revisions,
        )

    def _list_endpoints(self) -> tuple[Endpoint, ...]:
        flights = (one for one in self._fleet if one.missing_since is None)
        return tuple(flight.endpoint for flight in flights)

    def find_known(self) -> KnownRevisions:
        """Return what was learned from peers, so that only the rest is asked."""
        is_adopted = not self._hears_store and self._fleet.is_known
        return KnownRevisions(
            configuration=self._router.version,
            revisions=self._adopted if is_adopted else (),
        )

    def rank_sources(self) -> list[str]:
        """Return the peers to ask, best first."""
        sources = (
            Source(
                name=news.name,
                is_near=news.domain == self._settings.domain,
                knows_store=news.knows_store,
                configuration=news.configuration,
                revisions=news.revisions[1:],
            )
            for news in self._list_peer_updates()
        )
        return rank_sources(
            sources, revisions=self._adopted[1:], spread=self._settings.name
        )

    def catch_up(self, news: PeerUpdate) -> None:
        """List what a peer has seen newer changes of."""
        for follower, revision in zip(self.followers, news.revisions, strict=False):
            follower.catch_up(revision)

    @property
    def knows_store(self) -> bool:
        """Tell whether what this gateway tells is fresh from the store."""
        has_read = all(one.event_revision for one in self.followers)
        return has_read and self._hears_store

    @property
    def revisions(self) -> tuple[int, ...]:
        """Return the revisions of the last changes, in the order of the kinds."""
        return tuple(one.event_revision for one in self.followers)

    def find_need(self) -> Need:
        """Tell whether peers know what the store doesn't tell here."""
        heard = self._list_peer_updates()
        if not self.is_informed:
            is_known = any(news.configuration for news in heard)
            return Need.URGENT if is_known else Need.NONE
        informed = [news for news in heard if news.knows_store]
        is_newer = any(news.configuration > self._router.version for news in heard)
        if not self.is_watcher():
            is_behind = is_newer or any(
                mine < theirs
                for news in informed
                for mine, theirs in zip(self._adopted, news.revisions, strict=False)
            )
            return Need.URGENT if is_behind else Need.NONE
        if self._contact.lost_at is not None:
            return Need.PATIENT if informed else Need.NONE
        return Need.PATIENT if is_newer else Need.NONE

    def _find_watch(self) -> WatchRole:
        """Return this gateway's place among those that watch the store."""
        heard = self._list_peer_updates()
        return find_watch_role(
            name=self._settings.name,
            others=(news.name for news in heard),
            is_store_reachable=any(news.knows_store for news in heard),
        )

    def is_watcher(self) -> bool:
        """Tell whether this gateway watches the store itself."""
        return self._find_watch().rank is not None

    @property
    def _hears_store(self) -> bool:
        return self.is_watcher() and self._contact.lost_at is None

    def _find_wait(self, bound: float) -> float:
        watch = self._find_watch()
        return find_wait(
            bound=bound,
            entries=watch.watchers,
            rank=watch.rank or 0,
            time_of_day=time.time(),
        )

    def take_beliefs(self, beliefs: StoreView, name: str) -> None:
        """Take over what a peer has read, as far as it is newer."""
        log.info(
            "gateway: beliefs of {}, store {}, revisions {}",
            name,
            "known" if beliefs.knows_store else "lost",
            beliefs.revisions,
        )
        if beliefs.plan is not None:
            self._take_plans({name: beliefs.plan})
        if self._hears_store and self._fleet.is_known:
            return
        if beliefs.knows_store or not self._fleet.is_known:
            newest = map(max, self._adopted, beliefs.revisions)
            self._adopted = tuple(newest) if self._fleet.is_known else beliefs.revisions
            self._adopt(beliefs)

    def _adopt(self, beliefs: StoreView) -> None:
        """Take over what a peer knows of kinds that have changed."""
        if beliefs.endpoints is not None:
            self._fleet.adopt(beliefs.endpoints)
        if beliefs.evacuated is not None:
            self._fleet.take_evacuations(beliefs.evacuated)
        if beliefs.orders is not None:
            orders = {order.service: order for order in beliefs.orders}
            self._rollouts.take_list(orders)

    def _make_followers(self) -> tuple[Follower, ...]:
        kinds = self._kinds
        fleet = self._fleet
        rollouts = self._rollouts
        return (
            self._follow(
                kind=kinds.CONFIGURATION,
                take_list=self._take_plans,
                take_changes=self._take_plans,
                find_bound_ms=lambda: self._settings.configuration_ms,
            ),
            self._follow(
                kind=kinds.ENDPOINTS,
                take_list=fleet.take_list,
                take_changes=fleet.take_changes,
                find_bound_ms=lambda: self._settings.drain_ms,
            ),
            self._follow(
                kind=kinds.ROLLOUTS,
                take_list=rollouts.take_list,
                take_changes=rollouts.take_changes,
                find_bound_ms=lambda: self._settings.rollback_ms,
            ),
            self._follow(
                kind=kinds.EVACUATIONS,
                take_list=fleet.take_evacuations,
                take_changes=fleet.change_evacuations,
                find_bound_ms=lambda: self._settings.evacuation_ms,
            ),
        )

    def _follow(
        self,
        *,
        kind: str,
        take_list: TakeList,
        take_changes: TakeChanges,
        find_bound_ms: Callable[[], float],
    ) -> Follower:
        follower = Follower(
            store=self._store,
            kind=kind,
            contact=self._contact,
            take_list=take_list,
            take_changes=take_changes,
            find_wait=lambda: self._find_wait(find_bound_ms() / MILLISECONDS),
            is_active=self.is_watcher,
            is_standby=lambda: self._find_watch().is_standby,
        )
        follower.on_gap = lambda: self._distrust_others(follower)
        return follower

    def _distrust_others(self, cause: Follower) -> None:
        """Have the others list too, since one has found out that it was deaf."""
        for follower in self.followers:
            if follower is not cause:
                follower.distrust()

    def _take_plans(self, objects: dict[str, object | None]) -> None:
        for plan in objects.values():
            match plan:
                case Configuration() if self._router.update(plan):
                    log.info("gateway: configuration {} in force", plan.version)
                case Configuration() | None:
                    continue
                case _:
                    log.warning("gateway: a configuration can't be read: {}", plan)
