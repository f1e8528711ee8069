"""Choose endpoints for requests and track the load of each.

An endpoint is chosen by its expected wait, from this gateway's own requests and the
load that peers report.
"""

import asyncio
import contextlib
import itertools
import math
from collections.abc import Callable, Collection

import logbook

from ...decisions.answertimes import AnswerTimes
from ...decisions.engines import (
    EngineCandidate,
    EngineChoice,
    choose_engine,
)
from ...decisions.fairshare import Usage, UsageReport
from ...decisions.modelchoice import Estimate
from ...decisions.pace import Pace, PaceReport
from ...decisions.precedence import Sharer
from ...decisions.rest import may_wait
from ..peers.roommessages import RoomMessage
from ..peers.updatemessages import Audience, EndpointReport, PeerUpdate
from ..requests.job import Job, NotRun, Outcome, Placement
from ..requests.messages import Refusal, ResponseHead
from ..requests.prompts import (
    estimate_answer_tokens,
    estimate_reading,
    find_affinity,
    find_cost,
    find_prompt_urgency,
)
from ..requests.queryguard import QueryGuard
from ..settings import GatewaySettings
from ..versions.attempt import VersionAttempt
from ..versions.rollouts import Rollouts
from .coldlimits import ColdLimits
from .endpoint import Endpoint
from .endpointlimits import EndpointLimits
from .endpointreports import PeerReports, detect_slow, report_endpoints
from .endpointstate import EndpointState
from .fleet import Fleet
from .limitwait import LimitWait
from .passivehealth import PassiveHealthCheck
from .selection import EndpointSelector
from .wishes import EndpointWishes

log = logbook.Logger("placing")

# An endpoint with less than this to read counts as idle: the time to its first token
# then measures how fast its model reads.
IDLE_BACKLOG_SECONDS = 0.01


# Peers learn at once of a prompt that takes this long to read: a short one that comes
# to the same endpoint would wait for its first token until the long one is read.
LONG_READING_SECONDS = 0.2

# A change of an endpoint's reported pace by this part of it is logged.
NOTABLE_CHANGE = 0.25

# How often a request checks for a free endpoint while all of them rest, or are cold and
# at their limit.
POLL_SECONDS = 0.05


NO_ENDPOINT = Refusal(status=503, reason="no endpoint", retry_after=1.0)


class Placer:
    """Choose endpoints and track the requests that run on them.

    `heavy` are the organisations whose prompts are deprioritised, `health` learns
    from the outcomes of attempts which endpoints fail, `guard` which requests crash
    them, `wishes` from their answers which want no requests, and `limits` how many
    those in need take.  `list_sharers` returns the other gateways that share the common
    limits, or None while they aren't known, and `list_peer_updates` the latest update
    of each peer.  `tell_peers` sends them this gateway's soon, `tell_peer` one of them
    a message.
    """

    __slots__ = (
        "_cold",
        "_merged_at",
        "_fleet",
        "_has_peer_updates",
        "_list_peer_updates",
        "_list_sharers",
        "_loop",
        "_pace",
        "_peer_reports",
        "_rollouts",
        "_selector",
        "_settings",
        "_tell_peers",
        "_usage",
        "guard",
        "health",
        "heavy",
        "limits",
        "wishes",
    )

    def __init__(
        self,
        *,
        fleet: Fleet,
        rollouts: Rollouts,
        settings: GatewaySettings,
        list_sharers: Callable[[], tuple[Sharer, ...] | None],
        list_peer_updates: Callable[[], tuple[PeerUpdate, ...]],
        tell_peers: Callable[[], None],
        tell_peer: Callable[[str, RoomMessage], None],
    ) -> None:
        self.guard = QueryGuard(
            name=settings.name, list_sharers=list_sharers, tell_peers=tell_peers
        )
        self.health = PassiveHealthCheck(fleet=fleet)
        self._rollouts = rollouts
        self._fleet = fleet
        self._settings = settings
        self._tell_peers = tell_peers
        self._list_sharers = list_sharers
        self._list_peer_updates = list_peer_updates
        self._has_peer_updates = False
        self._merged_at = 0.0
        self._pace = Pace()
        self._peer_reports = PeerReports()
        self.wishes = EndpointWishes(fleet=fleet)
        self._selector = EndpointSelector(
            fleet=fleet,
            rollouts=rollouts,
            wishes=self.wishes,
            settings=settings,
            clock=asyncio.get_running_loop().time,
        )
        self._cold = ColdLimits(settings=settings, list_sharers=list_sharers)
        self.limits = EndpointLimits(
            settings=settings, list_sharers=list_sharers, tell=tell_peer
        )
        self.heavy: frozenset[str] = frozenset()
        self._loop = asyncio.get_running_loop()
        self._usage = Usage(now=self._loop.time())

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings."""
        self._settings = settings
        self._selector.apply_settings(settings)
        self._cold.apply_settings(settings)

    @property
    def gateway_count(self) -> int | None:
        """Return how many gateways share the common limits, or None if unknown."""
        sharers = self._list_sharers()
        return None if sharers is None else 1 + len(sharers)

    def is_near(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is in this gateway's failure domain."""
        return self._selector.is_near(endpoint)

    async def place(self, job: Job) -> Endpoint | Refusal:
        """Return the endpoint for the next attempt, or a refusal.

        This waits while all endpoints are cold and at their limit, for a while if
        they rest or have no room, and while the request is suspected and another such
        request is under way.
        """
        with self.limits.wait(job) as waiting:
            while True:
                now = self._loop.time()
                self._merge_peer_updates()
                blocked = self.guard.find_refusal(job)
                if blocked is not None:
                    return blocked
                if not self.guard.may_send(job):
                    await asyncio.sleep(POLL_SECONDS)
                    continue
                states = self._selector.select_trusted(job, now)
                free = [
                    state
                    for state in states
                    if self._cold.has_capacity(state, job.permit.service, now)
                    and self.limits.has_room(state, waiting)
                ]
                if free:
                    return self._choose(job, free)
                if not states and job.resting:
                    # Nothing else is left: their rest alone keeps them out from here
                    # on.
                    job.excluded -= job.resting
                    job.resting.clear()
                    continue
                refusal = (
                    self._refuse_unless_room(job, states, waiting)
                    if states
                    else self._refuse_unless_resting(job)
                )
                if refusal is not None:
                    return refusal
                await asyncio.sleep(POLL_SECONDS)

    def _refuse_unless_room(
        self, job: Job, states: list[EndpointState], waiting: LimitWait
    ) -> Refusal | None:
        """Return the refusal of a request whose endpoints have no room in time.

        Those that are cold may have room at any moment.
        """
        now = self._loop.time()
        if not all(
            self._cold.has_capacity(state, job.permit.service, now) for state in states
        ):
            return None
        self.limits.note_missed(states, waiting)
        wait = self.limits.find_wait(states, waiting)
        if self._may_wait(job, wait):
            waiting.begin()
            return None
        pause = self.limits.find_pause(states)
        return Refusal(
            status=503,
            reason="limited",
            retry_after=pause if math.isinf(wait) else wait,
        )

    def _may_wait(self, job: Job, seconds: float) -> bool:
        """Return whether a request may wait for so long before it is sent."""
        return may_wait(
            ends_at=self._loop.time() + seconds,
            due_at=job.arrival.arrived + job.permit.route.objective,
            deadline=job.deadline,
            has_run=job.has_run,
        )

    def _refuse_unless_resting(self, job: Job) -> Refusal | None:
        """Return the refusal of a request without endpoints, None if it may wait.

        It may wait for endpoints that only rest.
        """
        rest = self._find_shortest_rest(job, excluded=job.excluded)
        if rest is None:
            return NO_ENDPOINT
        if self._may_wait(job, rest):
            return None
        return Refusal(status=503, reason="resting", retry_after=rest)

    def find_rest(self, job: Job) -> float | None:
        """Return in how many seconds the first of a request's endpoints has rested.

        Return None if one of them doesn't rest, or if there is none.
        """
        rest = self._find_shortest_rest(job, excluded=frozenset())
        return rest if rest else None

    def _find_shortest_rest(self, job: Job, excluded: Collection[str]) -> float | None:
        """Return how many seconds the first endpoint still rests, None without any."""
        now = self._loop.time()
        rests = (
            max(self.wishes.find_rest_end(state.endpoint) - now, 0.0)
            for state in self._selector.list_permitted(job, excluded)
        )
        return min(rests, default=None)

    def has_alternative(self, job: Job) -> bool:
        """Return whether a request that leaves its endpoint has another to go to."""
        now = self._loop.time()
        waiting = self.limits.wait(job)
        return not self.guard.is_held(job) and any(
            self._cold.has_capacity(state, job.permit.service, now)
            and self.limits.has_room(state, waiting)
            for state in self._selector.select_trusted(job, now)
        )

    def note_head(self, job: Job, endpoint: Endpoint, head: ResponseHead) -> None:
        """Note what an answer says of its endpoint.

        At a reused address it is of another endpoint than the one that was meant.
        """
        self.wishes.note_head(endpoint, head)
        is_own = not head.attempt or head.attempt == job.arrival.id
        if is_own and not head.not_run and job.trial_attempt is not None:
            self._rollouts.note_reached(job.trial_attempt)
        job.told = head.load if is_own else None
        state = (
            self._fleet.find(head.sender)
            if head.is_misdirected
            else self._fleet.find_state(endpoint)
        )
        if state is None:
            return
        asked_at = job.sent_at if is_own else float("-inf")
        self.limits.note_head(state, head, asked_at=asked_at)
        if is_own and head.load is not None and head.load.stretch is not None:
            self._note_stretch(job, state, head.load.stretch)

    def _note_stretch(self, job: Job, state: EndpointState, stretch: float) -> None:
        """Note how long work takes at an endpoint by its own report."""
        before = state.pace.lasting
        job.stretch = state.pace.note(stretch, now=self._loop.time())
        if abs(state.pace.lasting - before) >= before * NOTABLE_CHANGE:
            log.info(
                "placing: {} reports that work takes {:.2f} times as long as usual",
                state.endpoint.name,
                state.pace.lasting,
            )

    def note_down(self, endpoint: Endpoint, *, is_refused: bool) -> None:
        """Note that an endpoint accepts no connections, other endpoints do.

        One that refuses them has ended, one that doesn't answer may be out of reach.
        """
        if is_refused:
            state = self._fleet.find_state(endpoint)
            is_abrupt = state is not None and not state.endpoint.is_draining
            self.guard.note_down(endpoint.lifetime, is_abrupt=is_abrupt)
        self.health.note_down(endpoint)

    def note_not_run(self, endpoint: Endpoint, outcome: NotRun) -> None:
        """Learn from an attempt that certainly didn't run."""
        if outcome.is_down:
            self.note_down(endpoint, is_refused=True)
        else:
            self.health.note_not_run(endpoint, outcome)

    def may_send(self, job: Job, endpoint: Endpoint) -> bool:
        """Return whether a request may still be sent to its chosen endpoint.

        The endpoint may have been taken out while a connection to it was opened.
        """
        state = self._fleet.find_state(endpoint)
        return state in self._selector.list_all(job) and not self.wishes.is_resting(
            endpoint
        )

    def note_sent(self, job: Job, endpoint: Endpoint) -> None:
        """Count a request against a cold endpoint's rate from now on.

        From its placement until now it was counted at the time of placement.
        Opening a connection takes less than the second over which sends are
        counted, so the request is never left out.
        """
        self.guard.note_sent(job, endpoint)
        if job.trial_attempt is not None:
            job.trial_attempt.is_sent = True
        state = self._fleet.find_state(endpoint)
        if state is None:
            return
        with contextlib.suppress(ValueError):
            state.cold_sends.remove(job.sent_at)
        state.cold_sends.append(self._loop.time())

    def begin(self, job: Job, endpoint: Endpoint) -> None:
        """Add a request to the load of its endpoint."""
        self.guard.begin_trial(job)
        state = self._fleet.find_state(endpoint)
        if state is None:
            return
        now = self._loop.time()
        reading = estimate_reading(job, job.model, self._pace)
        job.reading_seconds = reading.whole
        affinity = find_affinity(job, job.model)
        if affinity:
            if self._has_cached(state, affinity, now):
                job.reading_seconds -= reading.shared
            state.cached_prefixes[affinity] = now
        job.urgency = find_prompt_urgency(job, job.reading_seconds, self.heavy)
        if job.arrival.tokens_in:
            self._usage.note(
                organisation=job.permit.organisation_name, seconds=job.reading_seconds
            )
        job.endpoint_was_idle = state.backlog < IDLE_BACKLOG_SECONDS
        self.limits.note_sent(state)
        state.own_running += 1
        state.own_backlog.add(job.urgency, job.reading_seconds)
        state.cold_sends.append(job.sent_at)
        if job.reading_seconds >= LONG_READING_SECONDS:
            self._tell_peers()
        self._begin_trial_attempt(job, endpoint)

    def _begin_trial_attempt(self, job: Job, endpoint: Endpoint) -> None:
        """Note an attempt, with the time to its first piece at an idle endpoint."""
        job.trial_attempt = VersionAttempt(
            service=endpoint.service,
            version=endpoint.version,
            route=job.permit.route.name,
            model=job.model,
            endpoint=endpoint.name,
            times=AnswerTimes(
                sent_at=job.sent_at,
                expected=job.reading_seconds + self._pace.base_seconds,
            ),
        )
        self._rollouts.begin(job.trial_attempt)

    def note_first_byte(self, job: Job, endpoint: Endpoint) -> None:
        """Record that the response has started, so the prompt has been read."""
        state = self._fleet.find_state(endpoint)
        now = self._loop.time()
        job.first_piece_seconds = now - job.sent_at
        usual_seconds = job.first_piece_seconds / job.stretch
        if state is not None:
            state.own_backlog.add(job.urgency, -job.reading_seconds)
            state.note_first_byte(
                seen=usual_seconds,
                expected=job.typical_seconds + self._pace.base_seconds,
                now=now,
            )
        if job.endpoint_was_idle and job.reading_seconds and job.arrival.tokens_in:
            estimated = estimate_reading(job, job.model, self._pace).whole
            share = job.reading_seconds / estimated if estimated else 0.0
            self._pace.note(
                model=job.model,
                cost=find_cost(job, job.model),
                tokens=int(job.arrival.tokens_in * share),
                seconds=usual_seconds,
            )
        job.reading_seconds = 0.0

    def end(self, job: Job, endpoint: Endpoint, outcome: Outcome | None) -> None:
        """Remove a request from the load of its endpoint.

        `outcome` is None if the attempt was cancelled.
        """
        self.guard.end_trial(job)
        if job.trial_attempt is not None:
            self._rollouts.end(job.trial_attempt, outcome)
        state = self._fleet.find_state(endpoint)
        if state is not None:
            state.own_running -= 1
            state.own_backlog.add(job.urgency, -job.reading_seconds)
        job.reading_seconds = 0.0

    def estimate(self, job: Job, model: str) -> Estimate:
        """Return the time until a model's first token; infinite without endpoints."""
        self._merge_peer_updates()
        states = self._selector.select(
            job, model, excluded=job.excluded.difference(job.tried[-1:])
        )
        if not states:
            return Estimate(float("inf"), float("inf"), float("inf"))
        choice = self._choose_engine(job, model, states)
        stream = self._pace.estimate_stream(
            model=model, tokens=estimate_answer_tokens(job)
        )
        seconds = choice.seconds + self._pace.base_seconds
        return Estimate(seconds, choice.wait, seconds + stream)

    def note_completed(self, job: Job) -> None:
        """Learn a model's generation speed from a complete response."""
        if job.first_at is not None and job.arrival.tokens_out:
            self._pace.note_stream(
                model=job.model,
                tokens=estimate_answer_tokens(job),
                seconds=self._loop.time() - job.first_at,
            )

    def evict_prefixes(self) -> None:
        """Forget cached prefixes that were last used `reuse_seconds` ago."""
        before = self._loop.time() - self._settings.reuse_seconds
        for state in self._fleet:
            state.evict_prefixes(before=before)

    def report_endpoints(self) -> tuple[EndpointReport, ...]:
        """Return the load and response times of endpoints, for peers."""
        return report_endpoints(self._fleet, self._loop.time())

    def report_paces(self, audience: Audience) -> tuple[PaceReport, ...]:
        """Return the models' paces that this gateway has seen.

        Bytes between domains cost money, and a domain has enough gateways to learn
        from.
        """
        return self._pace.report() if audience is Audience.NEAR else ()

    def detect_outliers(self) -> None:
        """Take in what peers know of endpoints, models and organisations.

        Updates which endpoints are slow and which organisations are deprioritised.
        """
        self._merge_peer_updates()
        now = self._loop.time()
        detect_slow(self._fleet, now)
        self._usage.fade(now)
        self.limits.sweep(self._fleet)
        updates = self._list_peer_updates()
        self._pace.replace_reports(
            itertools.chain.from_iterable(update.paces for update in updates)
        )
        heavy = self._usage.find_heavy(update.usage for update in updates)
        if heavy != self.heavy:
            names = ", ".join(sorted(heavy)) or "none"
            log.info("placing: organisations that give way: {}", names)
        self.heavy = heavy

    def count_slow(self) -> int:
        """Return how many endpoints are slow."""
        return sum(state.slowness > 1.0 for state in self._fleet)

    def count_reported_slow(self) -> int:
        """Return how many endpoints report that work takes longer than usual there."""
        now = self._loop.time()
        return sum(state.pace.find(now) > 1.0 for state in self._fleet)

    def report_usage(self) -> UsageReport:
        """Return how much reading time organisations used, for peers."""
        return self._usage.report()

    def note_peer_updates(self) -> None:
        """Note that a peer sent an update or fell silent.

        Updates are merged when a request needs them: 30 peers send a hundred
        datagrams a second, while a tenth as many requests arrive.
        """
        self._has_peer_updates = True

    def _merge_peer_updates(self) -> None:
        """Merge the latest update of each peer, if any has changed."""
        if not self._has_peer_updates:
            return
        self._has_peer_updates = False
        self._merged_at = self._loop.time()
        updates = self._list_peer_updates()
        self._peer_reports.merge(self._fleet, updates)

    def _choose(self, job: Job, states: list[EndpointState]) -> Endpoint:
        choice = self._choose_engine(job, job.model, states)
        chosen = next(state for state in states if state.endpoint.name == choice.name)
        pace = chosen.pace.find(self._loop.time())
        job.expected_seconds = choice.seconds
        job.typical_seconds = choice.seconds / (chosen.slowness * pace)
        job.placement = Placement(
            wait=choice.wait,
            running=chosen.running,
            slowness=chosen.slowness,
            pace=pace,
            update_age=self._loop.time() - self._merged_at,
        )
        return chosen.endpoint

    def _choose_engine(
        self, job: Job, model: str, states: list[EndpointState]
    ) -> EngineChoice:
        now = self._loop.time()
        affinity = find_affinity(job, model)
        reading = estimate_reading(job, model, self._pace)
        urgency = find_prompt_urgency(job, reading.whole, self.heavy)
        return choose_engine(
            candidates=[
                self._make_candidate(state, urgency, affinity, now) for state in states
            ],
            reading=reading,
            affinity=affinity,
            spread=self._settings.name,
            remaining=self._find_remaining(job, model, now),
        )

    def _find_remaining(self, job: Job, model: str, now: float) -> float:
        """Return the seconds that a model's first token may take.

        If the request may escalate to the best model, the time that the best model
        needs to read the prompt again is subtracted.
        """
        remaining = job.arrival.arrived + job.permit.route.objective - now
        models = job.permit.route.models if job.has_choice else ()
        if not models or model == models[-1]:
            return remaining
        return remaining - estimate_reading(job, models[-1], self._pace).whole

    def _has_cached(self, state: EndpointState, affinity: str, now: float) -> bool:
        used_at = state.cached_prefixes.get(affinity)
        return used_at is not None and now < used_at + self._settings.reuse_seconds

    def _make_candidate(
        self, state: EndpointState, urgency: int, affinity: str, now: float
    ) -> EngineCandidate:
        split = state.split_backlog(urgency)
        return EngineCandidate(
            name=state.endpoint.name,
            wait=split.wait,
            burden=split.burden,
            slowness=state.slowness * state.pace.find(now),
            running=state.running,
            slots=state.endpoint.slots,
            is_near=self._selector.is_near(state.endpoint),
            holds_parts=bool(affinity) and self._has_cached(state, affinity, now),
            is_avoided=now < state.avoided_until or state.missing_since is not None,
        )
