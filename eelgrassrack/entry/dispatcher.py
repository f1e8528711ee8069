"""Dispatches a step of a request to an agent, with retries where they are safe.

The dispatcher is the only layer that retries.  It picks an endpoint, sends
the start, waits for the outcome and asks the retry budget whether another
attempt may follow.
"""

import asyncio
from collections.abc import Callable

import logbook

from ..decisions.quarantine import RunAlone
from ..decisions.retries import GiveUp, Retry, RetryBudget
from ..decisions.retries import Outcome as RetryOutcome
from ..document.snapshot import Snapshot
from ..invariants import Invariants, Promise
from ..mailbox.messages import Crash, Finish, Refusal
from .channels import (
    AttemptFailed,
    Channel,
    Channels,
    Completed,
    NeverStarted,
    Outcome,
    OutcomeUnknown,
    Sink,
)
from .directory import EndpointRecord
from .headers import Run
from .identity import Identity
from .jobs import AttemptTarget, DispatchResult, Job, Reserve, build_start
from .meter import Meter
from .picker import Picker
from .refusals import CallerError, refuse_withdrawn
from .suspects import SuspectRequests

log = logbook.Logger("dispatcher")

Post = Callable[[str, object], None]


class Dispatcher:
    """Picks endpoints for attempts, starts them and waits for their outcomes."""

    __slots__ = (
        "_budget",
        "_channels",
        "_find_snapshot",
        "_identity",
        "_invariants",
        "_loop",
        "_picker",
        "_post",
        "_suspects",
        "_meter",
    )

    def __init__(
        self,
        *,
        channels: Channels,
        find_snapshot: Callable[[], Snapshot],
        identity: Identity,
        budget: RetryBudget,
        invariants: Invariants,
        meter: Meter,
        picker: Picker,
        post: Post,
        suspects: SuspectRequests,
    ) -> None:
        self._meter = meter
        self._suspects = suspects
        self._channels = channels
        self._find_snapshot = find_snapshot
        self._identity = identity
        self._budget = budget
        self._invariants = invariants
        self._picker = picker
        self._post = post
        self._loop = asyncio.get_running_loop()

    async def run(
        self,
        *,
        job: Job,
        sink: Sink | None = None,
        keeps_pieces: bool = True,
        reserve: Reserve | None = None,
    ) -> DispatchResult | CallerError:
        """Run one step; return its outcome, or why it was never sent.

        `sink` receives the pieces as they arrive, `keeps_pieces` puts them into
        the outcome.  `reserve` is awaited before each attempt is sent and may
        refuse it.
        """
        last = await self._run_attempts(job, sink, keeps_pieces, reserve)
        if not _has_run(last) and self._is_withdrawn(job):
            return refuse_withdrawn()
        return last

    async def _run_attempts(
        self, job: Job, sink: Sink | None, keeps_pieces: bool, reserve: Reserve | None
    ) -> DispatchResult | CallerError:
        """Send attempts until one isn't retried or no more can be sent."""
        tried: list[str] = []
        last: DispatchResult | None = None
        while True:
            endpoint = self._picker.choose(job=job, tried=tried)
            verdict = self._suspects.judge(fingerprint=job.fingerprint, parts=job.parts)
            refusal = self._find_refusal(job, endpoint, verdict)
            if refusal is None:
                target = self._make_target(endpoint)
                refusal = await reserve(target) if reserve else None
            if refusal is not None:
                # An earlier attempt may have started, so its result is returned and not
                # the refusal, which says "not run".
                return refusal if last is None else last
            alone = isinstance(verdict, RunAlone)
            channel = self._start(job, target, sink, keeps_pieces, alone)
            outcome = await self._follow(channel, endpoint)
            self._report_outcome(job, outcome, target, alone)
            tried.append(endpoint.name)
            last = _select_result(last, DispatchResult(outcome=outcome, target=target))
            if not self._may_retry(job, outcome, channel, len(tried)):
                return last
            self._meter.note_retry()

    def _find_refusal(
        self, job: Job, endpoint: EndpointRecord | CallerError, verdict: object
    ) -> CallerError | None:
        """Return why no attempt may be sent now, or None."""
        if self._is_withdrawn(job):
            return refuse_withdrawn()
        found = (each for each in (endpoint, verdict) if isinstance(each, CallerError))
        return next(found, None)

    def _is_withdrawn(self, job: Job) -> bool:
        """Return whether the job's version was withdrawn after its creation."""
        current = self._find_snapshot()
        return bool(job.version) and not current.is_active(version=job.version)

    def _make_target(self, endpoint: EndpointRecord) -> AttemptTarget:
        return AttemptTarget(
            attempt=self._identity.make_attempt(),
            endpoint=endpoint.name,
            agent=endpoint.agent,
            address=endpoint.address,
        )

    def _start(
        self,
        job: Job,
        target: AttemptTarget,
        sink: Sink | None,
        keeps_pieces: bool,
        alone: bool,
    ) -> Channel:
        now = self._loop.time()
        self._assert_permitted(job)
        channel = Channel(
            attempt=target.attempt,
            endpoint=target.endpoint,
            agent=target.agent,
            address=target.address,
            deadline=job.deadline,
            now=now,
            post=self._post,
            sink=sink,
            keeps_pieces=keeps_pieces,
            repeatable=job.repeatable,
        )
        self._channels.add(channel)
        start = build_start(job=job, target=target, now=now, alone=alone)
        self._post(target.address, start)
        if alone:
            self._suspects.begin_trial(fingerprint=job.fingerprint, parts=job.parts)
        return channel

    def _report_outcome(
        self, job: Job, outcome: Outcome, target: AttemptTarget, alone: bool
    ) -> None:
        """Report a crash now, because the agent's own report may arrive later.

        An answer shows that the request is harmless.
        """
        match outcome:
            case Completed():
                self._suspects.note_answer(parts=job.parts)
            case AttemptFailed(finish=Finish.ENGINE_CRASHED):
                self._suspects.take_crash(
                    Crash(
                        endpoint=target.endpoint,
                        fingerprints=(job.fingerprint,),
                        alone=alone,
                        parts=job.parts,
                    )
                )
        if alone:
            self._suspects.end_trial(fingerprint=job.fingerprint, parts=job.parts)

    def _assert_permitted(self, job: Job) -> None:
        if not job.version:
            return
        organisation = job.snapshot.organisations[job.organisation]
        self._invariants.check(
            Promise.PERMITTED,
            job.snapshot.allows(organisation=organisation, version=job.version),
            f"{job.organisation} to {job.version}",
        )
        self._invariants.check(
            Promise.WITHDRAWN,
            job.snapshot.is_active(version=job.version),
            f"{job.version} at revision {job.snapshot.revision}",
        )

    async def _follow(self, channel: Channel, endpoint: EndpointRecord) -> Outcome:
        began = self._loop.time()
        self._picker.note_sent(endpoint)
        outcome: Outcome | None = None
        try:
            outcome = await channel.outcome
        finally:
            self._channels.remove(channel)
            if outcome is None:
                # The caller has disconnected, so nobody waits for the answer.
                channel.cancel(self._loop.time())
            self._picker.note_end(
                endpoint=endpoint,
                outcome=outcome,
                first_at=channel.first_at,
                began=began,
            )
        return outcome

    def _may_retry(
        self, job: Job, outcome: Outcome, channel: Channel, tries: int
    ) -> bool:
        match outcome:
            case Completed():
                self._budget.note_success()
                return False
            case NeverStarted(refusal=refusal):
                if refusal in FINAL_REFUSALS:
                    return False
                kind = RetryOutcome.NOT_STARTED
            case AttemptFailed(finish=Finish.DEADLINE | Finish.CANCELLED):
                return False
            case AttemptFailed():
                kind = RetryOutcome.FAILED
            case OutcomeUnknown():
                kind = RetryOutcome.UNKNOWN
        verdict = self._budget.judge(
            outcome=kind,
            repeatable=job.repeatable,
            first_byte_sent=channel.has_delivered,
            tries=tries,
            most_tries=job.snapshot.limits.attempts,
            within=channel.deadline - self._loop.time(),
        )
        match verdict:
            case Retry():
                return True
            case GiveUp(reason=reason):
                log.debug(
                    "dispatcher: no retry after {} of {} bytes: {}",
                    channel.attempt,
                    job.size,
                    reason,
                )
                return False


# Refusals that any other endpoint would repeat.
FINAL_REFUSALS = frozenset(
    {
        Refusal.WITHDRAWN,
        Refusal.QUARANTINED,
        Refusal.DEADLINE,
        Refusal.CANCELLED,
        Refusal.BODY_INCOMPLETE,
    }
)


def _select_result(last: DispatchResult | None, new: DispatchResult) -> DispatchResult:
    """Return which of two attempts' results is the result of the step.

    If an attempt fails after its start and its retry is refused, the refusal
    says "not run" of the retry only.  The caller must not be told this of the
    request, which has run and appears in the engine's log.
    """
    is_refused = isinstance(new.outcome, NeverStarted)
    if is_refused and last is not None and not isinstance(last.outcome, NeverStarted):
        return last
    return new


def _has_run(result: DispatchResult | CallerError) -> bool:
    """Return whether a step has run or may have run."""
    if isinstance(result, CallerError):
        return result.run is not Run.NOT_RUN
    return not isinstance(result.outcome, NeverStarted)
