"""Send one attempt of a request to an endpoint and relay the response."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import logbook

from ...decisions.heldbytes import HeldBytes, Holding
from ...decisions.modelchoice import choose_next
from ...decisions.timeouts import find_first_timeout, find_gap_timeout
from ..endpoints.connection import Connection
from ..endpoints.endpoint import Endpoint
from ..endpoints.placing import Placer
from ..endpoints.pool import ConnectionPool
from ..errors import (
    BrokenError,
    CallerGoneError,
    ConnectError,
    EndlessError,
    MemoryFullError,
    NoDescriptorError,
    SilentError,
)
from ..metrics import GatewayMetrics
from .events import EVENT_END, Events, EventSplitter, find_later, skip_delivered
from .holding import hold_more
from .job import Delivered, Failed, Job, Lost, NotRun, Outcome, Unsure
from .messages import Data, End, ResponseHead, RouteKind
from .reply import Reply
from .retries import RetryBudget
from .silence import SilenceTimer
from .translation import Translation

log = logbook.Logger("attempts")

SUCCESS_STATUSES = range(200, 300)
FAILURE_STATUSES = range(500, 600)


class AttemptRunner:
    """Run attempts of requests.

    `held` counts what responses hold until they are complete.  `may_abandon` returns
    whether a job may leave its endpoint for another, and then reserves the retry for it
    too.
    """

    __slots__ = (
        "_held",
        "_loop",
        "_may_abandon",
        "_metrics",
        "_placer",
        "_pool",
        "_retry_budget",
        "_translation",
    )

    def __init__(
        self,
        *,
        placer: Placer,
        pool: ConnectionPool,
        translation: Translation,
        metrics: GatewayMetrics,
        retry_budget: RetryBudget,
        held: HeldBytes,
        may_abandon: Callable[[Job], bool],
    ) -> None:
        self._held = held
        self._metrics = metrics
        self._placer = placer
        self._pool = pool
        self._translation = translation
        self._retry_budget = retry_budget
        self._may_abandon = may_abandon
        self._loop = asyncio.get_running_loop()

    async def run(self, job: Job, endpoint: Endpoint, reply: Reply) -> Outcome:
        """Send a request to an endpoint, relay the response and return the outcome.

        Raise `CallerGoneError` if the caller closes its connection, and
        `NoDescriptorError` if this process can't open one.
        """
        connection: Connection | None = None
        outcome: Outcome | None = None
        kind = job.permit.route.kind
        reply.note_offered(runs_to_end=kind is RouteKind.NON_IDEMPOTENT)
        job.tried.append(endpoint.name)
        job.excluded.add(endpoint.name)
        job.attempts += 1
        job.sent_at = self._loop.time()
        job.told = None
        job.stretch = 1.0
        job.first_piece_seconds = 0.0
        job.trial_attempt = None
        self._placer.begin(job, endpoint)
        try:
            connection = await self._pool.acquire(
                endpoint=endpoint, now=self._loop.time()
            )
            if self._is_taken_out(job, endpoint, connection):
                # Nothing was sent, so this does not count as an attempt.
                job.attempts -= 1
                return NotRun(
                    reason="was taken out meanwhile",
                    wants_rest=self._placer.wishes.is_resting(endpoint),
                )
            self._send(job, endpoint, connection)
            outcome = await self._receive(job, endpoint, connection, reply)
        except ConnectError as error:
            # Nothing reached the endpoint, so this does not count as an attempt.
            # Otherwise three crashed endpoints would use up a request's attempts
            # while other endpoints are idle.
            job.attempts -= 1
            if error.is_refused:
                return NotRun(reason=str(error), is_down=True)
            self._pool.check(endpoint)
            return NotRun(reason=str(error), is_unreachable=True)
        except NoDescriptorError:
            # Nothing reached the endpoint here either.
            job.attempts -= 1
            raise
        except EndlessError as error:
            return Lost(reason=str(error), is_endless=True)
        except MemoryFullError as error:
            return Lost(reason=str(error), is_blameless=True)
        except BrokenError as error:
            self._placer.guard.note_broken(endpoint)
            self._pool.check(endpoint)
            return Lost(reason=str(error))
        except asyncio.CancelledError:
            if connection is None:
                # The deadline passed before anything was sent.
                job.attempts -= 1
            self._note_silence(job, endpoint)
            raise
        except CallerGoneError:
            raise
        except Exception as error:
            # Another endpoint may serve the request, if it may be repeated.
            log.exception("attempts: {} at {} failed", job.arrival.id, endpoint.name)
            return Lost(reason=f"unexpected: {type(error).__name__}")
        finally:
            self._placer.end(job, endpoint, outcome)
            self._placer.guard.note_end(
                job,
                has_run=not isinstance(outcome, NotRun),
                is_whole=isinstance(outcome, Delivered),
            )
            if connection is not None:
                self._count_bytes(endpoint, connection)
                self._pool.release(endpoint=endpoint, connection=connection)
        return outcome

    def _is_taken_out(
        self, job: Job, endpoint: Endpoint, connection: Connection
    ) -> bool:
        """Return whether a request may not be sent any more, once it could be.

        Opening a connection takes time, in which its endpoint may have been taken out.
        """
        if self._placer.guard.find_refusal(job) is not None:
            return True
        return connection.is_unused and not self._placer.may_send(job, endpoint)

    def _count_bytes(self, endpoint: Endpoint, connection: Connection) -> None:
        if not self._placer.is_near(endpoint):
            self._metrics.count_crossed(connection.sent, "requests")
            self._metrics.count_crossed(connection.received, "answers")

    def _note_silence(self, job: Job, endpoint: Endpoint) -> None:
        """Report an endpoint that sent nothing before the attempt was cancelled.

        A request that isn't repeatable waits for its endpoint until the deadline.
        Without this report an endpoint that passes its health checks but never
        answers such requests would keep receiving them, and each caller would
        wait in vain.
        """
        if not job.reading_seconds:
            return
        timeout = find_first_timeout(
            expected=job.expected_seconds, has_prompt=bool(job.arrival.tokens_in)
        )
        if self._loop.time() > job.sent_at + timeout:
            self._placer.health.note_overdue_answer(endpoint)

    def _send(self, job: Job, endpoint: Endpoint, connection: Connection) -> None:
        arrival = job.arrival
        self._placer.note_sent(job, endpoint)
        connection.is_kept = False
        connection.may_abandon = lambda: self._may_abandon(job)
        headers = self._translation.encode_request(
            arrival=arrival,
            endpoint=endpoint.name,
            organisation=job.permit.organisation_name,
            remaining=job.deadline - self._loop.time(),
            resume_after=job.resume_after,
            model=job.model,
            priority=job.urgency if arrival.tokens_in else None,
        )
        connection.send(
            method=arrival.method,
            target=arrival.target,
            headers=headers,
            body=arrival.body,
        )
        self._retry_budget.use(job)

    async def _receive(
        self, job: Job, endpoint: Endpoint, connection: Connection, reply: Reply
    ) -> Outcome:
        """Relay the response; abandon an endpoint that stays silent for too long."""
        silence = SilenceTimer(
            connection=connection,
            confirm=lambda: self._pool.has_witness(endpoint),
            is_enabled=job.is_repeatable and bool(job.attempts_left),
        )
        silence.start(
            find_first_timeout(
                expected=job.expected_seconds,
                has_prompt=bool(job.arrival.tokens_in),
                reading=job.reading_seconds,
                objective=job.permit.route.objective,
            )
        )
        try:
            return await self._relay(job, endpoint, connection, reply, silence)
        except SilentError as error:
            return Lost(reason=str(error))
        finally:
            silence.stop()

    async def _relay(
        self,
        job: Job,
        endpoint: Endpoint,
        connection: Connection,
        reply: Reply,
        silence: SilenceTimer,
    ) -> Outcome:
        head = await self._read_head(connection)
        self._placer.note_head(job, endpoint, head)
        if head.attempt and head.attempt != job.arrival.id:
            return Lost(reason=f"an answer to {head.attempt}")
        if head.not_run:
            async with self._hold_body(connection):
                pass
            self._return_connection(endpoint, connection, head)
            return NotRun(
                reason=describe_refusal(head), wants_rest=head.rest is not None
            )
        if head.status in SUCCESS_STATUSES and not head.is_whole:
            return Lost(reason="a success without its stamp")
        if head.status in SUCCESS_STATUSES:
            # Only successes count: a refusal or failure comes without reading the
            # prompt and would make the endpoint and its model look fast.
            self._placer.note_first_byte(job, endpoint)
        escalation = self._find_escalation(job, head, reply)
        if escalation is not None:
            return escalation
        if head.status in SUCCESS_STATUSES and head.is_event_stream:
            return await self._relay_events(
                job, endpoint, connection, head, reply, silence
            )
        if reply.is_started and head.status not in FAILURE_STATUSES:
            return Lost(reason=f"status {head.status}, which resumes no stream")
        async with self._hold_body(connection) as body:
            silence.stop()
            if head.status in FAILURE_STATUSES:
                self._return_connection(endpoint, connection, head)
                return Failed(head=head, body=body)
            await self.deliver(job, reply, head, body)
        # Not earlier: the next request would use the connection while this attempt
        # still holds it and, when it ends, releases it.
        self._return_connection(endpoint, connection, head)
        return Delivered()

    async def _read_head(self, connection: Connection) -> ResponseHead:
        response = await connection.read()
        return self._translation.decode_head(
            status=response.status_code,
            reason=response.reason.decode("latin-1"),
            pairs=[
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in response.headers.raw_items()
            ],
        )

    def _find_escalation(
        self, job: Job, head: ResponseHead, reply: Reply
    ) -> Unsure | None:
        """Return the model to escalate to if this one's confidence is low.

        The response is dropped only if the caller has received none of it, another
        attempt is left, the retry budget allows one and the request isn't held back.
        """
        if (
            head.status not in SUCCESS_STATUSES
            or reply.is_started
            or not job.is_repeatable
        ):
            return None
        if not job.has_choice or not job.attempts_left:
            return None
        objective = job.permit.route.objective
        job.confidence = head.confidence
        if self._placer.guard.is_held(job):
            return None
        model = choose_next(
            models=job.permit.route.models,
            model=job.model,
            confidence=head.confidence,
            objective=objective,
            remaining=job.deadline - self._loop.time(),
            estimate=lambda name: self._placer.estimate(job, name),
        )
        if model is None or not self._retry_budget.reserve(job):
            return None
        return Unsure(model=model, confidence=head.confidence)

    @contextlib.asynccontextmanager
    async def _hold_body(self, connection: Connection) -> AsyncIterator[bytes]:
        """Yield a whole body, which is held until it is delivered.

        Raise `EndlessError` if it is too long.
        """
        holding = self._held.open(most=self._held.bounds.answer)
        try:
            yield await self._read_held(connection, holding)
        finally:
            holding.release()

    async def _read_held(self, connection: Connection, holding: Holding) -> bytes:
        body = bytearray()
        while True:
            piece = await connection.read()
            match piece:
                case Data(data=data):
                    hold_more(holding, len(data))
                    body += data
                case End():
                    return bytes(body)

    async def deliver(
        self, job: Job, reply: Reply, head: ResponseHead, body: bytes
    ) -> None:
        """Send the caller a complete response with its `Content-Length`."""
        self._note_first_byte(job)
        headers = [pair for pair in head.headers if pair[0].lower() != "content-length"]
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
        head: ResponseHead,
        reply: Reply,
        silence: SilenceTimer,
    ) -> Outcome:
        holding = self._held.open(most=self._held.bounds.event)
        splitter = EventSplitter(holding=holding, last_id=job.resume_after)
        try:
            await self._forward_stream(job, connection, head, reply, silence, splitter)
        finally:
            holding.release()
        if splitter.has_pending:
            raise BrokenError("a stream that ended within an event")
        if not reply.is_started:
            if not job.resume_after:
                return Lost(reason="a stream without any event")
            # The caller has every event already and lacks only the end of the stream.
            await self._forward_events(job, reply, head, b"")
        reply.finish()
        self._return_connection(endpoint, connection, head)
        return Delivered()

    async def _forward_stream(
        self,
        job: Job,
        connection: Connection,
        head: ResponseHead,
        reply: Reply,
        silence: SilenceTimer,
        splitter: EventSplitter,
    ) -> None:
        """Forward events as they are complete, until the endpoint ends the stream."""
        gap_timeout = find_gap_timeout(wanted=job.permit.route.gap)
        is_resumed = reply.is_started
        while True:
            silence.start(gap_timeout)
            piece = await connection.read()
            # While the caller reads slowly, the endpoint isn't the one that is late.
            silence.stop()
            match piece:
                case End():
                    return
                case Data(data=data):
                    self._placer.guard.note_event(job)
                    events = splitter.feed(data)
            if events is None:
                continue
            self._note_pieces(job, events)
            data, last_id = events.data, events.last_id
            if is_resumed:
                data = skip_delivered(data, last_id=job.resume_after)
                last_id = find_later(job.resume_after, last_id)
            await self._forward_events(job, reply, head, data)
            job.resume_after = last_id

    def _note_pieces(self, job: Job, events: Events) -> None:
        if job.trial_attempt is not None:
            count = events.data.count(EVENT_END)
            job.trial_attempt.times.note_pieces(count, now=self._loop.time())

    async def _forward_events(
        self, job: Job, reply: Reply, head: ResponseHead, data: bytes
    ) -> None:
        now = self._loop.time()
        gap = now - job.last_event_at
        job.last_event_at = now
        if reply.is_started:
            job.longest_gap = max(job.longest_gap, gap)
            if data:
                await reply.write(data)
            return
        self._note_first_byte(job)
        await reply.begin(
            status=head.status, reason=head.reason, headers=head.headers, data=data
        )

    def _return_connection(
        self, endpoint: Endpoint, connection: Connection, head: ResponseHead
    ) -> None:
        connection.is_kept = True
        self._pool.return_connection(
            endpoint=endpoint, connection=connection, head=head
        )

    def _note_first_byte(self, job: Job) -> None:
        job.first_at = self._loop.time()


def describe_refusal(head: ResponseHead) -> str:
    """Return a short reason for an attempt that an endpoint turned away."""
    if head.rest is None:
        return f"status {head.status}"
    return f"status {head.status}, asks for {head.rest:.3g} s of rest"
