"""Send one step of a request to an agent, and again where that is safe.

The dispatcher is the one layer that retries.  It picks an endpoint,
posts the start, waits for the outcome and lets the retry budget judge
whether another attempt may follow.
"""

import asyncio
from collections.abc import Callable

import logbook

from ..decisions.quarantine import RunAlone
from ..decisions.retries import GiveUp, Retry, RetryBudget
from ..decisions.retries import Outcome as Standing
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
from .jobs import Dispatched, Job, Placed, Reserve, build_start
from .meter import Meter
from .picker import Picker
from .refusals import CallerError, refuse_withdrawn
from .suspects import Suspects

log = logbook.Logger("dispatcher")

Post = Callable[[str, object], None]


class Dispatcher:
    """Place, start and follow attempts."""

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
        suspects: Suspects,
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
        keeps: bool = True,
        reserve: Reserve | None = None,
    ) -> Dispatched | CallerError:
        """Run one step; return how it ended or why it was never sent.

        `sink` gets the pieces as they come, `keeps` asks for them in the
        outcome.  `reserve` is awaited before each attempt is sent and may
        refuse it.
        """
        last = await self._try(job, sink, keeps, reserve)
        if not _has_run(last) and self._is_withdrawn(job):
            return refuse_withdrawn()
        return last

    async def _try(
        self, job: Job, sink: Sink | None, keeps: bool, reserve: Reserve | None
    ) -> Dispatched | CallerError:
        """Send attempts until one's end is to be told, or none can be sent."""
        tried: list[str] = []
        last: Dispatched | None = None
        while True:
            endpoint = self._picker.choose(job=job, tried=tried)
            standing = self._suspects.judge(fingerprint=job.fingerprint)
            refused = self._find_refusal(job, endpoint, standing)
            if refused is None:
                placed = self._place(endpoint)
                refused = await reserve(placed) if reserve else None
            if refused is not None:
                # What an earlier attempt came to is the truth to be told:
                # "not run" would be false if that one had started.
                return refused if last is None else last
            alone = isinstance(standing, RunAlone)
            channel = self._start(job, placed, sink, keeps, alone)
            outcome = await self._follow(channel, endpoint)
            self._note_suspect(job, outcome, placed, alone)
            tried.append(endpoint.name)
            last = _select_result(last, Dispatched(outcome=outcome, placed=placed))
            if not self._may_retry(job, outcome, channel, len(tried)):
                return last
            self._meter.note_retry()

    def _find_refusal(
        self, job: Job, endpoint: EndpointRecord | CallerError, standing: object
    ) -> CallerError | None:
        """Return why no attempt is sent now, if none is."""
        if self._is_withdrawn(job):
            return refuse_withdrawn()
        found = (one for one in (endpoint, standing) if isinstance(one, CallerError))
        return next(found, None)

    def _is_withdrawn(self, job: Job) -> bool:
        """Tell whether a job's version was withdrawn since the job was made."""
        current = self._find_snapshot()
        return bool(job.version) and not current.is_active(version=job.version)

    def _place(self, endpoint: EndpointRecord) -> Placed:
        return Placed(
            attempt=self._identity.make_attempt(),
            endpoint=endpoint.name,
            agent=endpoint.agent,
            address=endpoint.address,
        )

    def _start(
        self,
        job: Job,
        placed: Placed,
        sink: Sink | None,
        keeps: bool,
        alone: bool,
    ) -> Channel:
        now = self._loop.time()
        self._assert_permitted(job)
        channel = Channel(
            attempt=placed.attempt,
            endpoint=placed.endpoint,
            agent=placed.agent,
            address=placed.address,
            deadline=job.deadline,
            now=now,
            post=self._post,
            sink=sink,
            keeps=keeps,
            repeatable=job.repeatable,
        )
        self._channels.add(channel)
        start = build_start(job=job, placed=placed, now=now, alone=alone)
        self._post(placed.address, start)
        if alone:
            self._suspects.begin_trial(fingerprint=job.fingerprint)
        return channel

    def _note_suspect(
        self, job: Job, outcome: Outcome, placed: Placed, alone: bool
    ) -> None:
        """Heed a crash at once; the agent's own report may come later."""
        match outcome:
            case AttemptFailed(finish=Finish.ENGINE_CRASHED):
                self._suspects.take_crash(
                    Crash(
                        endpoint=placed.endpoint,
                        fingerprints=(job.fingerprint,),
                        alone=alone,
                    )
                )
        if alone:
            self._suspects.end_trial(fingerprint=job.fingerprint)

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
                # The caller went away: nobody waits for the answer.
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
                standing = Standing.NOT_STARTED
            case AttemptFailed(finish=Finish.DEADLINE | Finish.CANCELLED):
                return False
            case AttemptFailed():
                standing = Standing.FAILED
            case OutcomeUnknown():
                standing = Standing.UNKNOWN
        verdict = self._budget.judge(
            outcome=standing,
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
                log.debug("dispatcher: {} given up: {}", channel.attempt, reason)
                return False


# Refusals that another endpoint would give as well.
FINAL_REFUSALS = frozenset(
    {Refusal.WITHDRAWN, Refusal.QUARANTINED, Refusal.DEADLINE, Refusal.CANCELLED}
)


def _select_result(last: Dispatched | None, new: Dispatched) -> Dispatched:
    """Return which of two attempts' ends is true of the whole step.

    An attempt that failed is followed by another one, and that one may be
    refused.  Its "not run" is true of itself only: the caller would be told
    so of a request that has run, which shows at the engines' logs.
    """
    is_refused = isinstance(new.outcome, NeverStarted)
    if is_refused and last is not None and not isinstance(last.outcome, NeverStarted):
        return last
    return new


def _has_run(end: Dispatched | CallerError) -> bool:
    """Tell whether a step has run, or may have."""
    if isinstance(end, CallerError):
        return end.run is not Run.NOT_RUN
    return not isinstance(end.outcome, NeverStarted)
