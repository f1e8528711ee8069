"""A simulated entry: admission, placement by delayed reports, and retries."""

import itertools
import random
from collections.abc import Callable, Sequence

import xxhash

from eelgrassrack.decisions.admission import (
    Admission,
    Admitted,
    Arrival,
    Backlog,
    Refused,
)
from eelgrassrack.decisions.candidate import Candidate
from eelgrassrack.decisions.domains import DomainRamp
from eelgrassrack.decisions.placement import NoCandidate, Placement
from eelgrassrack.decisions.retries import Outcome, Retry, RetryBudget
from eelgrassrack.document.sections import Limits

from .calls import Call, Job, SendOutcome
from .endpoint import LoadReport, SimulatedEndpoint, count_own_ahead
from .events import Timeline
from .rules import PlacementRule, Rules

# Agents report each second, and a report takes this long to arrive.
REPORT_INTERVAL_SECONDS = 1.0
REPORT_LAG_SECONDS = 0.05

# The one-way network latency between an entry and an endpoint.
NETWORK_SECONDS = 0.0005

# The retry time given to callers when no endpoint is available.
NO_ENDPOINT_RETRY_SECONDS = 2.0

# The retries that a new entry may make before any success, as in the product.
RETRY_FLOOR = 10.0

NOT_RUN = "not run"


class SimulatedEntry:
    """An entry in a failure domain that uses the decision modules or simple rules."""

    def __init__(
        self,
        *,
        timeline: Timeline,
        domain: str,
        endpoints: Sequence[SimulatedEndpoint],
        rules: Rules,
        rng: random.Random,
        ramp_seconds: float = 30.0,
    ) -> None:
        self._timeline = timeline
        self._rules = rules
        self._rng = rng
        self._endpoints = {one.name: one for one in endpoints}
        self._reports = {one.name: (0.0, one.report()) for one in endpoints}
        self._in_flight = dict.fromkeys(self._endpoints, 0)
        self._weights: dict[str, float] = {}
        self._admission = Admission()
        self._placement = Placement(domain=domain)
        self._budget = RetryBudget(ratio=Limits().retry_ratio, floor=RETRY_FLOOR)
        self._ramp = DomainRamp(seconds=ramp_seconds)
        self._domains = {one.domain: True for one in endpoints}
        self._round_robin = itertools.count(rng.randrange(1_000))
        for one in endpoints:
            self._schedule_reports(one)

    def receive(
        self,
        call: Call,
        on_done: Callable[[Job, SendOutcome, float], None],
        within: float,
    ) -> None:
        """Admit and place a call, or refuse it."""
        now = self._timeline.now
        job = Job(call=call, sent=now, deadline=now + within, on_done=on_done)
        if not self._rules.admits_all:
            match self._decide_admission(call, within):
                case Refused(retry_after=seconds):
                    on_done(job, SendOutcome.REFUSED, seconds)
                    return
                case Admitted():
                    pass
        self._send(job)

    def note_domain(self, *, domain: str, is_in: bool) -> None:
        """Apply a change of a failure domain's state."""
        self._domains[domain] = is_in
        self._ramp.note_state(domain=domain, is_in=is_in, now=self._timeline.now)

    def _schedule_reports(self, endpoint: SimulatedEndpoint) -> None:
        def receive(report: LoadReport, made: float) -> None:
            self._reports[endpoint.name] = made, report

        def send() -> None:
            report, made = endpoint.report(), self._timeline.now
            self._timeline.after(REPORT_LAG_SECONDS, lambda: receive(report, made))
            self._timeline.after(REPORT_INTERVAL_SECONDS, send)

        self._timeline.after(self._rng.random() * REPORT_INTERVAL_SECONDS, send)

    def _decide_admission(self, call: Call, within: float) -> Admitted | Refused:
        reports = [
            self._reports[name][1]
            for name, one in self._endpoints.items()
            if self._domains[one.domain]
        ]
        return self._admission.judge(
            arrival=Arrival(
                organisation=call.organisation.name,
                priority=call.organisation.priority,
                tokens=call.requested_tokens,
                within=within,
                usual=call.within,
            ),
            organisation=call.organisation,
            backlog=self._sum_backlog(call, reports),
            now=self._timeline.now,
            chance=self._rng.random(),
        )

    def _sum_backlog(self, call: Call, reports: list[LoadReport]) -> Backlog:
        tokens = sum(report.queued_tokens for report in reports)
        drain = sum(report.drain for report in reports)
        if not self._rules.separates_own:
            return Backlog(tokens=tokens, drain=drain)
        name = call.organisation.name
        self._weights[name] = call.organisation.weight
        keys = set().union(*(report.queued_by_organisation for report in reports))
        waiting = {key for key in keys if isinstance(key, str)} | {name}
        return Backlog(
            tokens=tokens,
            drain=drain,
            own=sum(
                count_own_ahead(
                    report.queued_by_organisation,
                    name,
                    tokens=call.requested_tokens,
                    within=call.within,
                )
                for report in reports
            ),
            weights=sum(self._weights.get(one, 1.0) for one in waiting),
        )

    def _send(self, job: Job) -> None:
        chosen = self._choose(job)
        if chosen is None:
            self._end(job, SendOutcome.REFUSED, NO_ENDPOINT_RETRY_SECONDS)
            return
        job.endpoint = chosen
        job.tries += 1
        self._in_flight[chosen] += 1
        self._placement.note_sent(endpoint=chosen)
        endpoint = self._endpoints[chosen]
        self._timeline.after(
            NETWORK_SECONDS, lambda: endpoint.offer(job, self._handle_result)
        )

    def _choose(self, job: Job) -> str | None:
        now = self._timeline.now
        candidates = [
            self._describe(one, now)
            for one in self._endpoints.values()
            if self._domains[one.domain] and self._reports[one.name][1].engine_up
        ]
        preferred = [
            one for one in candidates if one.name != job.endpoint
        ] or candidates
        if not preferred:
            return None
        match self._rules.placement:
            case PlacementRule.ROUND_ROBIN:
                return preferred[next(self._round_robin) % len(preferred)].name
            case PlacementRule.RANDOM:
                return self._rng.choice(preferred).name
            case PlacementRule.LEAST:
                return min(preferred, key=lambda one: one.running + one.queued).name
            case PlacementRule.PINNED if job.call.affinity is not None:
                return max(
                    preferred, key=lambda one: _score(job.call.affinity, one)
                ).name
        chosen = self._placement.choose(
            candidates=self._ramp_up(preferred),
            affinity=job.call.affinity,
            chances=(self._rng.random(), self._rng.random()),
            now=now,
        )
        return None if isinstance(chosen, NoCandidate) else chosen.name

    def _ramp_up(self, candidates: list[Candidate]) -> list[Candidate]:
        if not self._rules.ramps:
            return candidates
        admitting = self._ramp.select(
            domains=frozenset(one.domain for one in candidates),
            chance=self._rng.random(),
            now=self._timeline.now,
        )
        return [one for one in candidates if one.domain in admitting]

    def _describe(self, endpoint: SimulatedEndpoint, now: float) -> Candidate:
        made, report = self._reports[endpoint.name]
        return Candidate(
            name=endpoint.name,
            domain=endpoint.domain,
            running=report.running,
            queued=report.queued,
            window=report.window,
            reported_age=now - made,
            latency=NETWORK_SECONDS,
            local=self._in_flight[endpoint.name],
        )

    def _handle_result(self, job: Job, result: str) -> None:
        """Handle the result of a job that an agent reported."""
        now = self._timeline.now
        self._in_flight[job.endpoint] -= 1
        began = job.started if job.started is not None else now
        if result in (NOT_RUN, "late"):
            self._placement.note_abandoned(endpoint=job.endpoint)
        else:
            self._placement.note_finished(
                endpoint=job.endpoint,
                succeeded=result == "whole",
                seconds=began + job.call.prefill - job.sent,
                now=now,
            )
        match result:
            case "whole":
                self._budget.note_success()
                self._end(job, SendOutcome.WHOLE, 0.0)
            case "late":
                self._end(job, SendOutcome.LATE, 0.0)
            case _:
                self._retry(job, result)

    def _retry(self, job: Job, result: str) -> None:
        outcome = Outcome.NOT_STARTED if result == NOT_RUN else Outcome.FAILED
        last = (
            SendOutcome.REFUSED
            if result == NOT_RUN and not job.runs
            else SendOutcome.FAILED
        )
        within = job.deadline - self._timeline.now
        if self._rules.retries_freely:
            is_tried = within > 0 and job.tries < Limits().attempts
        else:
            verdict = self._budget.judge(
                outcome=outcome,
                repeatable=True,
                first_byte_sent=False,
                tries=job.tries,
                most_tries=Limits().attempts,
                within=within,
            )
            is_tried = isinstance(verdict, Retry)
        if is_tried:
            self._send(job)
            return
        self._end(job, last, NO_ENDPOINT_RETRY_SECONDS)

    def _end(self, job: Job, end: SendOutcome, retry_after: float) -> None:
        if not self._rules.admits_all:
            self._admission.release(organisation=job.call.organisation.name)
        job.on_done(job, end, retry_after)


def _score(key: str, one: Candidate) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{one.name}".encode())
