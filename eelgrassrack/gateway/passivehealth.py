"""Passive health checks: what the outcomes of attempts show of endpoints.

Endpoints that fail or fall silent are avoided for a while.  Requests that crash the
endpoints they run on are detected as queries of death.
"""

import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING

import logbook

from ..decisions.queryofdeath import Crash, QueryOfDeathDetector
from ..decisions.suspects import SUSPICION_SECONDS
from .endpoints import Endpoint
from .endpointstate import EndpointState
from .fleet import Fleet
from .peerupdates import PeerUpdate
from .rollouts import Rollouts

if TYPE_CHECKING:
    from .job import Job, NotRun

log = logbook.Logger("health")

# How long an endpoint is avoided after a single failure, and if it fails often.  The
# latter is about as long as it takes to find out whether it has recovered.
SHORT_AVOIDANCE_SECONDS = 0.3
LONG_AVOIDANCE_SECONDS = 3.0

# Share of failures among the latest answers from which an endpoint fails often.
HIGH_FAILURE_RATE = 0.3

# Number of suspected requests that the log line of a crash names.
MAX_LOGGED_REQUESTS = 20


class PassiveHealthCheck:
    """Learns from attempts which endpoints to avoid and which requests crash them."""

    __slots__ = ("_fleet", "_loop", "_detector", "_rollouts")

    def __init__(self, *, fleet: Fleet, rollouts: Rollouts) -> None:
        self._fleet = fleet
        self._rollouts = rollouts
        self._detector = QueryOfDeathDetector()
        self._loop = asyncio.get_running_loop()

    def note_answer(
        self, job: "Job", endpoint: Endpoint, *, failed: bool, seconds: float
    ) -> None:
        """Learn from an answer; `seconds` is the time until its first piece."""
        self._rollouts.note_answer(
            service=endpoint.service,
            version=endpoint.version,
            route=job.permit.route.name,
            model=job.model,
            endpoint=endpoint.name,
            failed=failed,
            seconds=seconds,
        )
        state = self._fleet.find_state(endpoint)
        if state is None:
            return
        state.note_end(failed=failed)
        if failed:
            self._avoid(state)

    def note_not_run(self, endpoint: Endpoint, outcome: "NotRun") -> None:
        """Learn from an attempt that certainly didn't run."""
        if outcome.is_down:
            self.note_down(endpoint)
            return
        state = self._fleet.find_state(endpoint)
        if state is None:
            return
        if outcome.is_unreachable:
            state.note_end(failed=True)
        self._avoid(state)

    def note_down(self, endpoint: Endpoint) -> None:
        """Note that an endpoint accepts no connections, other endpoints do."""
        self._note_crash(endpoint.lifetime)
        state = self._fleet.find_state(endpoint)
        if state is not None:
            state.note_end(failed=True)
            self._avoid(state)

    def note_lost_answer(self, job: "Job", endpoint: Endpoint) -> None:
        """Note a lost answer; the request may have crashed the endpoint.

        This doesn't count against the endpoint's version: connections break for
        many reasons, at old and new versions alike.
        """
        self.note_overdue_answer(endpoint)
        crash = Crash(job.fingerprint, endpoint.name, endpoint.born)
        self._detector.note_loss(crash=crash, now=self._loop.time())

    def note_overdue_answer(self, endpoint: Endpoint) -> None:
        """Note that an endpoint doesn't send an answer that is due."""
        state = self._fleet.find_state(endpoint)
        if state is not None:
            state.note_end(failed=True)
            state.suspected_until = self._loop.time() + SUSPICION_SECONDS
            self._avoid(state)

    def note_unreachable(self, endpoint: Endpoint) -> None:
        """Note that an endpoint with requests in flight is unreachable."""
        state = self._fleet.find_state(endpoint)
        if state is not None:
            state.failure_rate = max(state.failure_rate, HIGH_FAILURE_RATE)
            state.suspected_until = self._loop.time() + SUSPICION_SECONDS
            self._avoid(state)

    def note_lifetime_ended(self, lifetime: tuple[str, int]) -> None:
        """Note that an endpoint's entry is gone, or that it has restarted."""
        self._note_crash(lifetime)

    def _note_crash(self, lifetime: tuple[str, int]) -> None:
        name, born = lifetime
        now = self._loop.time()
        suspected = self._detector.note_down(endpoint=name, born=born, now=now)
        if suspected:
            log.info(
                "health: {endpoint} crashed: {count} requests suspected",
                endpoint=name,
                count=len(suspected),
                fingerprints=",".join(suspected[:MAX_LOGGED_REQUESTS]),
            )

    def is_culprit(self, job: "Job") -> bool:
        """Return whether a request crashes the endpoints that run it."""
        now = self._loop.time()
        return self._detector.is_culprit(fingerprint=job.fingerprint, now=now)

    def merge_crashes(self, updates: Iterable[PeerUpdate]) -> None:
        """Add the crashes that peers have seen."""
        now = self._loop.time()
        for update in updates:
            if update.crashes:
                self._detector.merge(crashes=update.crashes, now=now)

    def report_crashes(self) -> tuple[Crash, ...]:
        """Return the crashes seen so far, for peers."""
        return self._detector.report(now=self._loop.time())

    def report_suspected(self) -> tuple[int, ...]:
        """Return the hashed lifetimes that lost an answer lately, for peers."""
        now = self._loop.time()
        return tuple(state.key for state in self._fleet if now < state.suspected_until)

    def _avoid(self, state: EndpointState) -> None:
        often = state.failure_rate >= HIGH_FAILURE_RATE
        seconds = LONG_AVOIDANCE_SECONDS if often else SHORT_AVOIDANCE_SECONDS
        state.avoided_until = self._loop.time() + seconds
