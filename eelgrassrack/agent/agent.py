"""The agent: wires its parts together and supervises them."""

import asyncio
import math
import time
from collections.abc import Callable

import logbook

from ..decisions.coldstart import CollapseReason
from ..incarnations import make_incarnation
from ..invariants import Invariants, Promise
from ..mailbox.messages import AnyMessage, Bill, MessageBatch
from ..mailbox.socket import Mailbox
from ..metrics import (
    CRASHES,
    Metrics,
)
from ..platform.headers import find_limit, find_rest, says_leaving
from ..settings import AgentSettings
from ..store.instances import Instance, InstanceList, Role, follow_instances
from ..store.objects import ObjectStore
from ..store.pricing import price_bill
from ..supervisor import Supervisor
from .admission import AgentState
from .attempts import Attempts
from .core import Core, make_core
from .custody import BillKeeper
from .engine import HttpEngine
from .entries import EntryDirectory
from .health import POLL_SECONDS, Health
from .heartbeat import Heartbeat
from .inbox import Inbox
from .intake import Intake
from .outbox import Outbox
from .outcomes import Headers
from .pause import PauseDetector
from .quarantine import Quarantine
from .relay import Relay
from .replies import Replies
from .runner import Runner
from .settlement import Settlement

log = logbook.Logger("agent")

TICK_SECONDS = 0.25
SWEEP_SECONDS = 1.0
DRAIN_POLL_SECONDS = 0.05

# Limit for settling bills without an entry once the grace period is over.
SETTLE_SECONDS = 5.0


class Agent:
    """An agent, which runs next to its endpoint and controls access to it."""

    __slots__ = (
        "_attempts",
        "_clock",
        "_closed",
        "_core",
        "_ends_at",
        "_engine",
        "_entries",
        "_health",
        "_heartbeat",
        "_grace_skipped",
        "_inbox",
        "_instances",
        "_intake",
        "_keeper",
        "_mailbox",
        "_metrics",
        "_outbox",
        "_pause",
        "_quarantine",
        "_runner",
        "_settings",
        "_state",
        "_store",
        "_supervisor",
        "_swept_at",
        "invariants",
    )

    def __init__(
        self,
        *,
        settings: AgentSettings,
        instances: InstanceList,
        clock: Callable[[], float] = time.monotonic,
        invariants: Invariants | None = None,
        store: ObjectStore | None = None,
    ) -> None:
        """Wire the parts together; requires a running event loop.

        `store` is used only during a stop, to settle bills that no entry has
        settled.
        """
        self.invariants = invariants or Invariants()
        self._settings = settings
        self._store = store
        self._instances = instances
        self._clock = clock
        self._ends_at = math.inf
        self._swept_at = float("-inf")
        self._closed = False
        self._grace_skipped = asyncio.Event()
        self._metrics = Metrics(settings=settings.metrics, clock=clock)
        self._supervisor = Supervisor(name="agent")
        self._entries = EntryDirectory(name=settings.name)
        self._quarantine = Quarantine()
        self._state = AgentState(
            endpoint=settings.name,
            domain=settings.domain,
            pool=settings.pool,
            incarnation=make_incarnation(name=settings.name),
        )
        self._mailbox = Mailbox(
            address=settings.mailbox,
            incarnation=self._state.incarnation,
            deliver=self._deliver,
        )
        self._outbox = Outbox(post=self._post)
        self._pause = PauseDetector(
            state=self._state,
            entries=self._entries,
            post=self._post,
            clock=clock,
        )
        self._health = Health(
            url=settings.endpoint_url,
            clock=clock,
            on_collapse=self._collapse,
            on_head=self._read_head,
            is_resting=lambda: self._core.rest_seconds > 0.0,
        )
        self._engine = HttpEngine(url=settings.endpoint_url, on_head=self._read_head)
        self._wire_attempts()

    def _wire_attempts(self) -> None:
        """Create the parts that handle attempts."""
        self._attempts = Attempts(now=self._clock())
        relay = Relay(
            attempts=self._attempts, outbox=self._outbox, metrics=self._metrics
        )
        self._core: Core = make_core(
            state=self._state,
            attempts=self._attempts,
            relay=relay,
            clock=self._clock,
            invariants=self.invariants,
            detect_pause=self._pause.detect_pause,
        )
        self._heartbeat = Heartbeat(
            core=self._core,
            entries=self._entries,
            post=self._post,
            metrics=self._metrics,
        )
        self._intake = Intake(core=self._core)
        self._runner = Runner(
            core=self._core,
            intake=self._intake,
            engine=self._engine,
            is_alive=self._is_alive,
            announce=self._heartbeat.announce,
        )
        self._keeper = BillKeeper(
            attempts=self._attempts,
            entries=self._entries,
            relay=relay,
            post=self._post,
        )
        replies = Replies(
            attempts=self._attempts,
            relay=relay,
            state=self._state,
            clock=self._clock,
        )
        self._inbox = Inbox(
            core=self._core,
            entries=self._entries,
            intake=self._intake,
            runner=self._runner,
            replies=replies,
            pause=self._pause,
            quarantine=self._quarantine,
            post=self._post,
            on_new_revision=self._heartbeat.send,
        )

    @property
    def address(self) -> str:
        """Return the mailbox's address; it holds the real port once started."""
        return self._mailbox.address

    @property
    def incarnation(self) -> str:
        """Return the name that identifies this run of the agent."""
        return self._state.incarnation

    async def start(self) -> None:
        """Listen, and start to follow the instance list and the endpoint's health.

        Raise `MailboxError` if the mailbox can't listen on its address.
        """
        self._mailbox.open()
        await self._poll_health()
        self._supervisor.start(name="ticks", job=self._run_ticks)
        self._supervisor.start(name="health", job=self._run_health_polls)
        self._supervisor.start(name="instances", job=self._follow_instances)
        log.info("agent: {} listens on {}", self.incarnation, self.address)

    async def stop(self, *, signalled_at: float | None = None) -> None:
        """Shut down gracefully.

        The agent refuses new work, lets running attempts end, waits for entries
        to settle its bills, and closes.  It waits for at least `lag_seconds`, so
        that entries which don't know of the stop yet still get a refusal, and
        for at most `grace_seconds`, counted from `signalled_at`, the monotonic time
        of the stop signal; None means now.
        """
        began = self._clock()
        signalled_at = began if signalled_at is None else signalled_at
        self._ends_at = signalled_at + self._settings.grace_seconds
        log.info("agent: {} is stopping", self.incarnation)
        self._state.leaving = True
        self._intake.refuse_waiting()
        self._outbox.flush()
        self._heartbeat.send()
        while not self._may_close(self._clock() - began):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        cut = len(self._attempts.running)
        # An attempt that completes while bills are being settled would add a bill
        # that nobody settles.
        self._runner.cut_all("the agent stopped")
        self._outbox.flush()
        await self._settle_remaining()
        self._report_unfinished(cut)
        await self._close()

    async def _settle_remaining(self) -> None:
        """Settle the bills that no entry settled during the grace period."""
        remaining = tuple(self._attempts.unsettled.values())
        if not remaining or self._store is None or self._grace_skipped.is_set():
            return
        settlement = Settlement(
            store=self._store, invariants=self.invariants, price=self._price
        )
        try:
            async with asyncio.timeout(SETTLE_SECONDS):
                settled = await settlement.settle(
                    incarnation=self.incarnation, attempts=remaining
                )
        except TimeoutError:
            log.error("agent: settling bills timed out: the object API is too slow")
            return
        for key in settled:
            self._attempts.settle(key=key, now=self._clock())

    def _price(self, bill: Bill) -> int:
        facts = self._state.facts
        cost = facts.costs.get(bill.version, 0.0) if facts else 0.0
        return price_bill(bill=bill, cost=cost)

    async def kill(self) -> None:
        """Stop at once and without notifying anybody, like a killed process."""
        self._mailbox.close()
        # Without this, each freed slot would start a queued attempt.
        self._state.leaving = True
        self._core.slots.stop_all()
        await self._close()

    async def _close(self) -> None:
        if self._closed:
            return
        self._closed = True
        await self._supervisor.stop()
        self._mailbox.close()
        await self._core.slots.wait()
        self._engine.close()
        self._health.close()
        self._metrics.close()

    async def wait_failed(self) -> None:
        """Raise `SupervisorError` once a part has failed too often."""
        await self._supervisor.wait_failed()

    def skip_grace_period(self) -> None:
        """Finish a stop in progress without further waiting."""
        self._grace_skipped.set()

    def _deliver(self, batch: MessageBatch) -> None:
        self._inbox.deliver(batch)

    def _post(self, to: str, message: AnyMessage) -> None:
        self._mailbox.post(to=to, message=message)

    def _collapse(self, reason: CollapseReason) -> None:
        if reason is CollapseReason.ENGINE_RESTARTED:
            self._metrics.count(CRASHES)
            self._core.pace.limit = None
        self._core.collapse(reason)
        self._heartbeat.send()

    def _read_head(self, status: int, headers: Headers) -> None:
        """Note what the endpoint asks for in the head of an answer."""
        rest = find_rest(status=status, pairs=headers)
        if rest is not None:
            log.info("agent: the endpoint asks for {:g} s of rest", rest)
            self._runner.begin_rest(rest)
            self._heartbeat.send()
        self._note_limit(headers)
        if says_leaving(headers):
            self._health.note_leaving()
            self._note_engine_leaving()

    def _note_limit(self, headers: Headers) -> None:
        """Note how many requests a second the endpoint takes; keep it if unreadable."""
        limit, odd = find_limit(headers)
        if odd is not None:
            log.warning("agent: the endpoint names a limit that is no number: {}", odd)
        elif limit != self._core.pace.limit:
            log.info("agent: the endpoint takes {} requests a second", limit)
            self._core.pace.limit = limit
            self._heartbeat.send()

    def _note_engine_leaving(self) -> None:
        """Refuse what waits, and tell entries, unless that is known already."""
        if self._state.engine_leaving:
            return
        log.info("agent: the endpoint says that it leaves")
        self._state.engine_leaving = True
        self._intake.refuse_waiting()
        self._heartbeat.send()

    async def _is_alive(self, since: float) -> bool:
        alive = await self._health.is_alive(since)
        self._apply_health()
        if not alive:
            self._heartbeat.send()
        return alive

    async def _run_ticks(self) -> None:
        while True:
            self._tick()
            await asyncio.sleep(TICK_SECONDS)

    def _tick(self) -> None:
        now = self._clock()
        self._pause.tick()
        self._intake.tick()
        self._runner.tick()
        if now - self._swept_at >= SWEEP_SECONDS:
            self._sweep(now)
        self._heartbeat.tick()

    def _sweep(self, now: float) -> None:
        """Drop expired state and resend or reassign unsettled bills."""
        self._swept_at = now
        self._quarantine.expire(now=now)
        self._state.quarantined = self._quarantine.fingerprints
        self._attempts.expire(now=now)
        self._keeper.tick(now=now)
        needed = {attempt.owner for attempt in self._attempts.live.values()}
        self._entries.forget_lost(needed=needed, now=now)
        self._renew_if_full()
        self._mailbox.close_idle()

    def _renew_if_full(self) -> None:
        """Take a new incarnation name once the attempt records are full.

        Only a new incarnation may drop the records of its predecessor.
        """
        if not self._attempts.is_full or not self._core.is_idle:
            return
        self._state.incarnation = make_incarnation(name=self._settings.name)
        self._mailbox.incarnation = self._state.incarnation
        self._attempts.forget_records()
        log.info("agent: continues as new incarnation {}", self._state.incarnation)

    async def _run_health_polls(self) -> None:
        while True:
            await asyncio.sleep(POLL_SECONDS)
            await self._poll_health()

    async def _poll_health(self) -> None:
        state = self._state
        before = (state.engine_up, state.engine_leaving)
        await self._health.poll()
        self._apply_health()
        if (state.engine_up, state.engine_leaving) != before:
            self._heartbeat.send()
        self._runner.pump()

    def _apply_health(self) -> None:
        self._state.engine_up = self._health.is_up
        self._state.engine_leaving = self._health.is_leaving
        self._core.window.is_growth_paused = self._health.is_cold

    async def _follow_instances(self) -> None:
        await follow_instances(instances=self._instances, take=self._apply_listing)

    def _apply_listing(self, instances: tuple[Instance, ...]) -> None:
        self._entries.apply_listing(instances, now=self._clock())
        self._state.listed_leaving = any(
            instance.leaving
            for instance in instances
            if instance.role is Role.ENDPOINT and instance.name == self._settings.name
        )
        if self._state.listed_leaving:
            self._intake.refuse_waiting()
        self._heartbeat.send()

    def _may_close(self, waited: float) -> bool:
        if self._grace_skipped.is_set() or self._clock() >= self._ends_at:
            return True
        done = self._core.is_idle and not self._attempts.unsettled
        return done and waited >= self._settings.lag_seconds

    def _report_unfinished(self, cut: int) -> None:
        unsettled = len(self._attempts.unsettled)
        if cut:
            log.error("agent: {} running attempts cut off by the stop", cut)
        # The promise covers planned stops; one that was cut short isn't planned.
        as_promised = self._grace_skipped.is_set() or not cut
        self.invariants.check(Promise.GRACEFUL_STOP, as_promised, f"{cut} cut")
        if unsettled:
            log.error("agent: {} bills unsettled at the stop", unsettled)
