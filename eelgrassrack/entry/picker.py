"""Which endpoint a request is sent to, and what its end teaches.

The directory says which endpoints may have the request, the ramp which
failure domains take their share yet, and the placement picks one.
"""

import random
from collections.abc import Callable

from ..decisions.domains import DomainRamp
from ..decisions.placement import Candidate, NoCandidate, Placement
from ..mailbox.messages import Finish, Refusal
from .channels import AttemptFailed, Completed, NeverStarted, Outcome
from .directory import Absence, Directory, EndpointRecord
from .jobs import Job
from .refusals import CallerError, refuse_unavailable

# While no endpoint can be found callers are told to come back after this
# many seconds, half of it more or less; an agent's restart takes about as
# long.  Were all told the same, all would come back in the same moment.
NO_ENDPOINT_RETRY = 2.0

# Refusals that say nothing bad of the endpoint's health.
FAIR_REFUSALS = frozenset(Refusal) - {Refusal.ENGINE_DOWN}


class Picker:
    """Pick endpoints for one entry."""

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
        """Return an endpoint that may get the job now, or why there is none."""
        now = self._clock()
        found = self._directory.find_serving(
            snapshot=job.snapshot, version=job.version, service=job.service, now=now
        )
        if isinstance(found, Absence):
            return self._refuse_absent(found.value)
        # An endpoint that was tried comes again only when it is the last.
        fresh = [endpoint for endpoint in found if endpoint.name not in tried] or found
        fresh = self._heed_ramp(fresh, now)
        chosen = self._placement.choose(
            candidates=[self._describe(endpoint, now) for endpoint in fresh],
            affinity=job.affinity or None,
            chances=(self._rng.random(), self._rng.random()),
            now=now,
        )
        if isinstance(chosen, NoCandidate):
            return self._refuse_absent("no_endpoint")
        return self._directory.find(chosen.name)

    def _refuse_absent(self, reason: str) -> CallerError:
        spread = 0.5 + self._rng.random()
        return refuse_unavailable(reason=reason, retry_after=NO_ENDPOINT_RETRY * spread)

    def _heed_ramp(
        self, found: list[EndpointRecord], now: float
    ) -> list[EndpointRecord]:
        """Leave out what stands in a domain that takes only a share yet."""
        domains = self._ramp.select(
            domains=frozenset(endpoint.domain for endpoint in found),
            chance=self._rng.random(),
            now=now,
        )
        return [endpoint for endpoint in found if endpoint.domain in domains] or found

    def _describe(self, endpoint: EndpointRecord, now: float) -> Candidate:
        load = endpoint.load
        return Candidate(
            name=endpoint.name,
            domain=endpoint.domain,
            running=load.running,
            queued=load.queued,
            window=load.window,
            reported_age=now - endpoint.heard_at,
            local=endpoint.running,
            group=endpoint.pool,
        )

    def note_sent(self, endpoint: EndpointRecord) -> None:
        """Count an attempt that an endpoint is given."""
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
        """Learn from an attempt's end what it shows of its endpoint.

        No outcome means that the caller went away.  `first_at` is when the
        first piece came.
        """
        endpoint.running -= 1
        if _says_nothing(outcome):
            self._placement.note_abandoned(endpoint=endpoint.name)
            return
        now = self._clock()
        self._placement.note_finished(
            endpoint=endpoint.name,
            succeeded=isinstance(outcome, Completed),
            seconds=(first_at or now) - began,
            now=now,
        )


def _says_nothing(outcome: Outcome | None) -> bool:
    """Tell whether an end shows nothing of the endpoint's health."""
    match outcome:
        case None:
            return True
        case NeverStarted(refusal=refusal):
            return refusal in FAIR_REFUSALS
        case AttemptFailed(finish=Finish.CANCELLED | Finish.DEADLINE):
            return True
    return False
