"""One gateway as a process: its parts, its start and its graceful stop."""

import asyncio
import signal
import socket
from collections.abc import Callable

import logbook
from tornado.httpserver import HTTPServer

from ..errors import UserError
from ..listening import stop_listening
from ..supervisor import Supervisor
from .adminserver import AdminServer
from .configuration import Router
from .earlystop import STOP_SIGNALS, EarlyStop
from .fleet import Fleet
from .follower import Contact, Store
from .ingress import Ingress
from .listener import open_listener
from .metrics import GatewayMetrics
from .peerlist import PeerList
from .peerupdates import Audience, PeerUpdate, UpdateExchange
from .placing import Placer
from .pool import ConnectionPool
from .rollouts import Rollouts
from .serving import RequestHandler
from .settings import GatewaySettings
from .storesync import Kinds, StoreSync
from .storeviews import Need, StoreViewFetcher, encode_beliefs, read_path
from .translation import Translation

log = logbook.Logger("gateway")

# Chores such as closing idle connections.
CHORE_SECONDS = 0.2

# A loop that goes on so much later than it was to has been held up: its instance
# was paused, or had no processor for it.
HELD_UP_SECONDS = 0.25

# The balancer takes an instance out after two misses a second apart; new
# connections come until then, and a little later over its own links.
ROTATION_SECONDS = 2.6

# What is left of the grace once everything has its answer, once callers can't
# connect any more, once no request is waited for, and once connections are closed:
# a slow instance needs some of it for the last bytes to leave, and some to end.
ANSWER_MARGIN_SECONDS = 0.7
LISTEN_MARGIN_SECONDS = 0.5
REQUEST_MARGIN_SECONDS = 0.3
CLOSE_MARGIN_SECONDS = 0.1

# A body that takes longer comes from a caller that has long given up: no
# route's time limit is near this.
BODY_SECONDS = 60.0

# Between looks at the settings file.
SETTINGS_SECONDS = 3.0


class Gateway:
    """All parts of one gateway."""

    __slots__ = (
        "_contact",
        "_count_dropped",
        "_admin_servers",
        "fleet",
        "_store_sync",
        "ingress",
        "_is_closing",
        "_kinds",
        "_listener",
        "_metrics",
        "_news",
        "_peers",
        "_placer",
        "_pool",
        "rollouts",
        "router",
        "_read_settings",
        "_server",
        "_handler",
        "_settings",
        "_view_fetcher",
        "_store",
        "_supervisor",
    )

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        store: Store,
        kinds: Kinds,
        translation: Translation,
        count_dropped: Callable[[], int],
        read_settings: Callable[[], GatewaySettings] | None = None,
        listener: socket.socket | None = None,
    ) -> None:
        self._settings = settings
        self._listener = listener
        self._read_settings = read_settings
        self._count_dropped = count_dropped
        self._store = store
        self._kinds = kinds
        self._is_closing = False
        self._metrics = GatewayMetrics()
        self._contact = Contact()
        self._supervisor = Supervisor(name="gateway")
        self.router = Router()
        self._pool = ConnectionPool()
        self._make_fleet()
        self._make_knowledge()
        self._make_servers(translation)

    def _make_fleet(self) -> None:
        """Make what knows the endpoints and places requests on them."""
        settings = self._settings
        self.fleet = Fleet(
            contact=self._contact,
            clock=asyncio.get_running_loop().time,
            forget=self._forget,
        )
        self._news = UpdateExchange(
            name=settings.name,
            domain=settings.domain,
            address=(settings.address, settings.news_port),
            seeds=find_seeds(settings),
            make_update=self._make_update,
            receive_update=self._receive_update,
            count_crossed=lambda size: self._metrics.count_crossed(size, "news"),
        )
        self._peers = PeerList(
            settings=settings,
            store=self._store,
            kind=self._kinds.PEERS,
            take=self._news.take_peers,
        )
        self.rollouts = Rollouts(
            fleet=self.fleet,
            store=self._store,
            settings=settings,
            rank=self._find_rank,
            contact=self._contact,
        )
        self._placer = Placer(
            fleet=self.fleet,
            rollouts=self.rollouts,
            settings=settings,
            list_sharers=lambda: self._news.sharers if self._news.is_listed else None,
            list_peer_updates=lambda: self._news.heard,
        )

    def _make_knowledge(self) -> None:
        """Make what follows the store, or learns from peers."""
        self._store_sync = StoreSync(
            settings=self._settings,
            store=self._store,
            kinds=self._kinds,
            contact=self._contact,
            router=self.router,
            fleet=self.fleet,
            rollouts=self.rollouts,
            list_peer_updates=lambda: self._news.heard,
        )
        self._view_fetcher = StoreViewFetcher(
            find_url=self._find_url,
            find_need=self._store_sync.find_need,
            find_known=self._store_sync.find_known,
            rank=self._store_sync.rank_sources,
            take=self._store_sync.take_beliefs,
            count_bytes=self._count_beliefs,
        )

    def _make_servers(self, translation: Translation) -> None:
        """Make what callers, the balancer, peers and operators reach."""
        settings = self._settings
        self._handler = RequestHandler(
            router=self.router,
            placer=self._placer,
            pool=self._pool,
            translation=translation,
            metrics=self._metrics,
            settings=settings,
            is_loading=lambda: self.has_store and not self._store_sync.is_informed,
            get_readiness=lambda: self._news.readiness,
        )
        self.ingress = Ingress(
            handler=self._handler,
            decode=translation.decode_arrival,
            is_closing=lambda: self._is_closing,
            find_limits=self.router.find_limits,
        )
        self._server = HTTPServer(self.ingress, body_timeout=BODY_SECONDS)
        self._admin_servers = (
            AdminServer(address=settings.readiness, answer=self._answer_readiness),
            AdminServer(
                address=f"{settings.address}:{settings.metrics_port}",
                answer=self._answer_inside,
            ),
        )

    async def run(self, early: EarlyStop) -> None:
        """Serve until told to stop, perhaps before now, then stop gracefully."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        if early.requested_at is None:
            await stopping.wait()
        await self.stop(told_at=early.requested_at)

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer may send callers here."""
        return self._store_sync.is_informed and not self._is_closing

    @property
    def has_store(self) -> bool:
        """Tell whether the store answered the last call to it."""
        return self._contact.lost_at is None

    @property
    def entries(self) -> int:
        """Return how many gateways share the common limits, this one among them."""
        return self._news.entries

    async def start(self) -> None:
        """Open all doors and begin to follow the store."""
        for follower in self._store_sync.followers:
            self._supervisor.start(name=follower.kind, job=follower.run)
        await self._news.open()
        self._supervisor.start(name="chores", job=self._do_chores)
        self._supervisor.start(name="news", job=self._news.run)
        self._supervisor.start(name="rollouts", job=self.rollouts.run)
        self._supervisor.start(name="peers", job=self._peers.run)
        self._supervisor.start(name="sharing", job=self._view_fetcher.run)
        self._listener = self._listener or open_listener(self._settings.listen)
        self._server.add_socket(self._listener)
        for server in self._admin_servers:
            server.open()
        log.notice(
            "gateway: {} started in {}", self._settings.name, self._settings.domain
        )

    async def stop(self, *, told_at: float | None = None) -> None:
        """Leave the rotation, end what is under way, and close.

        The grace counts from when the process was told, now if nothing else is
        known.
        """
        log.notice("gateway: stopping, {} open", self.ingress.open_requests)
        loop = asyncio.get_running_loop()
        began = loop.time() if told_at is None else told_at
        self._is_closing = True
        ends_at = began + self._settings.grace_seconds
        self._handler.set_end(ends_at - ANSWER_MARGIN_SECONDS)
        await asyncio.sleep(began + ROTATION_SECONDS - loop.time())
        # The balancer still sends callers here if too few others are ready.
        # They are served if that surely fits: a closed port would cost them
        # their try.
        self._handler.refuse_unfinishable()
        await self.ingress.wait_answered(ends_at - LISTEN_MARGIN_SECONDS)
        await stop_listening(self._server, [self._listener])
        await self.ingress.wait_answered(ends_at - REQUEST_MARGIN_SECONDS)
        await self.ingress.end(ends_at - CLOSE_MARGIN_SECONDS)
        log.notice("gateway: stopped, {} cut", self.ingress.open_requests)
        await self.close()

    async def close(self) -> None:
        """End all parts at once."""
        self._server.stop()
        await self._server.close_all_connections()
        for server in self._admin_servers:
            server.close()
        await self._supervisor.stop()
        self._news.close()
        self._view_fetcher.close()
        self._pool.close()
        self._store.close()

    def reload(self) -> None:
        """Take over changed settings, but for addresses, which need a restart."""
        if self._read_settings is None:
            return
        try:
            settings = self._read_settings()
        except UserError as error:
            log.error("gateway: new settings left out: {}", error)
            return
        if settings == self._settings:
            return
        log.notice("gateway: settings changed")
        self._settings = settings
        self._store_sync.apply_settings(settings)
        self._placer.apply_settings(settings)
        self._handler.apply_settings(settings)
        self.rollouts.apply_settings(settings)
        self._news.take_seeds(find_seeds(settings))

    def _answer_readiness(self, _: str) -> tuple[int, bytes]:
        return (200, b"ready\n") if self.is_ready else (503, b"not ready\n")

    async def _do_chores(self) -> None:
        next_look = 0.0
        now = asyncio.get_running_loop().time()
        while True:
            due = now + CHORE_SECONDS
            await asyncio.sleep(CHORE_SECONDS)
            now = asyncio.get_running_loop().time()
            self._note_held_up(now - due)
            self._pool.prune(now=now)
            self._pool.probe_silent(
                now=now, note_unreachable=self._placer.health.note_unreachable
            )
            self.fleet.sweep()
            self.ingress.close_overdue()
            self._placer.evict_prefixes()
            self._placer.detect_outliers()
            if now >= next_look:
                # The file may change without any signal.
                self.reload()
                next_look = now + SETTINGS_SECONDS
            self._placer.note_peer_updates()

    def _note_held_up(self, seconds: float) -> None:
        if seconds < HELD_UP_SECONDS:
            return
        self._metrics.held_up.inc(seconds)
        log.warning("gateway: held up for {seconds} s", seconds=round(seconds, 2))

    def _make_update(
        self, *, name: str, lifetime: str, port: int, number: int, audience: Audience
    ) -> PeerUpdate:
        trials, pins = self.rollouts.tell(audience)
        return PeerUpdate(
            name=name,
            lifetime=lifetime,
            port=port,
            number=number,
            configuration=self.router.version,
            knows_store=self._store_sync.knows_store,
            revisions=self._store_sync.revisions,
            endpoints=self._placer.report_endpoints(),
            trials=trials,
            pins=pins,
            crashes=self._placer.health.tell_crashes(),
            suspected=self._placer.health.tell_doubted(),
            usage=self._placer.report_usage(),
            domain=self._settings.domain,
            is_ready=self.is_ready,
        )

    def _answer_inside(self, path: str) -> tuple[int, bytes]:
        """Answer a peer, or an operator who reads metrics."""
        known = read_path(path)
        if known is None:
            self._metrics.version.set(self.router.version)
            self._metrics.store.set(self.has_store)
            self._metrics.entries.set(self.entries)
            self._metrics.slow.set(self._placer.count_slow())
            self._metrics.heavy.set(len(self._placer.heavy))
            self._metrics.dropped_lines.set(self._count_dropped())
            return (200, self._metrics.render())
        return (200, encode_beliefs(self._store_sync.describe(known)))

    def _find_url(self, name: str) -> str | None:
        address = self._news.find_address(name)
        return f"http://{address}:{self._settings.metrics_port}" if address else None

    def _count_beliefs(self, name: str, size: int) -> None:
        if self._news.is_far(name):
            self._metrics.count_crossed(size, "beliefs")

    def _receive_update(self, news: PeerUpdate) -> None:
        if self._store_sync.is_watcher():
            self._store_sync.catch_up(news)
        elif self._store_sync.find_need() is not Need.NONE:
            self._view_fetcher.wake.set()
        self.rollouts.receive_update(news)
        self._placer.note_peer_updates()

    def _find_rank(self) -> int:
        """Return this gateway's place among the live ones, by name."""
        names = sorted([self._settings.name, *(one.name for one in self._news.heard)])
        return names.index(self._settings.name)

    def _forget(self, lifetime: tuple[str, int]) -> None:
        self._pool.forget(lifetime=lifetime)
        self._placer.health.note_gone(lifetime)


def find_seeds(settings: GatewaySettings) -> tuple[str, ...]:
    """Return the IP numbers of the gateways to begin with."""
    return tuple(seed.rsplit(":", 1)[0] for seed in settings.seeds)
