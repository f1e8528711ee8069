"""Handle requests: authorise, choose an endpoint, send, retry.

A request is retried on other endpoints until one returns a complete response, as
far as its route's number of attempts, its deadline and the retry budget allow.  An
attempt that certainly did not run may always be retried; one that ran, or may have
run, only if the request is repeatable.
"""

import asyncio
import math
from collections.abc import Callable

import msgspec

from ...decisions.comeback import find_comeback
from ...decisions.heldbytes import HeldBytes
from ...decisions.modelchoice import choose_first
from ...decisions.stopping import Readiness, find_retry_after, may_take
from ..endpoints.endpoint import Endpoint
from ..endpoints.placing import Placer
from ..endpoints.pool import ConnectionPool
from ..errors import NoDescriptorError
from ..metrics import GatewayMetrics
from ..settings import GatewaySettings
from ..store.configuration import NO_CONFIGURATION, Permit, Router
from .attempts import AttemptRunner
from .job import Delivered, ExecutionStatus, Failed, Job, Lost, NotRun, Outcome, Unsure
from .loopdelay import LoopDelay
from .messages import Arrival, Refusal
from .reply import Reply
from .requestlog import (
    log_attempt,
    log_cut,
    log_end,
    log_late_arrival,
    log_refusal,
)
from .retries import RetryBudget
from .translation import Translation

# `Retry-After` for requests that no endpoint answered in time: about the time that
# an endpoint takes to restart.
RETRY_AFTER_SECONDS = 1.0

# No retry starts with less time than this until the deadline: even an idle endpoint
# takes a few hundred milliseconds to send its first event.
MIN_REMAINING_SECONDS = 0.1

# A run isn't stopped for a retry with less time than this until the deadline: opening
# a connection and placing the request take some of it.
MIN_HANDOVER_SECONDS = 0.3

# Pause before a begun stream tries endpoints again to which no connection opened.
RECONNECT_SECONDS = 0.25

# Applies to routes that are configured without a timeout.
DEFAULT_TIMEOUT_SECONDS = 30.0

# Requests wait this long for a gateway that has just started to load its
# configuration, which takes two calls to the store and up to 50 ms.  When all
# gateways were killed at once, a refusal would use up their callers' last retry.
LOADING_WAIT_SECONDS = 0.4
LOADING_POLL_SECONDS = 0.02


class RequestHandler:
    """Handle callers' requests from arrival to response.

    `router` holds the configuration in force.  `is_loading` returns whether a gateway
    that has just started is still reading from the store, `awaits_peers` whether it is
    still to hear from others, `knows_store` whether it has read the store and the store
    still answers, and `get_readiness` how many gateways are ready.
    `note_request` counts each request, `held` what incomplete answers hold.
    """

    __slots__ = (
        "_attempts",
        "_awaits_peers",
        "_ends_at",
        "_knows_store",
        "_refuses_unfinishable",
        "_is_loading",
        "_loop",
        "_loop_delay",
        "_note_request",
        "_metrics",
        "_in_flight",
        "_placer",
        "_retry_budget",
        "_get_readiness",
        "router",
    )

    def __init__(
        self,
        *,
        router: Router,
        placer: Placer,
        pool: ConnectionPool,
        translation: Translation,
        metrics: GatewayMetrics,
        settings: GatewaySettings,
        is_loading: Callable[[], bool],
        knows_store: Callable[[], bool],
        awaits_peers: Callable[[], bool],
        get_readiness: Callable[[], Readiness],
        loop_delay: LoopDelay,
        note_request: Callable[[], None],
        held: HeldBytes,
    ) -> None:
        self.router = router
        self._loop_delay = loop_delay
        self._note_request = note_request
        self._is_loading = is_loading
        self._knows_store = knows_store
        self._awaits_peers = awaits_peers
        self._get_readiness = get_readiness
        self._placer = placer
        self._retry_budget = RetryBudget(
            settings=settings, count_gateways=lambda: placer.gateway_count
        )
        self._attempts = AttemptRunner(
            placer=placer,
            pool=pool,
            translation=translation,
            metrics=metrics,
            retry_budget=self._retry_budget,
            held=held,
            may_abandon=self._may_abandon,
        )
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._ends_at = math.inf
        self._refuses_unfinishable = False
        self._in_flight: dict[asyncio.Timeout, Job] = {}

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings."""
        self._retry_budget.apply_settings(settings)

    async def serve(self, *, arrival: Arrival, reply: Reply) -> None:
        """Handle one request; raise `CallerGoneError`."""
        self._metrics.count_arrival()
        self._note_request()
        await self._wait_loaded(arrival)
        verdict = self.router.permit(arrival)
        if isinstance(verdict, Refusal):
            await self.refuse(arrival, reply, self._find_comeback(arrival, verdict))
            return
        job = Job(
            arrival=arrival,
            permit=verdict,
            deadline=_find_deadline(arrival, verdict.route.timeout),
        )
        self._retry_budget.note_request(verdict.service.name)
        if not self._is_admitted(job):
            await self.refuse(arrival, reply, self.make_stopping_refusal())
            return
        job.deadline = min(job.deadline, self._ends_at)
        if job.has_choice:
            job.model = self._choose_model(job)
        try:
            await self._run_until_deadline(job, reply)
        except TimeoutError:
            await self._handle_timeout(job, reply)
        except asyncio.CancelledError:
            self._note_end(job, "caller_gone")
            raise
        finally:
            self._retry_budget.release(job)

    async def _run_until_deadline(self, job: Job, reply: Reply) -> None:
        """Handle a job; raise `TimeoutError` at its deadline."""
        async with asyncio.timeout_at(job.deadline) as timeout:
            self._in_flight[timeout] = job
            try:
                await self._run(job, reply)
            finally:
                del self._in_flight[timeout]

    async def _wait_loaded(self, arrival: Arrival) -> None:
        """Wait briefly until a starting gateway has loaded its data from the store.

        Prompts also wait for a first peer, which tells those that crash endpoints.  A
        gateway that is stopping doesn't wait.
        """
        latest = arrival.arrived + LOADING_WAIT_SECONDS
        while self._may_wait(arrival) and self._loop.time() < latest:
            await asyncio.sleep(LOADING_POLL_SECONDS)

    def _find_comeback(self, arrival: Arrival, refusal: Refusal) -> Refusal:
        """Return a refusal, with the time to come back if only the store is missing.

        While another gateway is ready, the caller's next try meets that.
        """
        if refusal is not NO_CONFIGURATION or self._knows_store():
            return refusal
        readiness = self._get_readiness()
        if readiness.near_ready or readiness.far_ready:
            return refusal
        elapsed = self._loop.time() - arrival.arrived
        left = None if arrival.timeout is None else arrival.timeout - elapsed
        seconds = find_comeback(left=left, request=arrival.id)
        return msgspec.structs.replace(refusal, retry_after=seconds)

    def _may_wait(self, arrival: Arrival) -> bool:
        if math.isfinite(self._ends_at):
            return False
        return self._is_loading() or (bool(arrival.parts) and self._awaits_peers())

    def judge_head(self, arrival: Arrival) -> Refusal | float:
        """Return the refusal of a request that has no route or no valid key.

        Otherwise return when its time is over, in the event loop's time.
        """
        verdict = self.router.permit(arrival)
        if verdict is NO_CONFIGURATION:
            return _find_deadline(arrival, 0.0)
        if isinstance(verdict, Refusal):
            self._metrics.count_arrival()
            return verdict
        return _find_deadline(arrival, verdict.route.timeout)

    def set_end(self, time: float) -> None:
        """Set when this process ends, in the event loop's time.

        Later deadlines of current and new requests are moved to it.
        """
        self._ends_at = time
        for timeout, job in self._in_flight.items():
            if job.deadline > time and not timeout.expired():
                job.deadline = time
                timeout.reschedule(time)

    def refuse_unfinishable(self) -> None:
        """Refuse requests from now on that might outlast this process."""
        self._refuses_unfinishable = True

    def make_stopping_refusal(self, *, status: int = 503) -> Refusal:
        """Return the refusal of a stopping gateway.

        Its `Retry-After` tells the caller when another gateway will be ready.
        """
        return Refusal(
            status=status,
            reason="stopping",
            retry_after=find_retry_after(self._get_readiness()),
        )

    def _is_admitted(self, job: Job) -> bool:
        """Return whether a request may start: not if it might outlast the process."""
        if not self._refuses_unfinishable:
            return True
        now = self._loop.time()
        remaining = self._ends_at - now
        limit = job.deadline - now
        is_taken = may_take(remaining=remaining, limit=limit)
        log_late_arrival(
            job.arrival, remaining=remaining, limit=limit, is_taken=is_taken
        )
        return is_taken

    def _choose_model(self, job: Job) -> str:
        route = job.permit.route
        return choose_first(
            models=route.models,
            attempts=route.attempts,
            is_repeatable=route.is_repeatable and not job.resume_after,
            objective=route.objective,
            remaining=job.deadline - self._loop.time(),
            estimate=lambda name: self._placer.estimate(job, name),
        )

    async def _run(self, job: Job, reply: Reply) -> None:
        while True:
            placed = await self._placer.place(job)
            if isinstance(placed, Refusal):
                if reply.is_started and job.unreachable:
                    await self._wait_for_connections(job)
                    continue
                await self._conclude(job, reply, placed)
                return
            try:
                outcome = await self._attempts.run(job, placed, reply)
            except NoDescriptorError:
                refusal = self._make_unserved_refusal(job, "no descriptor is free")
                await self._conclude(job, reply, refusal)
                return
            self._note_outcome(job, placed, outcome)
            if isinstance(outcome, Delivered):
                return
            if isinstance(outcome, Unsure):
                job.model = outcome.model
                job.excluded.discard(placed.name)
            refusal = self._prepare_retry(job, outcome, reply)
            if refusal is not None:
                await self._conclude(job, reply, refusal)
                return

    async def _wait_for_connections(self, job: Job) -> None:
        """Let a begun stream try again where no connection opened in time.

        The gateway's own link may have been at fault, and ending the stream is all
        that is left otherwise.  Its deadline ends this.
        """
        await asyncio.sleep(RECONNECT_SECONDS)
        job.excluded.clear()
        job.unreachable.clear()

    def _prepare_retry(
        self, job: Job, outcome: Outcome, reply: Reply
    ) -> Refusal | None:
        """Prepare a request's next attempt; return a refusal if there is none."""
        refusal = self._find_final_refusal(job, outcome)
        if refusal is not None:
            return refusal
        # A caller that has received part of its stream was authorised when it
        # arrived.  Checking its key again would break the stream off if the key
        # has been revoked since, though only the endpoint is at fault.
        if not reply.is_started:
            permit = self.router.permit(job.arrival)
            if isinstance(permit, Refusal):
                return permit
            self._apply_permit(job, permit)
        if job.attempts and not self._retry_budget.reserve(job):
            return self._make_unserved_refusal(job, "retry budget spent")
        return None

    def _apply_permit(self, job: Job, permit: Permit) -> None:
        """Retry under the current configuration, which may name another service.

        This applies only before the caller has received any of its response; a
        stream continues on the service where it began.
        """
        self._retry_budget.move(job, permit.service.name)
        job.permit = permit
        if job.has_choice and job.model not in permit.route.models:
            job.model = self._choose_model(job)

    def _find_final_refusal(self, job: Job, outcome: Outcome) -> Refusal | None:
        """Return the refusal that ends a request, or None if it may be retried."""
        if isinstance(outcome, Unsure):
            return None
        if not job.is_repeatable and not isinstance(outcome, NotRun):
            return Refusal(status=502, reason="may have run and isn't repeatable")
        if job.attempts >= job.permit.route.attempts:
            return self._make_unserved_refusal(job, "tried as often as allowed")
        now = self._loop.time()
        if job.deadline - now < MIN_REMAINING_SECONDS:
            return self._make_unserved_refusal(job, "no time left")
        return None

    def _make_unserved_refusal(self, job: Job, reason: str) -> Refusal:
        """Return the refusal of a request that no endpoint has answered.

        If all endpoints rest, its caller needn't come back before the first is back.
        """
        rest = self._placer.find_rest(job)
        retry_after = RETRY_AFTER_SECONDS if rest is None else rest
        return Refusal(status=503, reason=reason, retry_after=retry_after)

    def _may_abandon(self, job: Job) -> bool:
        """Return whether a request may leave an endpoint that seems to have failed.

        Only its retry elsewhere makes up for the run that ends: it is reserved here,
        and without one the request stays, as the endpoint may only be slow.
        """
        if not job.is_repeatable or not job.attempts_left:
            return False
        if job.deadline - self._loop.time() < MIN_HANDOVER_SECONDS:
            return False
        return self._placer.has_alternative(job) and self._retry_budget.reserve(job)

    def _note_outcome(self, job: Job, endpoint: Endpoint, outcome: Outcome) -> None:
        """Log an attempt and update the job's and the endpoint's state from it."""
        log_attempt(
            job,
            endpoint,
            outcome,
            seconds=self._loop.time() - job.sent_at,
            loop_delay=self._loop_delay.latest,
        )
        match outcome:
            case Delivered():
                self._placer.health.note_answer(endpoint, failed=False)
                self._placer.note_completed(job)
                self._note_end(job, "answered")
            case Unsure():
                job.note_status(ExecutionStatus.RAN)
                self._placer.health.note_answer(endpoint, failed=False)
            case NotRun():
                if outcome.is_unreachable:
                    job.unreachable.add(endpoint.name)
                if outcome.wants_rest:
                    job.resting.add(endpoint.name)
                self._placer.note_not_run(endpoint, outcome)
            case Lost():
                job.note_status(ExecutionStatus.UNKNOWN)
                self._note_loss(endpoint, outcome)
            case Failed():
                job.note_status(ExecutionStatus.RAN)
                job.failure = outcome
                self._placer.health.note_answer(endpoint, failed=True)

    def _note_loss(self, endpoint: Endpoint, outcome: Lost) -> None:
        health = self._placer.health
        if outcome.is_endless:
            self._metrics.endless.inc()
            health.note_endless(endpoint)
        elif outcome.is_blameless:
            self._metrics.full_memory.inc()
        else:
            health.note_overdue_answer(endpoint)

    async def _conclude(self, job: Job, reply: Reply, refusal: Refusal) -> None:
        """Send the final response to a request that isn't retried."""
        if reply.is_started:
            self._note_end(job, "broken_off", refusal.reason)
            reply.abort()
            return
        if job.failure is not None:
            head = job.failure.head
            self._note_end(job, "failed", f"status {head.status}")
            await self._attempts.deliver(job, reply, head, job.failure.body)
            return
        if job.execution_status is not ExecutionStatus.NOT_RUN:
            # The request may have run, and 503 would promise that it didn't.
            refusal = Refusal(status=502, reason=refusal.reason)
        await self.refuse(job.arrival, reply, refusal)

    async def _handle_timeout(self, job: Job, reply: Reply) -> None:
        """End a request whose deadline has passed."""
        if reply.is_finished:
            return
        refusal = self._make_timeout_refusal(job)
        if job.tried:
            seconds = self._loop.time() - job.sent_at
            log_cut(job, reason=refusal.reason, seconds=seconds)
        if reply.is_started:
            self._note_end(job, "broken_off", refusal.reason)
            reply.abort()
            return
        await self.refuse(job.arrival, reply, refusal)

    def _make_timeout_refusal(self, job: Job) -> Refusal:
        """Return the refusal of a request whose deadline has passed."""
        status = 503 if job.attempts == 0 else 504
        if job.deadline == self._ends_at:
            return self.make_stopping_refusal(status=status)
        return Refusal(
            status=status, reason="time limit", retry_after=RETRY_AFTER_SECONDS
        )

    async def refuse(self, arrival: Arrival, reply: Reply, refusal: Refusal) -> None:
        """Send a refusal; raise `CallerGoneError`."""
        self._metrics.count_end(f"status_{refusal.status}")
        log_refusal(
            arrival,
            refusal,
            configuration=self.router.version,
            seconds=self._loop.time() - arrival.arrived,
            loop_delay=self._loop_delay.latest,
        )
        await reply.refuse(refusal)

    def _note_end(self, job: Job, end: str, reason: str = "") -> None:
        now = self._loop.time()
        self._metrics.count_end(end)
        if job.first_at is not None:
            self._metrics.observe_seconds(job.first_at - job.arrival.arrived, "first")
        self._metrics.observe_seconds(now - job.arrival.arrived, "whole")
        log_end(job, end, reason=reason, now=now)


def _find_deadline(arrival: Arrival, timeout: float) -> float:
    """Return a request's deadline; `timeout` is its route's, 0 if there is none."""
    limit = timeout or DEFAULT_TIMEOUT_SECONDS
    if arrival.timeout is not None:
        limit = min(limit, arrival.timeout)
    return arrival.arrived + limit
