"""What attempts have shown of endpoints: failures, silence, crashes."""

import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..decisions.queryofdeath import Crash, QueryOfDeathDetector
from ..decisions.suspects import SUSPICION_SECONDS
from .endpoints import Endpoint
from .endpointstate import EndpointState
from .fleet import Fleet
from .peerupdates import PeerUpdate
from .rollouts import Rollouts

if TYPE_CHECKING:
    from .job import Job

# An endpoint that failed once is passed over for a moment; one that fails
# often, for about as long as it takes to find out whether it got better.
SHORT_SHUN_SECONDS = 0.3
LONG_SHUN_SECONDS = 3.0

# The share of failures among the last answers from which one fails often.
OFTEN_BAD = 0.3


class PassiveHealthCheck:
    """Learn from attempts which endpoints to pass over, and which requests crash."""

    __slots__ = ("_fleet", "_loop", "_poison", "_rollouts")

    def __init__(self, *, fleet: Fleet, rollouts: Rollouts) -> None:
        self._fleet = fleet
        self._rollouts = rollouts
        self._poison = QueryOfDeathDetector()
        self._loop = asyncio.get_running_loop()

    def note_answer(
        self, job: "Job", endpoint: Endpoint, *, failed: bool, seconds: float
    ) -> None:
        """Learn from an answer; `seconds` is the time to its first piece."""
        self._rollouts.note(
            service=endpoint.service,
            version=endpoint.version,
            route=job.permit.route.name,
            model=job.model,
            endpoint=endpoint.name,
            failed=failed,
            seconds=seconds,
        )
        flight = self._fleet.find_state(endpoint)
        if flight is None:
            return
        flight.note_end(failed=failed)
        if failed:
            self._avoid(flight)

    def note_not_run(self, job: "Job", endpoint: Endpoint, *, is_down: bool) -> None:
        """Learn from an attempt that didn't run."""
        if is_down:
            self.note_down(endpoint)
            return
        flight = self._fleet.find_state(endpoint)
        if flight is not None:
            self._avoid(flight)

    def note_down(self, endpoint: Endpoint) -> None:
        """Note that an endpoint takes no connection."""
        now = self._loop.time()
        self._poison.note_down(endpoint=endpoint.name, born=endpoint.born, now=now)
        flight = self._fleet.find_state(endpoint)
        if flight is not None:
            flight.note_end(failed=True)
            self._avoid(flight)

    def note_lost_answer(self, job: "Job", endpoint: Endpoint) -> None:
        """Note an answer that was lost; the request may have crashed it.

        That says nothing of the endpoint's version: connections break for
        many reasons, on old and new endpoints alike.
        """
        self.note_silent(endpoint)
        crash = Crash(job.fingerprint, endpoint.name, endpoint.born)
        self._poison.note_loss(crash=crash, now=self._loop.time())

    def note_silent(self, endpoint: Endpoint) -> None:
        """Note that an endpoint owes an answer that doesn't come."""
        flight = self._fleet.find_state(endpoint)
        if flight is not None:
            flight.note_end(failed=True)
            flight.suspected_until = self._loop.time() + SUSPICION_SECONDS
            self._avoid(flight)

    def note_unreachable(self, endpoint: Endpoint) -> None:
        """Note that an endpoint with requests under way is out of reach."""
        flight = self._fleet.find_state(endpoint)
        if flight is not None:
            flight.failure_rate = max(flight.failure_rate, OFTEN_BAD)
            flight.suspected_until = self._loop.time() + SUSPICION_SECONDS
            self._avoid(flight)

    def note_gone(self, lifetime: tuple[str, int]) -> None:
        """Note that a lifetime ended without a word."""
        name, born = lifetime
        self._poison.note_down(endpoint=name, born=born, now=self._loop.time())

    def is_culprit(self, job: "Job") -> bool:
        """Tell whether a request crashes the endpoints that run it."""
        now = self._loop.time()
        return self._poison.is_culprit(fingerprint=job.fingerprint, now=now)

    def merge_crashes(self, heard: Iterable[PeerUpdate]) -> None:
        """Take over the crashes that peers found."""
        now = self._loop.time()
        for news in heard:
            if news.crashes:
                self._poison.merge(crashes=news.crashes, now=now)

    def tell_crashes(self) -> tuple[Crash, ...]:
        """Return the crashes that were found, for peers."""
        return self._poison.report(now=self._loop.time())

    def tell_doubted(self) -> tuple[int, ...]:
        """Return the lifetimes that lost an answer here lately, for peers."""
        now = self._loop.time()
        return tuple(one.key for one in self._fleet if now < one.suspected_until)

    def _avoid(self, flight: EndpointState) -> None:
        often = flight.failure_rate >= OFTEN_BAD
        seconds = LONG_SHUN_SECONDS if often else SHORT_SHUN_SECONDS
        flight.avoided_until = self._loop.time() + seconds
