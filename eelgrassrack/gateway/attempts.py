"""One attempt of a request: sent to an endpoint, its answer relayed."""

import asyncio
from collections.abc import Callable

from ..decisions.modelchoice import choose_next
from ..decisions.timeouts import find_first_timeout, find_gap_timeout
from .connection import Connection
from .endpoints import Endpoint
from .errors import BrokenError, ConnectError
from .events import EventSplitter, skip_known
from .job import Delivered, Failed, Job, Lost, NotRun, Outcome, Unsure
from .messages import Data, End, ResponseHead
from .metrics import GatewayMetrics
from .placing import Placer
from .pool import ConnectionPool
from .reply import Reply
from .translation import Translation

GOOD = range(200, 300)
FAILURES = range(500, 600)


class Attempts:
    """Make attempts; `may_repeat` tells whether the budget has another."""

    __slots__ = (
        "_loop",
        "_may_repeat",
        "_metrics",
        "_placer",
        "_pool",
        "_translation",
    )

    def __init__(
        self,
        *,
        placer: Placer,
        pool: ConnectionPool,
        translation: Translation,
        metrics: GatewayMetrics,
        may_repeat: Callable[[Job], bool],
    ) -> None:
        self._metrics = metrics
        self._placer = placer
        self._pool = pool
        self._translation = translation
        self._may_repeat = may_repeat
        self._loop = asyncio.get_running_loop()

    async def run(self, job: Job, endpoint: Endpoint, reply: Reply) -> Outcome:
        """Send a request to an endpoint and relay what comes back."""
        connection: Connection | None = None
        job.tried.append(endpoint.name)
        job.passed_over.add(endpoint.name)
        job.attempts += 1
        job.sent_at = self._loop.time()
        self._placer.begin(job, endpoint)
        try:
            connection = await self._pool.take(endpoint=endpoint, now=self._loop.time())
            if connection.is_unused and not self._placer.may_send(job, endpoint):
                # Nothing was sent, so this is no attempt.
                job.attempts -= 1
                return NotRun(reason="was taken out meanwhile")
            self._send(job, endpoint, connection)
            outcome = await self._listen(job, endpoint, connection, reply)
        except ConnectError as error:
            # Nothing reached the endpoint.  Counted, a request that meets three
            # crashed endpoints would be refused though others are idle.
            job.attempts -= 1
            return NotRun(reason=str(error), is_down=True)
        except BrokenError as error:
            self._pool.check(endpoint=endpoint, note_down=self._placer.health.note_down)
            return Lost(reason=str(error))
        except asyncio.CancelledError:
            if connection is None:
                # Its time was over before anything was sent.
                job.attempts -= 1
            self._note_silence(job, endpoint)
            raise
        finally:
            self._placer.end(job, endpoint)
            if connection is not None:
                self._count_bytes(endpoint, connection)
                self._pool.release(endpoint=endpoint, connection=connection)
        return outcome

    def _count_bytes(self, endpoint: Endpoint, connection: Connection) -> None:
        if not self._placer.is_near(endpoint):
            self._metrics.count_crossed(connection.sent, "requests")
            self._metrics.count_crossed(connection.received, "answers")

    def _note_silence(self, job: Job, endpoint: Endpoint) -> None:
        """Learn from an attempt that was ended before anything came back.

        What may not be repeated waits until its time limit.  An endpoint that
        takes such requests and says nothing, while its health is fine, would get
        the next one as well, and its caller would wait as long for nothing.
        """
        if not job.reading:
            return
        longest = find_first_timeout(
            expected=job.expected, has_prompt=bool(job.arrival.tokens_in)
        )
        if self._loop.time() > job.sent_at + longest:
            self._placer.health.note_silent(endpoint)

    def _send(self, job: Job, endpoint: Endpoint, connection: Connection) -> None:
        arrival = job.arrival
        self._placer.note_sent(job, endpoint)
        connection.is_kept = False
        # With no attempt left a silent endpoint is better than none.
        connection.is_repeatable = job.is_repeatable and bool(job.attempts_left)
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

    async def _listen(
        self, job: Job, endpoint: Endpoint, connection: Connection, reply: Reply
    ) -> Outcome:
        """Relay an answer, and give up an endpoint that stays silent."""
        limit = None
        if job.is_repeatable and job.attempts_left:
            limit = find_first_timeout(
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
        head = await self._read_head(connection)
        if head.attempt and head.attempt != job.arrival.id:
            return Lost(reason=f"an answer to {head.attempt}")
        if head.not_run:
            await self._read_body(connection)
            self._keep(endpoint, connection, head)
            return NotRun(reason=f"status {head.status}")
        if head.status in GOOD and not head.is_whole:
            return Lost(reason="a success without its stamp")
        if head.status in GOOD:
            # A refusal or a failure takes no time to read: learned from, it would
            # make the endpoint look fast, and its model.
            self._placer.note_first(job, endpoint)
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
        await self.deliver(job, reply, head, body)
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

    def _find_unsure(self, job: Job, head: ResponseHead, reply: Reply) -> Unsure | None:
        """Return which model to ask instead, if this one is unsure.

        Its answer is dropped only while the caller has none of it, another
        attempt is left, and the budget of repeats has room.
        """
        if head.status not in GOOD or reply.is_begun or not job.is_repeatable:
            return None
        if not job.has_choice or not job.attempts_left:
            return None
        objective = job.permit.route.objective
        job.confidence = head.confidence
        model = choose_next(
            models=job.permit.route.models,
            model=job.model,
            confidence=head.confidence,
            objective=objective,
            remaining=job.deadline - self._loop.time(),
            estimate=lambda one: self._placer.estimate(job, one),
        )
        if model is None or not self._may_repeat(job):
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

    async def deliver(
        self, job: Job, reply: Reply, head: ResponseHead, body: bytes
    ) -> None:
        """Give the caller an endpoint's answer whole, with its length."""
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
        head: ResponseHead,
        reply: Reply,
        patience: asyncio.Timeout,
    ) -> Outcome:
        gap = find_gap_timeout(wanted=job.permit.route.gap)
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
        self, job: Job, reply: Reply, head: ResponseHead, data: bytes
    ) -> None:
        now = self._loop.time()
        gap = now - job.passed_at
        job.passed_at = now
        if reply.is_begun:
            job.longest_gap = max(job.longest_gap, gap)
            if data:
                await reply.write(data)
            return
        self._note_first(job)
        await reply.begin(
            status=head.status, reason=head.reason, headers=head.headers, data=data
        )

    def _keep(
        self, endpoint: Endpoint, connection: Connection, head: ResponseHead
    ) -> None:
        connection.is_kept = True
        self._pool.give_back(
            endpoint=endpoint, connection=connection, head=head, now=self._loop.time()
        )

    def _note_first(self, job: Job) -> None:
        job.first_at = self._loop.time()
