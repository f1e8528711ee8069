"""The way of one request: permitted, placed, attempted, relayed.

One request is sent to one endpoint after another until an answer is whole,
as long as its route, its time limit and the retry budget allow.  What is
known of each attempt decides what may follow: one that surely didn't run may
go on elsewhere whatever the request; one that ran, or may have run, only if
the request is repeatable.
"""

import asyncio
import math
from collections.abc import Callable

from ..decisions.modelchoice import choose_first
from ..decisions.sharedbudget import allow_retry
from ..decisions.stopping import Readiness, find_retry_after, may_take
from .attempts import Attempts
from .configuration import Permit, Router
from .endpoints import Endpoint
from .job import Delivered, Failed, Job, Lost, NotRun, Outcome, Standing, Unsure
from .messages import Arrival, Refusal
from .metrics import GatewayMetrics
from .placing import Placer
from .pool import ConnectionPool
from .reply import Reply
from .requestlog import (
    log_attempt,
    log_cut,
    log_end,
    log_late,
    log_refusal,
)
from .retries import RetryWindow
from .settings import GatewaySettings
from .translation import Translation

# A request that could not be sent anywhere within its limit is told to come
# back after this: about the time in which a restarted endpoint is back.
COME_BACK_SECONDS = 1.0

# What a repeat must have left: an endpoint's first event takes a few hundred
# milliseconds even when it is idle.
LEAST_LEFT_SECONDS = 0.1

USUAL_LIMIT_SECONDS = 30.0

# A gateway that has just started knows the configuration after two calls to the
# store, within 50 ms.  Refused meanwhile, callers of all gateways that were killed
# at once would have spent their last try.
LEARN_SECONDS = 0.4
LEARN_LOOK_SECONDS = 0.02


class RequestHandler:
    """Serve requests."""

    __slots__ = (
        "_attempts",
        "_ends_at",
        "_is_bounded",
        "_is_loading",
        "_loop",
        "_metrics",
        "_open",
        "_placer",
        "_sends",
        "_settings",
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
        get_readiness: Callable[[], Readiness],
    ) -> None:
        self.router = router
        self._is_loading = is_loading
        self._get_readiness = get_readiness
        self._placer = placer
        self._attempts = Attempts(
            placer=placer,
            pool=pool,
            translation=translation,
            metrics=metrics,
            may_repeat=self._has_budget,
        )
        self._metrics = metrics
        self._settings = settings
        self._sends: dict[str, RetryWindow] = {}
        self._loop = asyncio.get_running_loop()
        self._ends_at = math.inf
        self._is_bounded = False
        self._open: dict[asyncio.Timeout, Job] = {}

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Take over changed settings."""
        self._settings = settings

    async def serve(self, *, arrival: Arrival, reply: Reply) -> None:
        """Answer one request."""
        self._metrics.count_arrival()
        await self._wait_learned(arrival)
        verdict = self.router.permit(arrival)
        if isinstance(verdict, Refusal):
            await self.refuse(arrival, reply, verdict)
            return
        job = Job(
            arrival=arrival,
            permit=verdict,
            deadline=_find_deadline(arrival, verdict),
        )
        self._find_sends(verdict.service.name).note_request(self._loop.time())
        if not self._may_take(job):
            await self.refuse(arrival, reply, self.make_stopping_refusal())
            return
        job.deadline = min(job.deadline, self._ends_at)
        if job.has_choice:
            job.model = self._choose_model(job)
        try:
            await self._run_in_time(job, reply)
        except TimeoutError:
            await self._end_late(job, reply)
        except asyncio.CancelledError:
            self._note_end(job, "caller_gone")
            raise

    async def _run_in_time(self, job: Job, reply: Reply) -> None:
        """Serve a request until its time is over; raise `TimeoutError`."""
        async with asyncio.timeout_at(job.deadline) as limit:
            self._open[limit] = job
            try:
                await self._run(job, reply)
            finally:
                del self._open[limit]

    async def _wait_learned(self, arrival: Arrival) -> None:
        """Wait until what the store tells at a start has come, for a moment.

        A process that is told to stop has no moment for it.
        """
        last = arrival.arrived + LEARN_SECONDS
        while self._may_learn() and self._loop.time() < last:
            await asyncio.sleep(LEARN_LOOK_SECONDS)

    def _may_learn(self) -> bool:
        return self._is_loading() and math.isinf(self._ends_at)

    def set_end(self, time: float) -> None:
        """Have everything answered by a time of the loop, at which this process ends.

        What is under way or comes, and might take longer, is given until then.
        """
        self._ends_at = time
        for limit, job in self._open.items():
            if job.deadline > time and not limit.expired():
                job.deadline = time
                limit.reschedule(time)

    def refuse_unfinishable(self) -> None:
        """Take from now on only what is surely over before this process ends."""
        self._is_bounded = True

    def make_stopping_refusal(self, *, status: int = 503) -> Refusal:
        """Send a caller on to the entries that are ready, or will be."""
        return Refusal(
            status=status,
            reason="stopping",
            retry_after=find_retry_after(self._get_readiness()),
        )

    def _may_take(self, job: Job) -> bool:
        """Tell whether a request's time is over before this process ends."""
        if not self._is_bounded:
            return True
        now = self._loop.time()
        left = self._ends_at - now
        limit = job.deadline - now
        is_taken = may_take(remaining=left, limit=limit)
        log_late(job.arrival, left=left, limit=limit, is_taken=is_taken)
        return is_taken

    def _choose_model(self, job: Job) -> str:
        route = job.permit.route
        return choose_first(
            models=route.models,
            attempts=route.attempts,
            is_repeatable=route.is_repeatable and not job.resume_after,
            objective=route.objective,
            remaining=job.deadline - self._loop.time(),
            estimate=lambda one: self._placer.estimate(job, one),
        )

    async def _run(self, job: Job, reply: Reply) -> None:
        while True:
            placed = await self._placer.place(job)
            if isinstance(placed, Refusal):
                await self._conclude(job, reply, placed)
                return
            outcome = await self._attempts.run(job, placed, reply)
            self._note_outcome(job, placed, outcome)
            if isinstance(outcome, Delivered):
                return
            if isinstance(outcome, Unsure):
                job.model = outcome.model
                job.passed_over.discard(placed.name)
            refusal = self._find_end(job, outcome)
            if refusal is not None:
                await self._conclude(job, reply, refusal)
                return
            # A caller that has a part of its stream was permitted when it came:
            # ended now, by a key that was taken away, the stream would break
            # off for a fault of its endpoint.
            if not reply.is_begun:
                again = self.router.permit(job.arrival)
                if isinstance(again, Refusal):
                    await self._conclude(job, reply, again)
                    return
                self._move(job, again)
            if job.attempts:
                self._find_sends(job.permit.service.name).note_repeat(self._loop.time())

    def _move(self, job: Job, permit: Permit) -> None:
        """Go on by the configuration of now, which may name another service.

        Only while the caller has nothing of its answer: a stream goes on where
        it began.
        """
        job.permit = permit
        if job.has_choice and job.model not in permit.route.models:
            job.model = self._choose_model(job)

    def _find_end(self, job: Job, outcome: Outcome) -> Refusal | None:
        """Return why the request isn't sent again, or None if it is."""
        if isinstance(outcome, Unsure):
            return None
        if not job.is_repeatable and not isinstance(outcome, NotRun):
            return Refusal(status=502, reason="may have run and isn't repeatable")
        if job.attempts >= job.permit.route.attempts:
            return _refuse_unserved("tried as often as allowed")
        now = self._loop.time()
        if job.deadline - now < LEAST_LEFT_SECONDS:
            return _refuse_unserved("no time left")
        if job.attempts and not self._has_budget(job):
            return _refuse_unserved("retry budget spent")
        return None

    def _has_budget(self, job: Job) -> bool:
        counts = self._find_sends(job.permit.service.name).count(self._loop.time())
        return allow_retry(
            requests=counts.requests,
            repeats=counts.repeats,
            ratio=self._settings.retry_ratio,
            slack=self._settings.retry_slack,
            entries=self._placer.entries,
        )

    def _note_outcome(self, job: Job, endpoint: Endpoint, outcome: Outcome) -> None:
        """Learn from an attempt; what it shows of the endpoint goes to placing."""
        log_attempt(job, endpoint, outcome, seconds=self._loop.time() - job.sent_at)
        match outcome:
            case Delivered():
                self._note_answer(job, endpoint, failed=False)
                self._placer.note_whole(job)
                self._note_end(job, "answered")
            case Unsure():
                job.note(Standing.RAN)
                self._note_answer(job, endpoint, failed=False)
            case NotRun(is_down=is_down):
                self._placer.health.note_not_run(job, endpoint, is_down=is_down)
            case Lost():
                job.note(Standing.UNKNOWN)
                self._placer.health.note_lost_answer(job, endpoint)
            case Failed():
                job.note(Standing.RAN)
                job.failure = outcome
                self._note_answer(job, endpoint, failed=True)

    def _note_answer(self, job: Job, endpoint: Endpoint, *, failed: bool) -> None:
        first_at = job.first_at or self._loop.time()
        self._placer.health.note_answer(
            job, endpoint, failed=failed, seconds=max(first_at - job.sent_at, 0.0)
        )

    async def _conclude(self, job: Job, reply: Reply, refusal: Refusal) -> None:
        """Give the final answer to a request that isn't tried again."""
        if reply.is_begun:
            self._note_end(job, "broken_off", refusal.reason)
            reply.abort()
            return
        if job.failure is not None:
            head = job.failure.head
            self._note_end(job, "failed", f"status {head.status}")
            await self._attempts.deliver(job, reply, head, job.failure.body)
            return
        if job.standing is not Standing.NOT_RUN:
            # It may have run: 503 would promise that it hasn't.
            refusal = Refusal(status=502, reason=refusal.reason)
        await self.refuse(job.arrival, reply, refusal)

    async def _end_late(self, job: Job, reply: Reply) -> None:
        """Answer a request whose time is over."""
        if reply.is_over:
            return
        refusal = self._refuse_late(job)
        if job.tried:
            seconds = self._loop.time() - job.sent_at
            log_cut(job, reason=refusal.reason, seconds=seconds)
        if reply.is_begun:
            self._note_end(job, "broken_off", refusal.reason)
            reply.abort()
            return
        await self.refuse(job.arrival, reply, refusal)

    def _refuse_late(self, job: Job) -> Refusal:
        """Return the answer to a request whose time is over."""
        status = 503 if job.attempts == 0 else 504
        if job.deadline == self._ends_at:
            return self.make_stopping_refusal(status=status)
        return Refusal(
            status=status, reason="time limit", retry_after=COME_BACK_SECONDS
        )

    async def refuse(self, arrival: Arrival, reply: Reply, refusal: Refusal) -> None:
        """Answer with a refusal; raise `CallerGoneError`."""
        self._metrics.count_end(f"status_{refusal.status}")
        log_refusal(
            arrival,
            refusal,
            configuration=self.router.version,
            seconds=self._loop.time() - arrival.arrived,
        )
        await reply.refuse(refusal)

    def _note_end(self, job: Job, end: str, reason: str = "") -> None:
        now = self._loop.time()
        self._metrics.count_end(end)
        if job.first_at is not None:
            self._metrics.observe_seconds(job.first_at - job.arrival.arrived, "first")
        self._metrics.observe_seconds(now - job.arrival.arrived, "whole")
        log_end(job, end, reason=reason, now=now)

    def _find_sends(self, service: str) -> RetryWindow:
        sends = self._sends.get(service)
        if sends is None:
            sends = RetryWindow(seconds=self._settings.retry_window_seconds)
            self._sends[service] = sends
        return sends


def _find_deadline(arrival: Arrival, permit: Permit) -> float:
    limit = permit.route.timeout or USUAL_LIMIT_SECONDS
    if arrival.timeout is not None:
        limit = min(limit, arrival.timeout)
    return arrival.arrived + limit


def _refuse_unserved(reason: str) -> Refusal:
    return Refusal(status=503, reason=reason, retry_after=COME_BACK_SECONDS)
