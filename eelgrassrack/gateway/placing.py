"""Place requests on endpoints by what this gateway knows of them."""

import asyncio
from typing import TYPE_CHECKING

import logbook

from ..decisions.engines import Candidate, choose_engine
from .endpoints import Endpoint
from .fleet import Fleet, Flight
from .messages import Head, Refusal
from .settings import GatewaySettings

if TYPE_CHECKING:
    from .serving import Job

log = logbook.Logger("placing")

# An endpoint that broke an attempt is passed over for this long; the time in
# which a crashed one is noticed by the platform and taken off its list.
SHUN_SECONDS = 1.0

NONE_LEFT = Refusal(status=503, reason="no endpoint", retry_after=1.0)


class Placing:
    """Choose endpoints and keep count of what runs on them."""

    __slots__ = ("_fleet", "_loop", "_settings", "entries")

    def __init__(self, *, fleet: Fleet, settings: GatewaySettings) -> None:
        self._fleet = fleet
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self.entries = 1

    async def place(self, job: "Job") -> Endpoint | Refusal:
        """Return the endpoint for the next attempt."""
        flights = self._fleet.select(service=job.permit.service.name)
        fresh = [one for one in flights if one.endpoint.name not in job.tried]
        if not fresh:
            return NONE_LEFT
        now = self._loop.time()
        by_name = {one.endpoint.name: one for one in fresh}
        chosen = choose_engine(
            candidates=[self._describe(one, now) for one in fresh],
            affinity=_find_affinity(job),
            spread=self._settings.name,
        )
        return by_name[chosen.name].endpoint

    def choose_model(self, job: "Job") -> str:
        """Return the model to name to the endpoint."""
        models = job.permit.route.models
        if job.arrival.model == "*" and models:
            return models[0]
        return job.arrival.model

    def begin(self, job: "Job", endpoint: Endpoint) -> None:
        """Count a request that is sent."""
        flight = self._fleet.find(endpoint.name)
        if flight is not None:
            flight.own += 1

    def end(self, job: "Job", endpoint: Endpoint) -> None:
        """Count the end of a request."""
        flight = self._find(endpoint)
        if flight is not None:
            flight.own -= 1

    def note_head(self, endpoint: Endpoint, head: Head) -> None:
        """Take over what an answer says of its endpoint."""
        flight = self._find(endpoint)
        if flight is not None and head.load is not None:
            flight.load = head.load
            flight.load_at = self._loop.time()

    def note_good(self, job: "Job", endpoint: Endpoint) -> None:
        """Learn from a whole answer."""

    def note_not_run(self, job: "Job", endpoint: Endpoint) -> None:
        """Learn from an attempt that didn't run."""
        self._shun(endpoint)

    def note_bad(self, job: "Job", endpoint: Endpoint) -> None:
        """Learn from an attempt that failed or was lost."""
        self._shun(endpoint)

    def _shun(self, endpoint: Endpoint) -> None:
        flight = self._find(endpoint)
        if flight is not None:
            flight.shunned_until = self._loop.time() + SHUN_SECONDS

    def _describe(self, flight: Flight, now: float) -> Candidate:
        return Candidate(
            name=flight.endpoint.name,
            running=flight.running,
            slots=flight.endpoint.slots,
            is_near=flight.endpoint.domain == self._settings.domain,
            is_shunned=now < flight.shunned_until or flight.missing_since is not None,
        )

    def _find(self, endpoint: Endpoint) -> Flight | None:
        """Return the lifetime's record, or None once it is gone."""
        flight = self._fleet.find(endpoint.name)
        if flight is None or flight.endpoint.lifetime != endpoint.lifetime:
            return None
        return flight


def _find_affinity(job: "Job") -> str:
    parts = job.arrival.parts
    return parts[0].name if len(parts) > 1 else ""
