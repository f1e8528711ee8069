"""The way of one request: permitted, placed, attempted, relayed.

One request is sent to one endpoint after another until an answer is whole,
as long as its route, its time limit and the retry budget allow.  What is
known of each attempt decides what may follow: one that surely didn't run may
go on elsewhere whatever the request; one that ran, or may have run, only if
the request is repeatable.
"""

import asyncio
import enum

import logbook
import msgspec
import xxhash

from ..decisions.modelchoice import SPARE_FACTOR, choose_first, choose_next
from ..decisions.sharedbudget import allow_retry
from ..decisions.silence import limit_first, limit_gap
from .endpoints import Endpoint
from .errors import BrokenError, ConnectError
from .events import EventSplitter, skip_known
from .exchange import Connection
from .ingress import Reply
from .messages import Arrival, Data, End, Head, Refusal
from .metrics import GatewayMetrics
from .placing import Placing
from .plan import Permit, Router
from .pool import Pool
from .retries import RecentSends
from .settings import GatewaySettings
from .translation import Translation

log = logbook.Logger("serving")

# A request that could not be sent anywhere within its limit is told to come
# back after this: about the time in which a restarted endpoint is back.
COME_BACK_SECONDS = 1.0

# What a repeat must have left: an endpoint's first event takes a few hundred
# milliseconds even when it is idle.
LEAST_LEFT_SECONDS = 0.1

USUAL_LIMIT_SECONDS = 30.0

# A caller that leaves the choice of the model to the router names this one.
ANY_MODEL = "*"

GOOD = range(200, 300)
FAILURES = range(500, 600)


# Another entry takes what comes to one that ends.
STOPPING = Refusal(status=503, reason="stopping", retry_after=0.3)


class Standing(enum.IntEnum):
    """What is known of whether a request has run, weakest first."""

    NOT_RUN = 0
    UNKNOWN = 1
    RAN = 2


class Delivered(msgspec.Struct, frozen=True):
    """The answer is with the caller, whole."""


class NotRun(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt surely didn't run and never will."""

    reason: str
    is_down: bool = False


class Lost(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt may have run; its answer can't be had."""

    reason: str


class Failed(msgspec.Struct, kw_only=True, frozen=True):
    """The endpoint answered with a failure of its own."""

    head: Head
    body: bytes


class Unsure(msgspec.Struct, kw_only=True, frozen=True):
    """The model holds little of its own answer; another is asked."""

    model: str
    confidence: int


Outcome = Delivered | NotRun | Lost | Failed | Unsure


class Job:
    """One request under way."""

    __slots__ = (
        "arrival",
        "attempts",
        "deadline",
        "expected",
        "failure",
        "fingerprint",
        "first_at",
        "model",
        "passed_over",
        "permit",
        "reading",
        "sent_at",
        "resume_after",
        "standing",
        "tried",
        "was_idle",
    )

    def __init__(self, *, arrival: Arrival, permit: Permit, deadline: float) -> None:
        self.arrival = arrival
        self.permit = permit
        self.deadline = deadline
        self.attempts = 0
        self.tried: list[str] = []
        self.standing = Standing.NOT_RUN
        self.failure: Failed | None = None
        self.resume_after = arrival.resume_after
        self.first_at: float | None = None
        self.sent_at = 0.0
        self.passed_over: set[str] = set()
        self.fingerprint = make_fingerprint(arrival, permit)
        self.model = arrival.model
        self.expected = 0.0
        self.reading = 0.0
        self.was_idle = False

    @property
    def is_repeatable(self) -> bool:
        """Tell whether it may run more than once."""
        return self.permit.route.is_repeatable

    @property
    def attempts_left(self) -> int:
        """Return to how many more endpoints it may be sent."""
        return self.permit.route.attempts - self.attempts

    def note(self, standing: Standing) -> None:
        """Take over what an attempt showed."""
        self.standing = max(self.standing, standing)

    @property
    def has_choice(self) -> bool:
        """Tell whether the router chooses the model."""
        return self.arrival.model == ANY_MODEL and bool(self.permit.route.models)


class Serving:
    """Serve requests."""

    __slots__ = (
        "_ends_at",
        "_loop",
        "_metrics",
        "_placing",
        "_pool",
        "_sends",
        "_settings",
        "_translation",
        "router",
    )

    def __init__(
        self,
        *,
        router: Router,
        placing: Placing,
        pool: Pool,
        translation: Translation,
        metrics: GatewayMetrics,
        settings: GatewaySettings,
    ) -> None:
        self.router = router
        self._placing = placing
        self._pool = pool
        self._translation = translation
        self._metrics = metrics
        self._settings = settings
        self._sends: dict[str, RecentSends] = {}
        self._loop = asyncio.get_running_loop()
        self._ends_at: float | None = None

    def take_settings(self, settings: GatewaySettings) -> None:
        """Take over changed settings."""
        self._settings = settings

    async def serve(self, *, arrival: Arrival, reply: Reply) -> None:
        """Answer one request."""
        self._metrics.arrived()
        verdict = self.router.permit(arrival)
        if isinstance(verdict, Refusal):
            await self._refuse(arrival, reply, verdict)
            return
        job = Job(
            arrival=arrival,
            permit=verdict,
            deadline=_find_deadline(arrival, verdict),
        )
        self._find_sends(verdict.service.name).note_request(self._loop.time())
        if job.has_choice:
            job.model = self._choose_model(job)
        if self._is_too_long(job):
            await self._refuse(arrival, reply, STOPPING)
            return
        try:
            async with asyncio.timeout_at(job.deadline):
                await self._run(job, reply)
        except TimeoutError:
            await self._end_late(job, reply)
        except asyncio.CancelledError:
            self._note_end(job, "caller_gone")
            raise

    def stop_at(self, time: float) -> None:
        """Refuse from now on what wouldn't end by a time of the loop."""
        self._ends_at = time

    def _is_too_long(self, job: Job) -> bool:
        """Tell whether a request would be cut by the end of this process."""
        if self._ends_at is None:
            return False
        expected = self._placing.estimate_longest(job)
        return self._loop.time() + expected * SPARE_FACTOR > self._ends_at

    def _choose_model(self, job: Job) -> str:
        route = job.permit.route
        return choose_first(
            models=route.models,
            attempts=route.attempts,
            is_repeatable=route.is_repeatable and not job.resume_after,
            objective=route.objective,
            left=job.deadline - self._loop.time(),
            estimate=lambda one: self._placing.estimate(job, one),
        )

    async def _run(self, job: Job, reply: Reply) -> None:
        while True:
            placed = await self._placing.place(job)
            if isinstance(placed, Refusal):
                await self._conclude(job, reply, placed)
                return
            outcome = await self._attempt(job, placed, reply)
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
            self._find_sends(job.permit.service.name).note_repeat(self._loop.time())
            again = self.router.permit(job.arrival)
            if isinstance(again, Refusal):
                await self._conclude(job, reply, again)
                return

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
        if not self._has_budget(job):
            return _refuse_unserved("retry budget spent")
        return None

    def _has_budget(self, job: Job) -> bool:
        counts = self._find_sends(job.permit.service.name).count(self._loop.time())
        return allow_retry(
            requests=counts.requests,
            repeats=counts.repeats,
            ratio=self._settings.retry_ratio,
            slack=self._settings.retry_slack,
            entries=self._placing.entries,
        )

    async def _attempt(self, job: Job, endpoint: Endpoint, reply: Reply) -> Outcome:
        connection: Connection | None = None
        job.tried.append(endpoint.name)
        job.passed_over.add(endpoint.name)
        job.attempts += 1
        job.sent_at = self._loop.time()
        self._placing.begin(job, endpoint)
        try:
            connection = await self._pool.take(endpoint=endpoint, now=self._loop.time())
            self._send(job, endpoint, connection)
            outcome = await self._listen(job, endpoint, connection, reply)
        except ConnectError as error:
            return NotRun(reason=str(error), is_down=True)
        except BrokenError as error:
            return Lost(reason=str(error))
        finally:
            self._placing.end(job, endpoint)
            if connection is not None:
                self._pool.release(endpoint=endpoint, connection=connection)
        return outcome

    def _send(self, job: Job, endpoint: Endpoint, connection: Connection) -> None:
        arrival = job.arrival
        connection.is_kept = False
        connection.is_repeatable = job.is_repeatable
        headers = self._translation.encode_request(
            arrival=arrival,
            endpoint=endpoint.name,
            organisation=job.permit.organisation_name,
            left=job.deadline - self._loop.time(),
            resume_after=job.resume_after,
            model=job.model,
            priority=None,
        )
        connection.send(
            method=arrival.method,
            target=arrival.target,
            headers=headers,
            body=arrival.body,
        )

    async def _listen(
        self, job: Job, endpoint: Endpoint, connection: Connection, reply: Reply
    ) -> Outcome:
        """Relay an answer, and give up an endpoint that stays silent."""
        limit = None
        if job.is_repeatable and job.attempts_left:
            limit = limit_first(
                expected=job.expected, has_prompt=bool(job.arrival.tokens_in)
            )
        try:
            async with asyncio.timeout(limit) as patience:
                return await self._relay(job, endpoint, connection, reply, patience)
        except TimeoutError:
            if not patience.expired():
                raise
            return Lost(reason="silent for too long")

    async def _relay(
        self,
        job: Job,
        endpoint: Endpoint,
        connection: Connection,
        reply: Reply,
        patience: asyncio.Timeout,
    ) -> Outcome:
        response = await connection.read()
        head = self._translation.decode_head(
            status=response.status_code,
            reason=response.reason.decode("latin-1"),
            pairs=[
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in response.headers.raw_items()
            ],
        )
        self._placing.note_head(job, endpoint, head)
        self._placing.note_first(job, endpoint)
        if head.not_run:
            await self._read_body(connection)
            self._keep(endpoint, connection, head)
            return NotRun(reason=f"status {head.status}")
        if head.attempt and head.attempt != job.arrival.id:
            return Lost(reason=f"an answer to {head.attempt}")
        if head.status in GOOD and not head.is_whole:
            return Lost(reason="a success without its stamp")
        unsure = self._find_unsure(job, head, reply)
        if unsure is not None:
            return unsure
        if head.status in GOOD and head.is_event_stream:
            return await self._relay_events(
                job, endpoint, connection, head, reply, patience
            )
        body = await self._read_body(connection)
        self._keep(endpoint, connection, head)
        if head.status in FAILURES:
            return Failed(head=head, body=body)
        await self._deliver(job, reply, head, body)
        return Delivered()

    def _find_unsure(self, job: Job, head: Head, reply: Reply) -> Unsure | None:
        """Return which model to ask instead, if this one is unsure.

        Its answer is dropped only while the caller has none of it, another
        attempt is left, and the budget of repeats has room.
        """
        if head.status not in GOOD or reply.is_begun or not job.is_repeatable:
            return None
        if not job.has_choice or not job.attempts_left:
            return None
        objective = job.permit.route.objective
        model = choose_next(
            models=job.permit.route.models,
            model=job.model,
            confidence=head.confidence,
            objective=objective,
            left=job.deadline - self._loop.time(),
            estimate=lambda one: self._placing.estimate(job, one),
        )
        if model is None or not self._has_budget(job):
            return None
        return Unsure(model=model, confidence=head.confidence)

    async def _read_body(self, connection: Connection) -> bytes:
        pieces = []
        while True:
            piece = await connection.read()
            match piece:
                case Data(data=data):
                    pieces.append(data)
                case End():
                    return b"".join(pieces)

    async def _deliver(self, job: Job, reply: Reply, head: Head, body: bytes) -> None:
        self._note_first(job)
        headers = [one for one in head.headers if one[0].lower() != "content-length"]
        headers.append(("Content-Length", str(len(body))))
        await reply.begin(
            status=head.status, reason=head.reason, headers=tuple(headers), data=body
        )
        reply.finish()

    async def _relay_events(
        self,
        job: Job,
        endpoint: Endpoint,
        connection: Connection,
        head: Head,
        reply: Reply,
        patience: asyncio.Timeout,
    ) -> Outcome:
        gap = limit_gap(wanted=job.permit.route.gap)
        splitter = EventSplitter(last=job.resume_after)
        resumed = reply.is_begun
        while True:
            if patience.when() is not None:
                patience.reschedule(self._loop.time() + gap)
            piece = await connection.read()
            match piece:
                case End():
                    break
                case Data(data=data):
                    events = splitter.feed(data)
            if events is None:
                continue
            data = events.data
            if resumed:
                data = skip_known(data, last=job.resume_after)
            await self._pass_events(job, reply, head, data)
            job.resume_after = events.last
        if splitter.rest:
            return Lost(reason="a stream that ended within an event")
        if not reply.is_begun:
            if not job.resume_after:
                return Lost(reason="a stream without any event")
            # The caller had all events already, but not the end.
            await self._pass_events(job, reply, head, b"")
        reply.finish()
        self._keep(endpoint, connection, head)
        return Delivered()

    async def _pass_events(
        self, job: Job, reply: Reply, head: Head, data: bytes
    ) -> None:
        if reply.is_begun:
            if data:
                await reply.write(data)
            return
        self._note_first(job)
        await reply.begin(
            status=head.status, reason=head.reason, headers=head.headers, data=data
        )

    def _keep(self, endpoint: Endpoint, connection: Connection, head: Head) -> None:
        connection.is_kept = True
        self._pool.give_back(
            endpoint=endpoint, connection=connection, head=head, now=self._loop.time()
        )

    def _note_first(self, job: Job) -> None:
        job.first_at = self._loop.time()

    def _note_outcome(self, job: Job, endpoint: Endpoint, outcome: Outcome) -> None:
        """Learn from an attempt; what it shows of the endpoint goes to placing."""
        match outcome:
            case Delivered():
                self._note_answer(job, endpoint, failed=False)
                self._placing.note_whole(job)
                self._note_end(job, "answered")
                return
            case Unsure(confidence=confidence):
                reason = f"confidence {confidence}"
                job.note(Standing.RAN)
                self._note_answer(job, endpoint, failed=False)
            case NotRun(reason=reason, is_down=is_down):
                self._placing.note_not_run(job, endpoint, is_down=is_down)
            case Lost(reason=reason):
                job.note(Standing.UNKNOWN)
                self._placing.note_lost(job, endpoint)
            case Failed(head=head):
                reason = f"status {head.status}"
                job.note(Standing.RAN)
                job.failure = outcome
                self._note_answer(job, endpoint, failed=True)
        log.info(
            "serving: attempt {} of {} at {} {}: {}: {}",
            job.attempts,
            job.arrival.id,
            endpoint.name,
            endpoint.version,
            type(outcome).__name__,
            reason,
        )

    def _note_answer(self, job: Job, endpoint: Endpoint, *, failed: bool) -> None:
        first_at = job.first_at or self._loop.time()
        self._placing.note_answer(
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
            await self._deliver(job, reply, head, job.failure.body)
            return
        if job.standing is not Standing.NOT_RUN:
            # It may have run: 503 would promise that it hasn't.
            refusal = Refusal(status=502, reason=refusal.reason)
        await self._refuse(job.arrival, reply, refusal)

    async def _end_late(self, job: Job, reply: Reply) -> None:
        """Answer a request whose time is over."""
        if reply.is_over:
            return
        if reply.is_begun:
            self._note_end(job, "broken_off", "time limit")
            reply.abort()
            return
        status = 503 if job.attempts == 0 else 504
        await self._refuse(
            job.arrival,
            reply,
            Refusal(status=status, reason="time limit", retry_after=COME_BACK_SECONDS),
        )

    async def _refuse(self, arrival: Arrival, reply: Reply, refusal: Refusal) -> None:
        self._metrics.ended(f"status_{refusal.status}")
        log.info(
            "serving: {} {} refused {}: {}; configuration {}",
            arrival.id,
            arrival.path,
            refusal.status,
            refusal.reason,
            self.router.version,
        )
        await reply.refuse(refusal)

    def _note_end(self, job: Job, end: str, reason: str = "") -> None:
        now = self._loop.time()
        self._metrics.ended(end)
        if job.first_at is not None:
            self._metrics.took(job.first_at - job.arrival.arrived, "first")
        self._metrics.took(now - job.arrival.arrived, "whole")
        log.info(
            "serving: {} {} by {} after {:.3f} s, first {:.3f} s, attempts {} {}",
            job.arrival.id,
            end,
            ",".join(job.tried),
            now - job.arrival.arrived,
            (job.first_at or now) - job.arrival.arrived,
            job.attempts,
            reason,
        )

    def _find_sends(self, service: str) -> RecentSends:
        sends = self._sends.get(service)
        if sends is None:
            sends = RecentSends(seconds=self._settings.retry_window_seconds)
            self._sends[service] = sends
        return sends


def make_fingerprint(arrival: Arrival, permit: Permit) -> str:
    """Return what the same request has in common each time it comes."""
    digest = xxhash.xxh3_64()
    for text in (arrival.method, arrival.target, permit.organisation_name):
        digest.update(text.encode() + b"\0")
    digest.update(arrival.body)
    return digest.hexdigest()


def _find_deadline(arrival: Arrival, permit: Permit) -> float:
    limit = permit.route.timeout or USUAL_LIMIT_SECONDS
    if arrival.patience is not None:
        limit = min(limit, arrival.patience)
    return arrival.arrived + limit


def _refuse_unserved(reason: str) -> Refusal:
    return Refusal(status=503, reason=reason, retry_after=COME_BACK_SECONDS)
