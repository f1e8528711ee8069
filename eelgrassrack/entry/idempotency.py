"""Runs requests that aren't repeatable at most once per idempotency key.

A claim is written to the object API before the first dispatch.  A resend that
finds the claim gets the answer of the first run, waits for it, or is told that
the outcome is unknown.  It runs only after the agent of the first run has
guaranteed with a tombstone that it will never start that one.
"""

import asyncio
from collections.abc import Callable

import logbook
import msgspec

from ..store.claim import ClaimState, make_claim_name
from ..store.claims import Claims, ClaimUnavailable, ExistingClaim
from .channels import (
    AttemptFailed,
    Channels,
    Completed,
    NeverStarted,
    Outcome,
    OutcomeUnknown,
)
from .directory import Directory
from .dispatcher import Dispatcher
from .headers import Run
from .jobs import DispatchResult, Job
from .observers import AttemptObserver
from .outcomes import judge_outcome
from .refusals import CallerError, report_unknown
from .requestclaim import RequestClaim

log = logbook.Logger("once")

Post = Callable[[str, object], None]

# The store may be unavailable for long.  An outcome that isn't recorded is lost once
# the agent has discarded the answer, and resends are then told "unknown".  These
# retries continue for half an hour.
RECORD_TRIES = 200
FIRST_DELAY_SECONDS = 0.5
MAX_DELAY_SECONDS = 10.0

# A stopping entry waits this long for the outcomes that it is still recording.
STOP_SECONDS = 5.0

# Limit on tries to take over the claim while other entries do so for resends of the
# same request.
MAX_ROUNDS = 8

CONFLICT = 409
UNPROCESSABLE = 422


class ClaimAvailable(msgspec.Struct, kw_only=True, frozen=True):
    """A claim that may be taken over, because its attempt never starts."""

    existing: ExistingClaim


class IdempotentRunner:
    """Runs a request at most once per idempotency key."""

    __slots__ = (
        "_channels",
        "_claims",
        "_directory",
        "_dispatcher",
        "_entry",
        "_finishing",
        "_loop",
        "_post",
    )

    def __init__(
        self,
        *,
        channels: Channels,
        claims: Claims,
        directory: Directory,
        dispatcher: Dispatcher,
        entry: str,
        post: Post,
    ) -> None:
        self._channels = channels
        self._claims = claims
        self._directory = directory
        self._dispatcher = dispatcher
        self._entry = entry
        self._finishing: set[asyncio.Task] = set()
        self._loop = asyncio.get_running_loop()
        self._post = post

    async def run(
        self, *, job: Job, operation: str, key: str
    ) -> Completed | CallerError:
        """Run the job unless its key was used; return the answer or an error."""
        name = make_claim_name(
            organisation=job.organisation, operation=operation, key=key
        )
        request_claim = RequestClaim(
            claims=self._claims, name=name, entry=self._entry, job=job
        )
        for _ in range(MAX_ROUNDS):
            result = await self._dispatcher.run(job=job, reserve=request_claim.reserve)
            if request_claim.existing is None:
                return await self._end(request_claim, result)
            verdict = await self._answer_resend(job, request_claim)
            if not isinstance(verdict, ClaimAvailable):
                return verdict
            request_claim.allow_takeover(verdict.existing)
        return _report_in_progress()

    async def stop(self) -> None:
        """Wait up to `STOP_SECONDS` for outcomes that are being recorded."""
        if not self._finishing:
            return
        _, late = await asyncio.wait(self._finishing, timeout=STOP_SECONDS)
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)

    async def _end(
        self, request_claim: RequestClaim, result: DispatchResult | CallerError
    ) -> Completed | CallerError:
        never_ran = isinstance(result, CallerError) or isinstance(
            result.outcome, NeverStarted
        )
        if never_ran:
            if request_claim.claim is not None:
                await request_claim.release()
            return judge_outcome(result)
        await self._record(request_claim, result.outcome)
        return _judge(result.outcome)

    async def _record(self, request_claim: RequestClaim, outcome: Outcome) -> None:
        """Record an outcome, with retries in the background if that fails."""
        result = await _write_outcome(request_claim, outcome)
        if not isinstance(result, ClaimUnavailable):
            return
        # The caller gets its answer now.  Until the outcome is recorded, a
        # resend learns from the agent that the attempt has started.
        task = asyncio.create_task(_retry_recording(request_claim, outcome))
        self._finishing.add(task)
        task.add_done_callback(self._finishing.discard)

    async def _answer_resend(
        self, job: Job, request_claim: RequestClaim
    ) -> Completed | CallerError | ClaimAvailable:
        existing = request_claim.existing
        if not request_claim.is_same_request:
            return _refuse_reuse()
        match existing.claim.state:
            case ClaimState.DONE if existing.claim.answer_kept:
                return _read_answer(existing)
            case ClaimState.DONE:
                return _report_not_kept()
            case ClaimState.RELEASED:
                return ClaimAvailable(existing=existing)
        outcome = await self._follow(job, existing)
        match outcome:
            case NeverStarted():
                return ClaimAvailable(existing=existing)
            case Completed():
                request_claim.adopt(existing)
                await self._record(request_claim, outcome)
        return _judge(outcome)

    async def _follow(self, job: Job, existing: ExistingClaim) -> Outcome:
        """Return the outcome of the attempt that an existing claim names.

        If another entry dispatched it, the outcome comes from the agent.
        """
        claim = existing.claim
        channel = self._channels.find(claim.attempt)
        if channel is not None:
            return await self._wait(channel.outcome, job)
        endpoint = self._directory.find(claim.endpoint)
        if endpoint is None or endpoint.agent != claim.agent:
            # The only process that knew the outcome is gone.  A second run could
            # repeat the request's effect, so the outcome is reported as unknown.
            return OutcomeUnknown(reason="the outcome of the first run is unknown")
        observer = AttemptObserver(
            attempt=claim.attempt,
            endpoint=claim.endpoint,
            agent=claim.agent,
            address=endpoint.address,
            deadline=job.deadline,
            now=self._loop.time(),
            post=self._post,
        )
        self._channels.add(observer)
        observer.ask(self._loop.time())
        try:
            return await observer.outcome
        finally:
            self._channels.remove(observer)

    async def _wait(self, outcome: asyncio.Future[Outcome], job: Job) -> Outcome:
        remaining = max(job.deadline - self._loop.time(), 0)
        try:
            async with asyncio.timeout(remaining):
                return await asyncio.shield(outcome)
        except TimeoutError:
            return OutcomeUnknown(reason="the first run has not ended")


async def _write_outcome(request_claim: RequestClaim, outcome: Outcome) -> object:
    match outcome:
        case Completed(status=status, headers=fields, pieces=pieces):
            return await request_claim.finish(
                state=ClaimState.DONE,
                status=status,
                fields=fields,
                answer=b"".join(pieces),
            )
    # A broken connection doesn't show what the service did.
    return await request_claim.finish(state=ClaimState.UNKNOWN)


async def _retry_recording(request_claim: RequestClaim, outcome: Outcome) -> None:
    delay = FIRST_DELAY_SECONDS
    for _ in range(RECORD_TRIES):
        await asyncio.sleep(delay)
        delay = min(delay * 2, MAX_DELAY_SECONDS)
        result = await _write_outcome(request_claim, outcome)
        if not isinstance(result, ClaimUnavailable):
            return
    log.warning("once: the outcome of {} is not on record", request_claim.claim.attempt)


def _judge(outcome: Outcome) -> Completed | CallerError:
    """Return the answer, or that the outcome is unknown if there is none."""
    if isinstance(outcome, AttemptFailed):
        return report_unknown(reason=outcome.reason)
    return judge_outcome(DispatchResult(outcome=outcome))


def _read_answer(existing: ExistingClaim) -> Completed:
    claim = existing.claim
    return Completed(
        attempt=claim.attempt,
        pieces=(claim.answer,),
        status=claim.status,
        headers=claim.headers,
        bill=None,
    )


def _refuse_reuse() -> CallerError:
    return CallerError(
        status=UNPROCESSABLE,
        code="idempotency_key_reused",
        text="Another request was sent under this Idempotency-Key.",
    )


def _report_not_kept() -> CallerError:
    return CallerError(
        status=CONFLICT,
        code="answer_not_kept",
        text="The request ran before; its answer was too large to keep.",
        run=Run.RAN,
    )


def _report_in_progress() -> CallerError:
    return report_unknown(reason="other resends of the request are under way")
