"""Select the endpoints that a request may be sent to, before one is chosen."""

from collections.abc import Callable, Collection, Iterable

from ...decisions.candidates import draw_candidates, find_home
from ...decisions.suspects import avoid_suspected, has_room
from ...decisions.versiontrial import count_on_trial, rank_on_trial
from ..requests.job import Job
from ..requests.prompts import find_affinity
from ..settings import GatewaySettings
from ..versions.rollouts import Rollouts
from .endpoint import Endpoint
from .endpointstate import EndpointState
from .fleet import Fleet, VersionChoice
from .wishes import EndpointWishes


class DomainSplit:
    """Endpoints of this gateway's failure domain and of others.

    `states` is the list that was split.
    """

    __slots__ = ("_homes", "far", "near", "states")

    def __init__(
        self,
        *,
        states: list[EndpointState],
        near: list[EndpointState],
        far: list[EndpointState],
    ) -> None:
        self.states = states
        self.near = near
        self.far = far
        self._homes: dict[str, EndpointState] = {}

    @classmethod
    def make(
        cls, states: list[EndpointState], *, is_near: Callable[[Endpoint], bool]
    ) -> "DomainSplit":
        """Split a list of endpoints."""
        near = [state for state in states if is_near(state.endpoint)]
        far = [state for state in states if not is_near(state.endpoint)]
        return cls(states=states, near=near, far=far)

    def find_home(self, affinity: str) -> EndpointState:
        """Return the endpoint that is to cache a prefix, preferably a near one."""
        home = self._homes.get(affinity)
        if home is None:
            by_name = {one.endpoint.name: one for one in self.near or self.far}
            home = by_name[find_home(tuple(by_name), affinity)]
            self._homes[affinity] = home
        return home


class EndpointSelector:
    """Select endpoints of a request's service and versions that want requests."""

    __slots__ = ("_clock", "_fleet", "_rollouts", "_settings", "_split", "_wishes")

    def __init__(
        self,
        *,
        fleet: Fleet,
        rollouts: Rollouts,
        wishes: EndpointWishes,
        settings: GatewaySettings,
        clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._rollouts = rollouts
        self._wishes = wishes
        self._settings = settings
        self._split: DomainSplit | None = None

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings."""
        self._settings = settings

    def is_near(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is in this gateway's failure domain."""
        return endpoint.domain == self._settings.domain

    def select(
        self, job: Job, model: str, excluded: Collection[str]
    ) -> list[EndpointState]:
        """Return the endpoints to weigh, of those that may get a request now."""
        versions = self._choose_versions(job)
        states = self._list_states(job, versions)
        if versions.share < 1.0:
            return self._list_on_trial(states, versions, excluded)
        drawn = self._draw(job, model, states)
        found = self._list_ready(drawn, excluded)
        if found or len(drawn) == len(states):
            return found
        return self._list_ready(states, excluded)

    def select_trusted(self, job: Job, now: float) -> list[EndpointState]:
        """Return the endpoints to weigh for a request's next attempt.

        One that may not be repeated avoids endpoints that lost an answer lately, as
        long as others have room.
        """
        return avoid_suspected(
            self.select(job, job.model, excluded=job.excluded),
            is_suspected=lambda state: state.is_suspected(now),
            has_room=lambda state: has_room(
                running=state.running, slots=state.endpoint.slots
            ),
            is_repeatable=job.is_repeatable,
        )

    def list_permitted(
        self, job: Job, excluded: Collection[str]
    ) -> list[EndpointState]:
        """Return the endpoints that may get a request, also those that rest."""
        return [
            state for state in self.list_all(job) if state.endpoint.name not in excluded
        ]

    def list_all(self, job: Job) -> list[EndpointState]:
        """Return the endpoints of a request's service and versions."""
        return self._list_states(job, self._choose_versions(job))

    def _choose_versions(self, job: Job) -> VersionChoice:
        return self._rollouts.choose_version(
            service=job.permit.service.name,
            session=job.arrival.session,
            request=job.arrival.id,
        )

    def _list_states(self, job: Job, versions: VersionChoice) -> list[EndpointState]:
        return self._fleet.select(service=job.permit.service.name, versions=versions)

    def _list_on_trial(
        self,
        states: list[EndpointState],
        versions: VersionChoice,
        excluded: Collection[str],
    ) -> list[EndpointState]:
        """Return the endpoints of a version on trial that are in use now."""
        ready = self._list_ready(states, excluded)
        if not all(versions.allows(state.endpoint.version) for state in ready):
            return ready
        now = self._clock()
        ranked = sorted(
            ready,
            key=lambda state: (
                now < state.avoided_until or now < state.cold_until,
                rank_on_trial(state.endpoint.name, slot=versions.slot),
            ),
        )
        return ranked[: count_on_trial(len(states), share=versions.share)]

    def _list_ready(
        self, states: Iterable[EndpointState], excluded: Collection[str]
    ) -> list[EndpointState]:
        return [
            state
            for state in states
            if state.endpoint.name not in excluded
            and not self._wishes.is_resting(state.endpoint)
        ]

    def _draw(
        self, job: Job, model: str, states: list[EndpointState]
    ) -> list[EndpointState]:
        """Return the endpoints to weigh, with the home of the prompt's prefix."""
        if self._split is None or self._split.states is not states:
            self._split = DomainSplit.make(states, is_near=self.is_near)
        split = self._split
        drawn = draw_candidates(near=split.near, far=split.far, request=job.arrival.id)
        affinity = find_affinity(job, model)
        if not affinity or len(drawn) == len(states):
            return drawn
        home = split.find_home(affinity)
        return drawn if home in drawn else [*drawn, home]
