"""The entry daemon: creates its parts, runs their background tasks and stops it."""

import asyncio
import math
import random
import secrets
import socket

import logbook
from tornado.netutil import bind_sockets

from ..callers.room import CallerRoom
from ..callers.server import CallerServer
from ..callers.turns import ReadTurns
from ..decisions.hearing import Hearing
from ..dismissal import REQUEST_TIMEOUT_ANSWER
from ..document.snapshot import Snapshot
from ..incarnations import make_incarnation
from ..invariants import Invariants, Promise
from ..listener import CallerListener
from ..listening import stop_listening
from ..mailbox.messages import AnyMessage, Bill, MessageBatch
from ..mailbox.socket import Mailbox
from ..metrics import Metrics
from ..settings import EntrySettings
from ..store.head import DocumentHead
from ..store.instances import Instance, InstanceList, follow_instances
from ..store.metered import MeteredStore
from ..store.objects import ObjectStore
from ..store.platform import RatingClient
from ..store.pricing import price_bill
from ..supervisor import Supervisor
from .application import build_application
from .billing import Billing
from .channels import Channels
from .configuration import Configuration
from .directory import Directory
from .errors import EntryError
from .inbox import Inbox
from .meter import Meter
from .peers import Peers
from .refusals import STOPPING
from .serving import Serving
from .suspects import SuspectRequests

log = logbook.Logger("entry")

TICK_SECONDS = 0.05
HEARTBEAT_SECONDS = 1.0

# A flush is two writes, and the object API accepts several hundred a second from
# all entries together.  Agents keep the bills in the meantime.
FLUSH_SECONDS = 5.0
DRAIN_POLL_SECONDS = 0.05

# After the grace period, time for the last messages from agents and for responses
# to reach their callers.
AFTER_GRACE_SECONDS = 1.0

# Requests that have been read but that no handler has seen are looked for this often
# before all connections are closed.  A process that was suspended until then needs
# several iterations of its event loop for them.
FINAL_POLL_SECONDS = 0.01
FINAL_POLLS = 20

# Largest body that is read, because the document's limit may not be known yet.
MAX_BODY_BYTES = 3_500_000


class EntryDaemon:
    """An entry, which serves callers over HTTP and sends messages to agents."""

    __slots__ = (
        "_heartbeat_at",
        "_configuration",
        "_ends_at",
        "_grace_skipped",
        "_hearing",
        "_inbox",
        "_instances",
        "_listeners",
        "_loop",
        "_mailbox",
        "_meter",
        "_metrics",
        "_idempotent_runner",
        "_peers",
        "_room",
        "_server",
        "_serving",
        "_settings",
        "_store",
        "_supervisor",
        "_suspects",
        "billing",
        "channels",
        "core",
        "directory",
        "invariants",
        "port",
    )

    def __init__(
        self,
        *,
        settings: EntrySettings,
        store: ObjectStore,
        instances: InstanceList,
        rating: RatingClient | None = None,
        invariants: Invariants | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.invariants = invariants or Invariants()
        self.port = 0
        self._heartbeat_at = float("-inf")
        self._ends_at = math.inf
        self._grace_skipped = asyncio.Event()
        self._instances = instances
        self._listeners: list[socket.socket] = []
        self._loop = asyncio.get_running_loop()
        self._metrics = Metrics(settings=settings.metrics)
        self._meter = Meter(metrics=self._metrics)
        self._server: CallerServer | None = None
        self._settings = settings
        self._store = MeteredStore(store=store, metrics=self._metrics)
        self._supervisor = Supervisor(name="entry")
        self._mailbox = Mailbox(
            address=settings.mailbox,
            incarnation=make_incarnation(name=settings.name),
            deliver=self.deliver,
        )
        self._build(rating, rng or random.Random(secrets.randbits(64)))

    @property
    def address(self) -> str:
        """Return the mailbox's address; its port is set once started."""
        return self._mailbox.address

    @property
    def incarnation(self) -> str:
        """Return the incarnation, which identifies this start of the entry."""
        return self._mailbox.incarnation

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        host = self._settings.listen.rpartition(":")[0]
        return f"http://{host}:{self.port}"

    def _build(self, rating: RatingClient | None, rng: random.Random) -> None:
        clock = self._loop.time
        self._hearing = Hearing()
        self.channels = Channels(invariants=self.invariants, hearing=self._hearing)
        self.directory = Directory(
            on_agent_lost=self._lose_agent, hearing=self._hearing
        )
        self._peers = Peers(
            name=self._settings.name,
            domain=self._settings.domain,
            directory=self.directory,
            post=self._post,
        )
        self._suspects = SuspectRequests(clock=clock, spread=self._spread_quarantined)
        self._configuration = Configuration(
            head=DocumentHead(store=self._store),
            invariants=self.invariants,
            announce=self._announce,
            ask_peer=self._peers.ask_one,
            ask_peers=self._peers.ask_document,
        )
        self.billing = Billing(
            store=self._store,
            incarnation=self.incarnation,
            invariants=self.invariants,
            meter=self._meter,
            price=self._price,
            post=self._post,
        )
        self._serving = Serving(
            billing=self.billing,
            rng=rng,
            channels=self.channels,
            clock=clock,
            configuration=self._configuration,
            directory=self.directory,
            incarnation=self.incarnation,
            invariants=self.invariants,
            meter=self._meter,
            post=self._post,
            rating=rating,
            settings=self._settings,
            store=self._store,
            suspects=self._suspects,
        )
        self.core = self._serving.core
        self._idempotent_runner = self._serving.idempotent_runner
        self._inbox = Inbox(
            billing=self.billing,
            channels=self.channels,
            clock=clock,
            configuration=self._configuration,
            directory=self.directory,
            hearing=self._hearing,
            meter=self._meter,
            peers=self._peers,
            post=self._post,
            suspects=self._suspects,
        )

    async def start(self) -> None:
        """Start listening, and start the background tasks.

        Raises `EntryError` if the port can't be bound.
        """
        self._mailbox.open()
        self._listen()
        self._supervisor.start(name="ticks", job=self._keep_ticking)
        self._supervisor.start(name="document", job=self._configuration.follow)
        self._supervisor.start(name="instances", job=self._follow_instances)
        self._supervisor.start(name="ledger", job=self._keep_flushing)
        self._supervisor.start(name="sweeper", job=self._serving.sweeper.run)
        log.info("entry: {} serves callers on {}", self.incarnation, self.url)

    async def stop(self, *, signalled_at: float | None = None) -> None:
        """Drain: fail readiness, finish requests, flush bills and close.

        The load balancer reacts to the failed readiness check with a delay, so
        the entry takes requests for another `lag_seconds`.  Requests that aren't
        answered after `grace_seconds` are cancelled, and their callers are told
        what is known about the outcome.  The grace period counts from `signalled_at`,
        the loop time of the stop signal; None means now.
        """
        began = self._loop.time()
        self.core.is_draining = True
        signalled_at = began if signalled_at is None else signalled_at
        self._set_end(signalled_at + self._settings.grace_seconds)
        self._peers.leaving = True
        self._send_heartbeats()
        while not self._may_close(self._loop.time() - began):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await self._end_requests()
        await self.billing.flush(now=self._loop.time())
        self._log_unwritten_bills()
        await self._serving.sweeper.stop()
        await self._close()

    async def _end_requests(self) -> None:
        """Stop listening, finish or answer all requests and close connections."""
        self.core.is_closing = True
        if self._server is None:
            return
        await stop_listening(
            self._server,
            self._listeners,
            make_room=self._make_room,
            until=self._loop.time() + AFTER_GRACE_SECONDS,
        )
        await self._wait_idle(AFTER_GRACE_SECONDS)
        self.core.end_all()
        await self._wait_idle(2 * AFTER_GRACE_SECONDS)
        self._report_cut_requests()
        await self._dismiss_callers()
        await self._server.close_all_connections()

    async def _dismiss_callers(self) -> None:
        """Answer requests that were read late, and tell idle callers to leave."""
        for _ in range(FINAL_POLLS):
            self.core.end_all()
            self._dismiss_idle()
            if not self._server._connections:
                break
            await asyncio.sleep(FINAL_POLL_SECONDS)
        await self.core.lingering.wait_closed(self._loop.time() + AFTER_GRACE_SECONDS)

    def _make_room(self) -> None:
        """Answer all callers for whose requests no work has begun."""
        self.core.end_unread()
        self._dismiss_idle()

    def _dismiss_idle(self) -> None:
        """Tell callers with an idle connection that no request will be read."""
        busy = self.core.list_streams()
        for connection in tuple(self._server._connections):
            stream = connection.stream
            # A connection that isn't reading has received the headers of a request
            # that no handler has seen yet.
            if stream.reading() and stream not in busy:
                self.core.lingering.half_close(stream, REQUEST_TIMEOUT_ANSWER)

    async def _wait_idle(self, extra: float) -> None:
        """Wait until no request is open, at most `extra` seconds after the end."""
        while not self.core.is_idle and self._loop.time() < self._ends_at + extra:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _set_end(self, time: float) -> None:
        self._ends_at = time
        self._serving.set_end(time)

    async def kill(self) -> None:
        """Close at once, as after a crash; for tests and the demo."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
        await self._close()

    async def wait_failed(self) -> None:
        """Wait until a task has failed too often, then raise `SupervisorError`."""
        await self._supervisor.wait_failed()

    def skip_grace_period(self) -> None:
        """Skip the rest of the grace period of a stop."""
        self._grace_skipped.set()
        self._set_end(self._loop.time())

    def deliver(self, batch: MessageBatch) -> None:
        """Process a batch of messages from an agent or another entry."""
        self._inbox.deliver(batch)

    def _post(self, to: str, message: AnyMessage) -> None:
        self._mailbox.post(to=to, message=message)

    def _lose_agent(self, agent: str, reason: str) -> None:
        self.channels.lose_agent(agent=agent, reason=reason)

    def _spread_quarantined(self, fingerprints: tuple[str, ...]) -> None:
        self._peers.spread(fingerprints=fingerprints)

    def _announce(self, snapshot: Snapshot) -> None:
        self._serving.note_domains(snapshot)
        self._peers.announce(snapshot=snapshot, quarantined=self._suspects.quarantined)
        self._send_heartbeats()

    def _price(self, bill: Bill) -> int:
        version = self._configuration.snapshot.versions.get(bill.version)
        if version is None:
            return 0
        return price_bill(bill=bill, cost=version.cost)

    def _listen(self) -> None:
        host, _, port = self._settings.listen.rpartition(":")
        try:
            bound = bind_sockets(int(port), address=host, backlog=1024)
        except OSError as error:
            text = f"can't listen on {self._settings.listen}: {error.strerror}"
            raise EntryError(text) from error
        self._listeners = [CallerListener(fileno=one.detach()) for one in bound]
        self.port = self._listeners[0].getsockname()[1]
        self._room = CallerRoom(
            memory_mb=self._settings.memory_mb, count=self._meter.note_gave_way
        )
        self._server = CallerServer(
            build_application(core=self.core),
            room=self._room,
            turns=ReadTurns(),
            lingering=self.core.lingering,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=300,
        )
        self._server.add_sockets(self._listeners)

    def _send_heartbeats(self) -> None:
        self._heartbeat_at = self._loop.time()
        self._peers.send_heartbeats(self._inbox.build_presence())

    def _tick(self) -> None:
        now = self._loop.time()
        self._room.note_turn()
        self._configuration.tick()
        self._hearing.note_check(now=now)
        self.channels.check_timeouts(now)
        self.core.end_slow()
        if now - self._heartbeat_at < HEARTBEAT_SECONDS:
            return
        self.directory.drop_silent(now)
        self._mailbox.close_idle()
        self._send_heartbeats()
        self._report_metrics()

    def _report_metrics(self) -> None:
        self._meter.report(
            open_requests=self.core.open_requests,
            revision=self._configuration.snapshot.revision,
            invariants=self.invariants,
            supervisor=self._supervisor,
        )

    async def _keep_ticking(self) -> None:
        while True:
            self._tick()
            await asyncio.sleep(TICK_SECONDS)

    async def _keep_flushing(self) -> None:
        while True:
            await self._wait_flush()
            await self.billing.flush(now=self._loop.time())

    async def _wait_flush(self) -> None:
        """Wait until the next flush is due, or only briefly while draining."""
        due = self._loop.time() + FLUSH_SECONDS
        while self._loop.time() < due and not self.core.is_draining:
            await asyncio.sleep(min(TICK_SECONDS, FLUSH_SECONDS))
        await asyncio.sleep(TICK_SECONDS)

    async def _follow_instances(self) -> None:
        await follow_instances(instances=self._instances, take=self._take_listing)

    def _take_listing(self, instances: tuple[Instance, ...]) -> None:
        self.directory.take_listing(instances)
        self._peers.take_listing(instances)
        self._send_heartbeats()

    def _may_close(self, waited: float) -> bool:
        if self._grace_skipped.is_set() or self._loop.time() >= self._ends_at:
            return True
        is_done = self.core.is_idle and not self.billing.waiting
        return is_done and waited >= self._settings.lag_seconds

    def _report_cut_requests(self) -> None:
        cut = self.core.open_requests + self._meter.count_failed(STOPPING)
        if cut:
            log.error("entry: {} requests were cut off by the stop", cut)
        # The promise covers planned stops, and a hurried one isn't planned.
        kept = self._grace_skipped.is_set() or (not cut and self.core.is_idle)
        self.invariants.check(Promise.GRACEFUL_STOP, kept, f"{cut} cut")

    def _log_unwritten_bills(self) -> None:
        if self.billing.waiting:
            log.error(
                "entry: {} bills not written, their agents keep them",
                self.billing.waiting,
            )

    async def _close(self) -> None:
        await self._supervisor.stop()
        await self._serving.stop()
        self._mailbox.close()
        self._metrics.close()
