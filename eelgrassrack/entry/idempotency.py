"""Requests that may not be repeated: at most one run for each key.

A claim in the object API stands before the first dispatch.  A resend that
finds it gets the first's answer, waits for it, or is told that the
outcome is unknown; it is run only after the agent that was given the first
vowed never to start it.
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
from .jobs import Dispatched, Job
from .observers import AttemptObserver
from .outcomes import judge_outcome
from .refusals import CallerError, report_unknown
from .requestclaim import RequestClaim

log = logbook.Logger("once")

Post = Callable[[str, object], None]

# The store may be away for long.  An outcome that isn't put on record is lost
# once the agent has forgotten the answer, and resends are told "unknown".
# With these it is tried for half an hour.
FINISH_TRIES = 200
FIRST_DELAY = 0.5
LONGEST_DELAY = 10.0

# An entry that stops waits so long for the outcomes that it still records.
STOP_SECONDS = 5.0

# Rounds against other entries that run resends of the same request.
MOST_ROUNDS = 8

CONFLICT = 409
UNPROCESSABLE = 422


class Free(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt of a claim can't start any more."""

    held: ExistingClaim


class IdempotentRunner:
    """Run a request at most once for each idempotency key."""

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
        """Run the job unless its key has been run, and return the outcome."""
        name = make_claim_name(
            organisation=job.organisation, operation=operation, key=key
        )
        request_claim = RequestClaim(
            claims=self._claims, name=name, entry=self._entry, job=job
        )
        for _ in range(MOST_ROUNDS):
            dispatched = await self._dispatcher.run(
                job=job, reserve=request_claim.reserve
            )
            if request_claim.held is None:
                return await self._end(request_claim, dispatched)
            verdict = await self._answer_resend(job, request_claim)
            if not isinstance(verdict, Free):
                return verdict
            request_claim.free(verdict.held)
        return _report_in_progress()

    async def stop(self) -> None:
        """Wait a little for the outcomes that are being recorded."""
        if not self._finishing:
            return
        _, late = await asyncio.wait(self._finishing, timeout=STOP_SECONDS)
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)

    async def _end(
        self, request_claim: RequestClaim, dispatched: Dispatched | CallerError
    ) -> Completed | CallerError:
        never_ran = isinstance(dispatched, CallerError) or isinstance(
            dispatched.outcome, NeverStarted
        )
        if never_ran:
            if request_claim.claim is not None:
                await request_claim.release()
            return judge_outcome(dispatched)
        await self._record(request_claim, dispatched.outcome)
        return _judge(dispatched.outcome)

    async def _record(self, request_claim: RequestClaim, outcome: Outcome) -> None:
        """Put an outcome on record; if the store is away, go on behind."""
        result = await _finish(request_claim, outcome)
        if not isinstance(result, ClaimUnavailable):
            return
        # The caller gets its answer now.  Until the record stands, a
        # resend learns from the agent that the attempt has started.
        task = asyncio.create_task(_keep_finishing(request_claim, outcome))
        self._finishing.add(task)
        task.add_done_callback(self._finishing.discard)

    async def _answer_resend(
        self, job: Job, request_claim: RequestClaim
    ) -> Completed | CallerError | Free:
        held = request_claim.held
        if not request_claim.is_same_request:
            return _refuse_reuse()
        match held.claim.state:
            case ClaimState.DONE if held.claim.answer_kept:
                return _read_answer(held)
            case ClaimState.DONE:
                return _report_not_kept()
            case ClaimState.RELEASED:
                return Free(held=held)
        outcome = await self._follow(job, held)
        match outcome:
            case NeverStarted():
                return Free(held=held)
            case Completed():
                request_claim.adopt(held)
                await self._record(request_claim, outcome)
        return _judge(outcome)

    async def _follow(self, job: Job, held: ExistingClaim) -> Outcome:
        """Learn from the agent what became of another entry's attempt."""
        claim = held.claim
        own = self._channels.find(claim.attempt)
        if own is not None:
            return await self._wait(own.outcome, job)
        endpoint = self._directory.find(claim.endpoint)
        if endpoint is None or endpoint.agent != claim.agent:
            # The only process that knew is gone.  To run the request again
            # could run it twice, so the caller is told the truth.
            return OutcomeUnknown(reason="the outcome of the first run is unknown")
        follower = AttemptObserver(
            attempt=claim.attempt,
            endpoint=claim.endpoint,
            agent=claim.agent,
            address=endpoint.address,
            deadline=job.deadline,
            now=self._loop.time(),
            post=self._post,
        )
        self._channels.add(follower)
        follower.ask(self._loop.time())
        try:
            return await follower.outcome
        finally:
            self._channels.remove(follower)

    async def _wait(self, outcome: asyncio.Future[Outcome], job: Job) -> Outcome:
        left = max(job.deadline - self._loop.time(), 0)
        try:
            async with asyncio.timeout(left):
                return await asyncio.shield(outcome)
        except TimeoutError:
            return OutcomeUnknown(reason="the first run has not ended")


async def _finish(request_claim: RequestClaim, outcome: Outcome) -> object:
    match outcome:
        case Completed(status=status, headers=fields, pieces=pieces):
            return await request_claim.finish(
                state=ClaimState.DONE,
                status=status,
                fields=fields,
                answer=b"".join(pieces),
            )
    # A connection that broke tells nothing of what the service did.
    return await request_claim.finish(state=ClaimState.UNKNOWN)


async def _keep_finishing(request_claim: RequestClaim, outcome: Outcome) -> None:
    delay = FIRST_DELAY
    for _ in range(FINISH_TRIES):
        await asyncio.sleep(delay)
        delay = min(delay * 2, LONGEST_DELAY)
        result = await _finish(request_claim, outcome)
        if not isinstance(result, ClaimUnavailable):
            return
    log.warning("once: the outcome of {} is not on record", request_claim.claim.attempt)


def _judge(outcome: Outcome) -> Completed | CallerError:
    """Return the answer; without one nobody knows what the service did."""
    if isinstance(outcome, AttemptFailed):
        return report_unknown(reason=outcome.reason)
    return judge_outcome(Dispatched(outcome=outcome))


def _read_answer(held: ExistingClaim) -> Completed:
    claim = held.claim
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
