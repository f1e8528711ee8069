"""Place requests on endpoints by what this gateway knows of them."""

import asyncio
import contextlib
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

import logbook

from ..decisions.engines import (
    EngineCandidate,
    EngineChoice,
    choose_engine,
)
from ..decisions.fairshare import Told, Usage
from ..decisions.modelchoice import Estimate
from ..decisions.pace import BASE_SECONDS, Pace
from ..decisions.precedence import Sharer, count_before
from ..decisions.sharedbudget import share_cold_rate
from ..decisions.suspects import avoid_suspected
from .configuration import Service
from .endpointreports import detect_slow, merge_reports, report_endpoints
from .endpoints import Endpoint
from .endpointstate import EndpointState
from .fleet import Fleet
from .job import Placement
from .messages import Refusal
from .passivehealth import PassiveHealthCheck
from .peerupdates import EndpointReport, PeerUpdate
from .prompts import (
    find_affinity,
    find_cost,
    find_generated,
    find_reading,
    rank_reading,
)
from .rollouts import Rollouts
from .settings import GatewaySettings

if TYPE_CHECKING:
    from .job import Job

log = logbook.Logger("placing")

# An endpoint with less than this to read is as good as idle, and shows the
# pace of its model.
IDLE_SECONDS = 0.01


# While every endpoint is at the limit of its cold start, look again so often.
COLD_PAUSE_SECONDS = 0.05

# A share of a cold endpoint's rate is worked out anew so often: with hundreds of
# gateways that takes a third of a millisecond.
SHARE_SECONDS = 0.25

NONE_LEFT = Refusal(status=503, reason="no endpoint", retry_after=1.0)
POISON = Refusal(status=502, reason="crashes the endpoints that run it")


class Placer:
    """Choose endpoints and keep count of what runs on them.

    `heavy` are the organisations whose prompts give way to those of others,
    `health` is what attempts have shown of endpoints.  `list_sharers` returns
    the other gateways that share the common limits, or None while it isn't known.
    """

    __slots__ = (
        "_added_at",
        "_fleet",
        "_has_news",
        "_list_peer_updates",
        "_list_sharers",
        "_loop",
        "_pace",
        "_rollouts",
        "_settings",
        "_usage",
        "health",
        "heavy",
    )

    def __init__(
        self,
        *,
        fleet: Fleet,
        rollouts: Rollouts,
        settings: GatewaySettings,
        list_sharers: Callable[[], tuple[Sharer, ...] | None],
        list_peer_updates: Callable[[], tuple[PeerUpdate, ...]],
    ) -> None:
        self.health = PassiveHealthCheck(fleet=fleet, rollouts=rollouts)
        self._fleet = fleet
        self._rollouts = rollouts
        self._settings = settings
        self._list_sharers = list_sharers
        self._list_peer_updates = list_peer_updates
        self._has_news = False
        self._added_at = 0.0
        self._pace = Pace()
        self.heavy: frozenset[str] = frozenset()
        self._loop = asyncio.get_running_loop()
        self._usage = Usage(now=self._loop.time())

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Take over changed settings."""
        self._settings = settings

    @property
    def entries(self) -> int | None:
        """Return how many gateways share the common limits, if that is known."""
        sharers = self._list_sharers()
        return None if sharers is None else 1 + len(sharers)

    def is_near(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint is in this gateway's failure domain."""
        return endpoint.domain == self._settings.domain

    async def place(self, job: "Job") -> Endpoint | Refusal:
        """Return the endpoint for the next attempt."""
        while True:
            now = self._loop.time()
            self._add_up_news()
            if self.health.is_culprit(job):
                return POISON
            flights = self._select_trusted(job, now)
            if not flights:
                return NONE_LEFT
            free = [one for one in flights if self._has_cold_room(one, job, now)]
            if free:
                return self._choose(job, free)
            await asyncio.sleep(COLD_PAUSE_SECONDS)

    def may_send(self, job: "Job", endpoint: Endpoint) -> bool:
        """Tell whether an endpoint may still get a request that was placed there.

        A connection may take long to open, and the endpoint be taken out meanwhile.
        """
        flight = self._fleet.find_state(endpoint)
        return flight in self._select(job, passed_over=frozenset())

    def note_sent(self, job: "Job", endpoint: Endpoint) -> None:
        """Note that a request that was begun is sent now, not when it was placed.

        Until then it has its place in an endpoint's cold start as well, since a
        connection takes less than the second in which places are counted.
        """
        flight = self._fleet.find_state(endpoint)
        if flight is None:
            return
        with contextlib.suppress(ValueError):
            flight.cold_sends.remove(job.sent_at)
        flight.cold_sends.append(self._loop.time())

    def begin(self, job: "Job", endpoint: Endpoint) -> None:
        """Count a request that is placed on an endpoint."""
        flight = self._fleet.find_state(endpoint)
        if flight is None:
            return
        now = self._loop.time()
        reading = find_reading(job, job.model, self._pace)
        job.reading = reading.whole
        affinity = find_affinity(job, job.model)
        if affinity:
            if self._holds(flight, affinity, now):
                job.reading -= reading.shared
            flight.cached_prefixes[affinity] = now
        job.urgency = rank_reading(job, job.reading, self.heavy)
        if job.arrival.tokens_in:
            self._usage.note(
                organisation=job.permit.organisation_name, seconds=job.reading
            )
        job.was_idle = flight.backlog < IDLE_SECONDS
        flight.own_running += 1
        flight.own_backlog.add(job.urgency, job.reading)
        flight.cold_sends.append(job.sent_at)

    def note_first(self, job: "Job", endpoint: Endpoint) -> None:
        """Note the first piece of an answer: its prompt has been read."""
        flight = self._fleet.find_state(endpoint)
        now = self._loop.time()
        if flight is not None:
            flight.own_backlog.add(job.urgency, -job.reading)
            flight.note_first(
                seen=now - job.sent_at, expected=job.usual + BASE_SECONDS, now=now
            )
        if job.was_idle and job.reading:
            paced = find_reading(job, job.model, self._pace).whole
            share = job.reading / paced if paced else 0.0
            self._pace.note(
                model=job.model,
                cost=find_cost(job, job.model),
                tokens=int(job.arrival.tokens_in * share),
                seconds=now - job.sent_at,
            )
        job.reading = 0.0

    def end(self, job: "Job", endpoint: Endpoint) -> None:
        """Count the end of a request."""
        flight = self._fleet.find_state(endpoint)
        if flight is not None:
            flight.own_running -= 1
            flight.own_backlog.add(job.urgency, -job.reading)
        job.reading = 0.0

    def estimate(self, job: "Job", model: str) -> Estimate:
        """Return how soon the first token of a model would come."""
        self._add_up_news()
        flights = self._select(job, passed_over=frozenset())
        if not flights:
            return Estimate(float("inf"), float("inf"), float("inf"))
        choice = self._weigh(job, model, flights)
        stream = self._pace.estimate_stream(model=model, tokens=find_generated(job))
        return Estimate(choice.seconds, choice.wait, choice.seconds + stream)

    def note_whole(self, job: "Job") -> None:
        """Learn from a whole answer how long its tokens took."""
        if job.first_at is not None and job.arrival.tokens_out:
            self._pace.note_stream(
                model=job.model,
                tokens=find_generated(job),
                seconds=self._loop.time() - job.first_at,
            )

    def evict_prefixes(self) -> None:
        """Forget which shared parts were used long ago."""
        before = self._loop.time() - self._settings.reuse_seconds
        for flight in self._fleet:
            flight.evict_prefixes(before=before)

    def report_endpoints(self) -> tuple[EndpointReport, ...]:
        """Return what is under way, for peers."""
        return report_endpoints(self._fleet, self._loop.time())

    def detect_outliers(self) -> None:
        """Find out which endpoints are slow, and which organisations give way."""
        self._add_up_news()
        now = self._loop.time()
        detect_slow(self._fleet, now)
        self._usage.fade(now)
        heavy = self._usage.find_heavy(one.usage for one in self._list_peer_updates())
        if heavy != self.heavy:
            names = ", ".join(sorted(heavy)) or "none"
            log.info("placing: organisations that give way: {}", names)
        self.heavy = heavy

    def count_slow(self) -> int:
        """Return how many endpoints take far longer than others."""
        return sum(flight.slowness > 1.0 for flight in self._fleet)

    def report_usage(self) -> Told:
        """Return what organisations had engines read, for peers."""
        return self._usage.report()

    def note_peer_updates(self) -> None:
        """Note that there are news of peers, or that a peer fell silent.

        They are added up when they are used: with 30 peers a hundred datagrams
        come a second, and a tenth of that in requests.
        """
        self._has_news = True

    def _add_up_news(self) -> None:
        """Take over what all peers have under way."""
        if not self._has_news:
            return
        self._has_news = False
        self._added_at = self._loop.time()
        heard = self._list_peer_updates()
        merge_reports(self._fleet, heard)
        self.health.merge_crashes(heard)

    def _select(self, job: "Job", passed_over: Collection[str]) -> list[EndpointState]:
        versions = self._rollouts.choose_version(
            service=job.permit.service.name,
            session=job.arrival.session,
            request=job.arrival.id,
        )
        flights = self._fleet.select(service=job.permit.service.name, versions=versions)
        return [one for one in flights if one.endpoint.name not in passed_over]

    def _select_trusted(self, job: "Job", now: float) -> list[EndpointState]:
        return avoid_suspected(
            self._select(job, passed_over=job.passed_over),
            is_suspected=lambda one: one.is_suspected(now),
            is_repeatable=job.is_repeatable,
        )

    def _choose(self, job: "Job", flights: list[EndpointState]) -> Endpoint:
        choice = self._weigh(job, job.model, flights)
        chosen = next(one for one in flights if one.endpoint.name == choice.name)
        job.expected = choice.seconds
        job.usual = choice.seconds / chosen.slowness
        job.placement = Placement(
            wait=choice.wait,
            running=chosen.running,
            slowness=chosen.slowness,
            news_age=self._loop.time() - self._added_at,
        )
        return chosen.endpoint

    def _weigh(
        self, job: "Job", model: str, flights: list[EndpointState]
    ) -> EngineChoice:
        now = self._loop.time()
        affinity = find_affinity(job, model)
        reading = find_reading(job, model, self._pace)
        urgency = rank_reading(job, reading.whole, self.heavy)
        return choose_engine(
            candidates=[self._describe(one, urgency, affinity, now) for one in flights],
            reading=reading,
            affinity=affinity,
            spread=self._settings.name,
            remaining=self._find_left(job, model, now),
        )

    def _find_left(self, job: "Job", model: str, now: float) -> float:
        """Return the seconds that the first token of a model may take.

        Its answer may be dropped for the best model's, which reads the prompt
        again within the same objective.
        """
        left = job.arrival.arrived + job.permit.route.objective - now
        models = job.permit.route.models if job.has_choice else ()
        if not models or model == models[-1]:
            return left
        return left - find_reading(job, models[-1], self._pace).whole

    def _holds(self, flight: EndpointState, affinity: str, now: float) -> bool:
        used_at = flight.cached_prefixes.get(affinity)
        return used_at is not None and now < used_at + self._settings.reuse_seconds

    def _has_cold_room(self, flight: EndpointState, job: "Job", now: float) -> bool:
        sends = flight.cold_sends
        while sends and sends[0] < now - 1.0:
            sends.popleft()
        service = job.permit.service
        if not service.cold_rate or not flight.is_cold(now):
            return True
        if now >= flight.cold_share_until:
            flight.cold_share = self._share_cold_rate(flight, service)
            flight.cold_share_until = now + SHARE_SECONDS
        return len(sends) < flight.cold_share

    def _share_cold_rate(self, flight: EndpointState, service: Service) -> int:
        settings = self._settings
        sharers = self._list_sharers()
        if sharers is None:
            return 0
        return share_cold_rate(
            rate=service.cold_rate,
            overage=settings.cold_overage,
            slack=settings.cold_slack,
            entries=1 + len(sharers),
            before=count_before(
                own=Sharer(settings.name, settings.domain),
                others=sharers,
                key=str(flight.key),
                domain=flight.endpoint.domain,
            ),
        )

    def _describe(
        self, flight: EndpointState, urgency: int, affinity: str, now: float
    ) -> EngineCandidate:
        split = flight.split_backlog(urgency)
        return EngineCandidate(
            name=flight.endpoint.name,
            wait=split.wait,
            burden=split.burden,
            slowness=flight.slowness,
            running=flight.running,
            slots=flight.endpoint.slots,
            is_near=self.is_near(flight.endpoint),
            holds_parts=bool(affinity) and self._holds(flight, affinity, now),
            is_shunned=now < flight.avoided_until or flight.missing_since is not None,
        )
