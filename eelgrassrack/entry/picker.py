"""Load balancing: picks the endpoint for an attempt, and learns from its outcome.

The directory determines which endpoints can take the request, the ramp which
failure domains are included while they return to service, and the placement
picks one endpoint.
"""

import random
from collections.abc import Callable

from ..decisions.domains import DomainRamp
from ..decisions.placement import Candidate, NoCandidate, Placement
from ..mailbox.messages import Finish, Refusal
from .channels import AttemptFailed, Completed, NeverStarted, Outcome
from .directory import Directory, EndpointRecord, NoEndpointReason
from .jobs import Job
from .refusals import CallerError, refuse_unavailable

# Retry-After while there is no endpoint, with a jitter of half of it, so that the
# callers don't all retry at the same time.  An agent's restart takes about as long.
NO_ENDPOINT_RETRY_SECONDS = 2.0

# Refusals that don't indicate an unhealthy endpoint.
NEUTRAL_REFUSALS = frozenset(Refusal) - {Refusal.ENGINE_DOWN}


class Picker:
    """Picks endpoints for the attempts of one entry."""

    __slots__ = ("_clock", "_directory", "_placement", "_ramp", "_rng")

    def __init__(
        self,
        *,
        directory: Directory,
        placement: Placement,
        ramp: DomainRamp,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._placement = placement
        self._ramp = ramp
        self._rng = rng

    def choose(self, *, job: Job, tried: list[str]) -> EndpointRecord | CallerError:
        """Return an endpoint that can take the job now, or the refusal."""
        now = self._clock()
        endpoints = self._directory.find_serving(
            snapshot=job.snapshot, version=job.version, service=job.service, now=now
        )
        if isinstance(endpoints, NoEndpointReason):
            return self._refuse_absent(endpoints.value)
        # An endpoint that was tried is picked again only if there is no other one.
        untried = [
            endpoint for endpoint in endpoints if endpoint.name not in tried
        ] or endpoints
        untried = self._filter_ramping(untried, now)
        chosen = self._placement.choose(
            candidates=[self._make_candidate(endpoint, now) for endpoint in untried],
            affinity=job.affinity or None,
            chances=(self._rng.random(), self._rng.random()),
            now=now,
        )
        if isinstance(chosen, NoCandidate):
            return self._refuse_absent("no_endpoint")
        return self._directory.find(chosen.name)

    def _refuse_absent(self, reason: str) -> CallerError:
        spread = 0.5 + self._rng.random()
        return refuse_unavailable(
            reason=reason, retry_after=NO_ENDPOINT_RETRY_SECONDS * spread
        )

    def _filter_ramping(
        self, endpoints: list[EndpointRecord], now: float
    ) -> list[EndpointRecord]:
        """Remove endpoints in domains that the ramp excludes this time."""
        domains = self._ramp.select(
            domains=frozenset(endpoint.domain for endpoint in endpoints),
            chance=self._rng.random(),
            now=now,
        )
        return [
            endpoint for endpoint in endpoints if endpoint.domain in domains
        ] or endpoints

    def _make_candidate(self, endpoint: EndpointRecord, now: float) -> Candidate:
        load = endpoint.load
        return Candidate(
            name=endpoint.name,
            domain=endpoint.domain,
            running=load.running,
            queued=load.queued,
            window=load.window,
            reported_age=now - endpoint.heartbeat_at,
            local=endpoint.running,
            group=endpoint.pool,
        )

    def note_sent(self, endpoint: EndpointRecord) -> None:
        """Count an attempt that is sent to an endpoint."""
        endpoint.running += 1
        self._placement.note_sent(endpoint=endpoint.name)

    def note_end(
        self,
        *,
        endpoint: EndpointRecord,
        outcome: Outcome | None,
        first_at: float | None,
        began: float,
    ) -> None:
        """Update the endpoint's statistics at the end of an attempt.

        `outcome` is None if the caller disconnected.  `began` is when the
        attempt was sent and `first_at` when its first piece arrived.
        """
        endpoint.running -= 1
        if _is_neutral(outcome):
            self._placement.note_abandoned(endpoint=endpoint.name)
            return
        now = self._clock()
        self._placement.note_finished(
            endpoint=endpoint.name,
            succeeded=isinstance(outcome, Completed),
            seconds=(first_at or now) - began,
            now=now,
        )


def _is_neutral(outcome: Outcome | None) -> bool:
    """Return whether an outcome shows nothing about the endpoint's health."""
    match outcome:
        case None:
            return True
        case NeverStarted(refusal=refusal):
            return refusal in NEUTRAL_REFUSALS
        case AttemptFailed(finish=Finish.CANCELLED | Finish.DEADLINE):
            return True
    return False
