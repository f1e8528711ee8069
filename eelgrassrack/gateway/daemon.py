"""The gateway daemon: wires its parts together, starts and gracefully stops them."""

import asyncio
import contextlib
import functools
import signal
import socket
import time
from collections.abc import Callable, Iterator

import logbook

from ..callers.room import CallerRoom
from ..callers.server import CallerServer
from ..callers.turns import ReadTurns
from ..decisions.heldbytes import HeldBytes, find_bounds
from ..decisions.witnesses import Candidate, choose_witnesses
from ..errors import UserError
from ..lingering import LingeringConnections
from ..stoptime import StopTime
from ..supervisor import Supervisor
from .adminserver import AdminServer
from .endpoints.endpoint import Endpoint
from .endpoints.fleet import Fleet
from .endpoints.placing import Placer
from .endpoints.pool import ConnectionPool
from .errors import StartError
from .gracefulstop import stop_gracefully
from .listener import open_listener
from .metrics import GatewayMetrics
from .peers.load import LoadComparison
from .peers.peerlist import PeerList
from .peers.peerupdates import UpdateExchange
from .peers.roommessages import RoomMessage
from .peers.updatemaker import UpdateMaker
from .peers.updatemessages import PeerUpdate
from .requests.admission import ConnectionAdmission
from .requests.ingress import Ingress
from .requests.serving import RequestHandler
from .requests.translation import Translation
from .settings import GatewaySettings
from .stopsignals import StopSignals
from .store.configuration import Router
from .store.follower import Store
from .store.storecontact import StoreContact
from .store.storesync import Kinds, StoreSync
from .store.storeviews import StoreViewFetcher, encode_view, parse_path
from .versions.rollouts import Rollouts

log = logbook.Logger("gateway")

# Interval of periodic work such as closing idle connections.
CHORE_SECONDS = 0.2

# A wake-up that is this late counts as a stall: the instance was paused or its
# processor was busy.
STALL_SECONDS = 0.25

# Interval between checks of the settings file.
SETTINGS_POLL_SECONDS = 3.0


@contextlib.contextmanager
def _explain(setting: str, address: str) -> Iterator[None]:
    """Raise `StartError` that names the setting of an address that can't be used."""
    try:
        yield
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or error
        text = f"can't listen on {address} (setting {setting}): {reason}"
        raise StartError(text) from error


class Gateway:
    """One gateway with all its parts.

    Create it within a running event loop.
    """

    __slots__ = (
        "_contact",
        "_admission",
        "_count_dropped",
        "_admin_servers",
        "fleet",
        "_held",
        "_store_sync",
        "ingress",
        "_is_closing",
        "_kinds",
        "_listener",
        "_load",
        "_metrics",
        "_update_exchange",
        "_update_maker",
        "_peers",
        "_placer",
        "_pool",
        "_room",
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
        self._held = HeldBytes(bounds=find_bounds(memory_mb=settings.memory_mb))
        self._contact = StoreContact()
        # What one task can't do must not end what the others do for callers.
        self._supervisor = Supervisor(name="gateway", gives_up=False)
        self.router = Router()
        self._make_placer()
        self._pool = ConnectionPool(
            find_witnesses=self._find_witnesses,
            note_broken=self._placer.guard.note_broken,
            note_down=self._placer.note_down,
        )
        self._make_store_sync()
        self._make_servers(translation)
        self._update_maker = UpdateMaker(
            admission=self._admission,
            load=self._load,
            placer=self._placer,
            rollouts=self.rollouts,
            router=self.router,
            store_sync=self._store_sync,
        )

    def _make_placer(self) -> None:
        """Create the parts that know the endpoints and choose one for a request."""
        settings = self._settings
        self.fleet = Fleet(
            contact=self._contact,
            clock=asyncio.get_running_loop().time,
            forget=self._forget,
        )
        self._update_exchange = UpdateExchange(
            name=settings.name,
            domain=settings.domain,
            address=(settings.address, settings.news_port),
            seeds=find_seeds(settings),
            make_update=self._make_update,
            receive_update=self._receive_update,
            receive_message=self._receive_message,
            count_crossed=lambda size: self._metrics.count_crossed(size, "news"),
        )
        self._peers = PeerList(
            settings=settings,
            store=self._store,
            kind=self._kinds.PEERS,
            add_peers=self._update_exchange.add_peers,
        )
        self.rollouts = Rollouts(
            fleet=self.fleet,
            store=self._store,
            settings=settings,
            find_write_rank=self._find_write_rank,
            count_gateways=lambda: self._placer.gateway_count,
            contact=self._contact,
            lifetime=self._update_exchange.lifetime,
            is_stopping=lambda: self._is_closing,
            tell_peers=self._update_exchange.hurry,
        )
        self._placer = Placer(
            fleet=self.fleet,
            rollouts=self.rollouts,
            settings=settings,
            list_sharers=lambda: (
                self._update_exchange.sharers
                if self._update_exchange.is_listed
                else None
            ),
            list_peer_updates=lambda: self._update_exchange.latest,
            tell_peers=self._update_exchange.hurry,
            tell_peer=self._update_exchange.tell,
        )

    def _make_store_sync(self) -> None:
        """Create the parts that follow the store, directly or through peers."""
        self._store_sync = StoreSync(
            settings=self._settings,
            store=self._store,
            kinds=self._kinds,
            contact=self._contact,
            router=self.router,
            fleet=self.fleet,
            rollouts=self.rollouts,
            list_peer_updates=lambda: self._update_exchange.latest,
            knows_peers=lambda: self._update_exchange.knows_peers,
        )
        self._view_fetcher = StoreViewFetcher(
            find_url=self._find_url,
            find_need=self._store_sync.find_need,
            find_revisions=self._store_sync.find_revisions,
            rank_sources=self._store_sync.rank_sources,
            apply_view=self._store_sync.apply_peer_view,
            count_bytes=self._count_view_bytes,
        )

    def _make_servers(self, translation: Translation) -> None:
        """Create the servers for callers, the balancer, peers and operators."""
        settings = self._settings
        lingering = LingeringConnections()
        self._room = CallerRoom(
            memory_mb=settings.memory_mb, count=self._metrics.count_gave_way
        )
        self._load = LoadComparison(
            list_peer_updates=lambda: self._update_exchange.latest,
            metrics=self._metrics,
        )
        self._admission = ConnectionAdmission(
            list_rooms=lambda: self._load.list_rooms(self._settings.domain),
            is_closing=lambda: self._is_closing,
            metrics=self._metrics,
        )
        self._handler = RequestHandler(
            router=self.router,
            placer=self._placer,
            pool=self._pool,
            translation=translation,
            metrics=self._metrics,
            settings=settings,
            is_loading=lambda: self.has_store and not self._store_sync.is_loaded,
            knows_store=lambda: self.has_store and self._store_sync.is_loaded,
            awaits_peers=lambda: self._update_exchange.awaits_peers,
            get_readiness=lambda: self._update_exchange.readiness,
            loop_delay=self._admission.loop_delay,
            note_request=self._load.note_request,
            held=self._held,
        )
        self.ingress = Ingress(
            handler=self._handler,
            decode=translation.decode_arrival,
            is_closing=lambda: self._is_closing or self._admission.sends_away,
            find_limits=self.router.find_limits,
            lingering=lingering,
        )
        make_server = functools.partial(
            CallerServer, room=self._room, turns=ReadTurns(), lingering=lingering
        )
        self._server = make_server(self.ingress)
        self._admin_servers = (
            AdminServer(
                setting="readiness",
                address=settings.readiness,
                make_server=make_server,
                answer=self._answer_readiness,
            ),
            AdminServer(
                setting="metrics_port",
                address=f"{settings.address}:{settings.metrics_port}",
                make_server=make_server,
                answer=self._answer_internal,
            ),
        )

    async def run(self, signals: StopSignals) -> None:
        """Serve until a stop signal, then stop gracefully.

        Raises `UserError` if the start fails; no caller has been accepted then.
        """
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        stop_time = StopTime()

        def note_signal() -> None:
            stop_time.note_signal()
            loop.call_soon_threadsafe(stopping.set)

        signals.forward(note_signal)
        self._supervisor.start(name="stop time", job=stop_time.watch)
        # With asyncio's handler, closing the loop would restore the default action.
        signal.signal(signal.SIGHUP, lambda *_: loop.call_soon_threadsafe(self.reload))
        try:
            await self.start()
            await stopping.wait()
            await self.stop(signalled_at=stop_time.signalled_at)
        finally:
            # The loop is about to close and can't be woken any more.
            signals.forward(lambda: None)
            signal.signal(signal.SIGHUP, signal.SIG_IGN)

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        return self._store_sync.is_loaded and not self._is_closing

    @property
    def held_bytes(self) -> int:
        """Return the bytes held of requests and answers that aren't complete."""
        return self._held.total

    @property
    def has_store(self) -> bool:
        """Return whether the store answered the last call to it."""
        return self._contact.lost_at is None

    @property
    def gateway_count(self) -> int:
        """Return how many gateways share the common limits, including this one."""
        return self._update_exchange.gateway_count

    async def start(self) -> None:
        """Open all sockets and begin to follow the store.

        Raises `StartError` if an address can't be used.  The socket for callers comes
        last: until then all of them wait in its queue.
        """
        settings = self._settings
        with _explain("news_port", f"{settings.address}:{settings.news_port}"):
            await self._update_exchange.open()
        for server in self._admin_servers:
            with _explain(server.setting, server.address):
                server.open()
        with _explain("listen", settings.listen):
            self._listener = self._listener or open_listener(settings.listen)
        self._listener.admit = self._admission.admit
        self._admission.begin()
        self._start_tasks()
        self._server.add_socket(self._listener)
        log.notice(
            "gateway: {} started in {}",
            settings.name,
            settings.domain,
            processor_seconds=round(time.process_time(), 3),
        )

    def _start_tasks(self) -> None:
        for follower in self._store_sync.followers:
            self._supervisor.start(name=follower.kind, job=follower.run)
        self._supervisor.start(name="chores", job=self._do_chores)
        self._supervisor.start(name="news", job=self._update_exchange.run)
        self._supervisor.start(name="rollouts", job=self.rollouts.run)
        self._supervisor.start(name="peers", job=self._peers.run)
        self._supervisor.start(name="sharing", job=self._view_fetcher.run)

    async def stop(self, *, signalled_at: float | None = None) -> None:
        """Leave the balancer's rotation, finish open requests, then close.

        `signalled_at` is the loop time of the stop signal, from which the grace
        period counts; None means now.
        """
        self._is_closing = True
        self.rollouts.stop()
        await stop_gracefully(
            handler=self._handler,
            ingress=self.ingress,
            server=self._server,
            listener=self._listener,
            grace_seconds=self._settings.grace_seconds,
            signalled_at=signalled_at,
        )
        await self.close()

    async def close(self) -> None:
        """Close all parts immediately, without waiting for open requests."""
        self._server.stop()
        await self._server.close_all_connections()
        for server in self._admin_servers:
            server.close()
        await self._supervisor.stop()
        self._update_exchange.close()
        self._view_fetcher.close()
        self._pool.close()
        self._store.close()

    def reload(self) -> None:
        """Apply changed settings, except addresses, which need a restart."""
        if self._read_settings is None:
            return
        try:
            settings = self._read_settings()
        except UserError as error:
            log.error("gateway: new settings are invalid and ignored: {}", error)
            return
        if settings == self._settings:
            return
        log.notice("gateway: settings changed")
        self._settings = settings
        self._store_sync.apply_settings(settings)
        self._placer.apply_settings(settings)
        self._handler.apply_settings(settings)
        self.rollouts.apply_settings(settings)
        self._update_exchange.set_seeds(find_seeds(settings))

    def _answer_readiness(self, _: str) -> tuple[int, bytes]:
        return (200, b"ready\n") if self.is_ready else (503, b"not ready\n")

    async def _do_chores(self) -> None:
        next_reload = 0.0
        now = asyncio.get_running_loop().time()
        self._room.note_turn()
        while True:
            due = now + CHORE_SECONDS
            await asyncio.sleep(CHORE_SECONDS)
            now = asyncio.get_running_loop().time()
            self._note_stall(now - due)
            self._room.note_turn()
            self._admission.note_late(now - due)
            self._admission.loop_delay.measure()
            self._load.compare()
            self._pool.prune(now=now)
            self._pool.probe_silent(
                now=now, note_unreachable=self._placer.health.note_unreachable
            )
            self._store_sync.drop_missing()
            self.ingress.close_overdue()
            self._placer.evict_prefixes()
            self._placer.guard.sweep()
            self._placer.detect_outliers()
            if now >= next_reload:
                # The file may change without a SIGHUP.
                self.reload()
                next_reload = now + SETTINGS_POLL_SECONDS
            self._placer.note_peer_updates()

    def _note_stall(self, seconds: float) -> None:
        if seconds < STALL_SECONDS:
            return
        self._metrics.stalled_seconds.inc(seconds)
        log.warning("gateway: held up for {seconds} s", seconds=round(seconds, 2))

    def _make_update(self, **options: object) -> PeerUpdate:
        return self._update_maker.make(
            settings=self._settings, is_ready=self.is_ready, **options
        )

    def _answer_internal(self, path: str) -> tuple[int, bytes]:
        """Answer a request on the internal port.

        Peers fetch the store view, operators read metrics.
        """
        known = parse_path(path)
        if known is None:
            self._metrics.version.set(self.router.version)
            self._metrics.store_answers.set(self.has_store)
            self._metrics.held_bytes.set(self.held_bytes)
            self._metrics.caller_bytes.set(self._room.memory.total)
            self._metrics.gateways.set(self.gateway_count)
            self._metrics.slow.set(self._placer.count_slow())
            self._metrics.reported_slow.set(self._placer.count_reported_slow())
            self._metrics.limited.set(self._placer.limits.count())
            self._metrics.heavy.set(len(self._placer.heavy))
            self._metrics.suspected.set(self._placer.guard.suspected_count)
            self._metrics.blocked.set(self._placer.guard.blocked_count)
            self._metrics.dropped_lines.set(self._count_dropped())
            return (200, self._metrics.render())
        return (200, encode_view(self._store_sync.describe(known)))

    def _find_witnesses(self, suspect: Endpoint) -> tuple[Endpoint, ...]:
        """Return the endpoints to compare a suspected one with."""
        now = asyncio.get_running_loop().time()
        names = choose_witnesses(
            (
                Candidate(
                    name=state.endpoint.name,
                    domain=state.endpoint.domain,
                    heard_at=self._pool.find_heard_at(state.endpoint),
                    is_suspected=state.is_suspected(now),
                )
                for state in self.fleet
                if state.missing_since is None
            ),
            suspect=suspect.name,
        )
        return tuple(self.fleet.find(name).endpoint for name in names)

    def _find_url(self, name: str) -> str | None:
        address = self._update_exchange.find_address(name)
        return f"http://{address}:{self._settings.metrics_port}" if address else None

    def _count_view_bytes(self, name: str, size: int) -> None:
        if self._update_exchange.is_far(name):
            self._metrics.count_crossed(size, "beliefs")

    def _receive_update(self, update: PeerUpdate) -> None:
        self._store_sync.note_role_change(update)
        if self._store_sync.is_watcher():
            self._store_sync.list_newer(update)
        if self._store_sync.is_news(update):
            self._view_fetcher.wake.set()
        self.rollouts.receive_update(update)
        self._placer.limits.merge(update.limits)
        self._placer.guard.merge(update.traits)
        self._placer.note_peer_updates()

    def _receive_message(self, message: RoomMessage) -> None:
        self._placer.limits.receive(message)

    def _find_write_rank(self) -> int:
        """Return this gateway's position among the live ones, sorted by name.

        It decides which gateway writes a roll-out's status first.
        """
        names = sorted(
            [self._settings.name, *(peer.name for peer in self._update_exchange.latest)]
        )
        return names.index(self._settings.name)

    def _forget(self, lifetime: tuple[str, int]) -> None:
        self._pool.forget(lifetime=lifetime)
        self._placer.guard.note_down(lifetime, is_abrupt=False)


def find_seeds(settings: GatewaySettings) -> tuple[str, ...]:
    """Return the IP addresses of the seed gateways, without their ports."""
    return tuple(seed.rsplit(":", 1)[0] for seed in settings.seeds)
