"""A simulated entry: admission, placement by lagging reports, and retries."""

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

from .calls import Call, End, Job
from .endpoint import Endpoint, Report, count_own
from .events import Timeline
from .rules import PlacementRule, Rules

# Agents report each second, and a report is under way for a moment.
BEAT_SECONDS = 1.0
LAG_SECONDS = 0.05

# Seconds of the network one way.
NEAR_SECONDS = 0.0005

# Without an endpoint callers are told to come back after so long.
NO_ENDPOINT_RETRY = 2.0

# The retries that a new entry may make, as at the real one.
RETRY_FLOOR = 10.0

NOT_RUN = "not run"


class Entry:
    """One entry in a failure domain."""

    def __init__(
        self,
        *,
        timeline: Timeline,
        domain: str,
        endpoints: Sequence[Endpoint],
        rules: Rules,
        dice: random.Random,
        ramp_seconds: float = 30.0,
    ) -> None:
        self._timeline = timeline
        self._rules = rules
        self._dice = dice
        self._endpoints = {one.name: one for one in endpoints}
        self._reports = {one.name: (0.0, one.report()) for one in endpoints}
        self._local = dict.fromkeys(self._endpoints, 0)
        self._weights: dict[str, float] = {}
        self._admission = Admission()
        self._placement = Placement(domain=domain)
        self._budget = RetryBudget(ratio=Limits().retry_ratio, floor=RETRY_FLOOR)
        self._ramp = DomainRamp(seconds=ramp_seconds)
        self._domains = {one.domain: True for one in endpoints}
        self._turns = itertools.count(dice.randrange(1_000))
        for one in endpoints:
            self._beat(one)

    def receive(
        self, call: Call, done: Callable[[Job, End, float], None], within: float
    ) -> None:
        """Admit and place a call, or refuse it."""
        now = self._timeline.now
        job = Job(call=call, sent=now, deadline=now + within, done=done)
        if not self._rules.admits_all:
            match self._judge(call, within):
                case Refused(retry_after=seconds):
                    done(job, End.REFUSED, seconds)
                    return
                case Admitted():
                    pass
        self._send(job)

    def note_domain(self, *, domain: str, is_in: bool) -> None:
        """Take over whether a failure domain is in."""
        self._domains[domain] = is_in
        self._ramp.note_state(domain=domain, is_in=is_in, now=self._timeline.now)

    def _beat(self, endpoint: Endpoint) -> None:
        def hear(report: Report, made: float) -> None:
            self._reports[endpoint.name] = made, report

        def beat() -> None:
            report, made = endpoint.report(), self._timeline.now
            self._timeline.after(LAG_SECONDS, lambda: hear(report, made))
            self._timeline.after(BEAT_SECONDS, beat)

        self._timeline.after(self._dice.random() * BEAT_SECONDS, beat)

    def _judge(self, call: Call, within: float) -> Admitted | Refused:
        reports = [
            self._reports[name][1]
            for name, one in self._endpoints.items()
            if self._domains[one.domain]
        ]
        return self._admission.judge(
            arrival=Arrival(
                organisation=call.organisation.name,
                priority=call.organisation.priority,
                tokens=call.asked,
                within=within,
                usual=call.within,
            ),
            organisation=call.organisation,
            backlog=self._sum_backlog(call, reports),
            now=self._timeline.now,
            chance=self._dice.random(),
        )

    def _sum_backlog(self, call: Call, reports: list[Report]) -> Backlog:
        tokens = sum(report.queued_tokens for report in reports)
        drain = sum(report.drain for report in reports)
        if not self._rules.knows_own:
            return Backlog(tokens=tokens, drain=drain)
        name = call.organisation.name
        self._weights[name] = call.organisation.weight
        keys = set().union(*(report.own for report in reports))
        waiting = {key for key in keys if isinstance(key, str)} | {name}
        return Backlog(
            tokens=tokens,
            drain=drain,
            own=sum(
                count_own(report.own, name, tokens=call.asked, within=call.within)
                for report in reports
            ),
            weights=sum(self._weights.get(one, 1.0) for one in waiting),
        )

    def _send(self, job: Job) -> None:
        chosen = self._choose(job)
        if chosen is None:
            self._end(job, End.REFUSED, NO_ENDPOINT_RETRY)
            return
        job.endpoint = chosen
        job.tries += 1
        self._local[chosen] += 1
        self._placement.note_sent(endpoint=chosen)
        endpoint = self._endpoints[chosen]
        self._timeline.after(NEAR_SECONDS, lambda: endpoint.offer(job, self._take))

    def _choose(self, job: Job) -> str | None:
        now = self._timeline.now
        candidates = [
            self._describe(one, now)
            for one in self._endpoints.values()
            if self._domains[one.domain] and self._reports[one.name][1].engine_up
        ]
        fresh = [one for one in candidates if one.name != job.endpoint] or candidates
        if not fresh:
            return None
        match self._rules.placement:
            case PlacementRule.ROUND_ROBIN:
                return fresh[next(self._turns) % len(fresh)].name
            case PlacementRule.RANDOM:
                return self._dice.choice(fresh).name
            case PlacementRule.LEAST:
                return min(fresh, key=lambda one: one.running + one.queued).name
            case PlacementRule.PINNED if job.call.affinity is not None:
                return max(fresh, key=lambda one: _hash(job.call.affinity, one)).name
        chosen = self._placement.choose(
            candidates=self._ramp_up(fresh),
            affinity=job.call.affinity,
            chances=(self._dice.random(), self._dice.random()),
            now=now,
        )
        return None if isinstance(chosen, NoCandidate) else chosen.name

    def _ramp_up(self, candidates: list[Candidate]) -> list[Candidate]:
        if not self._rules.ramps:
            return candidates
        admitting = self._ramp.select(
            domains=frozenset(one.domain for one in candidates),
            chance=self._dice.random(),
            now=self._timeline.now,
        )
        return [one for one in candidates if one.domain in admitting]

    def _describe(self, endpoint: Endpoint, now: float) -> Candidate:
        made, report = self._reports[endpoint.name]
        return Candidate(
            name=endpoint.name,
            domain=endpoint.domain,
            running=report.running,
            queued=report.queued,
            window=report.window,
            reported_age=now - made,
            latency=NEAR_SECONDS,
            local=self._local[endpoint.name],
        )

    def _take(self, job: Job, word: str) -> None:
        """Heed an agent's word on a job."""
        now = self._timeline.now
        self._local[job.endpoint] -= 1
        began = job.started if job.started is not None else now
        if word in (NOT_RUN, "late"):
            self._placement.note_abandoned(endpoint=job.endpoint)
        else:
            self._placement.note_finished(
                endpoint=job.endpoint,
                succeeded=word == "whole",
                seconds=began + job.call.prefill - job.sent,
                now=now,
            )
        match word:
            case "whole":
                self._budget.note_success()
                self._end(job, End.WHOLE, 0.0)
            case "late":
                self._end(job, End.LATE, 0.0)
            case _:
                self._retry(job, word)

    def _retry(self, job: Job, word: str) -> None:
        outcome = Outcome.NOT_STARTED if word == NOT_RUN else Outcome.FAILED
        last = End.REFUSED if word == NOT_RUN and not job.runs else End.FAILED
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
        self._end(job, last, NO_ENDPOINT_RETRY)

    def _end(self, job: Job, end: End, retry_after: float) -> None:
        if not self._rules.admits_all:
            self._admission.release(organisation=job.call.organisation.name)
        job.done(job, end, retry_after)


def _hash(key: str, one: Candidate) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{one.name}".encode())
