"""Admission at the entry: the one place that lets a request in.

The entry keeps no queue of its own.  Work waits at the agents, where
turns are fair between the organisations of all entries; a second queue
here would hide from callers how long they wait.
"""

import collections
import math
import random
from collections.abc import Callable

from ..decisions.admission import (
    SECONDS_PER_TOKEN,
    Admission,
    Admitted,
    Arrival,
    Backlog,
    Refused,
    estimate_wait,
)
from ..decisions.stopping import DrainAction, choose_drain_action
from ..decisions.waiting import count_ahead, is_patient
from ..document.sections import Organisation
from ..document.snapshot import Snapshot
from .directory import Absence, Directory
from .refusals import CallerError, refuse_overload, refuse_unavailable

# Seconds taken for a backlog whose drain rate nobody has measured yet.
UNKNOWN_SECONDS = 0.0


class Door:
    """Admit requests by their organisation's limits and the backlog.

    `ends_at` is when this entry ends, once it was told to stop.
    """

    __slots__ = ("_admission", "_clock", "_directory", "_rng", "ends_at")

    def __init__(
        self,
        *,
        directory: Directory,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._admission = Admission()
        self._directory = directory
        self._rng = rng
        self._clock = clock
        self.ends_at = math.inf

    def find_deadline(self, *, within: float) -> float:
        """Return when a request that comes now has its answer at the latest."""
        return min(self._clock() + within, self.ends_at)

    def admit(
        self,
        *,
        organisation: Organisation,
        snapshot: Snapshot,
        tokens: int,
        within: float,
        versions: list[tuple[str, ...]],
        service: str = "",
        repeatable: bool = True,
    ) -> CallerError | DrainAction:
        """Let a request in, to be released later, or say why not.

        `versions` holds the versions of each step it may begin with.
        """
        now = self._clock()
        limit, within = within, min(within, self.ends_at - now)
        patient = is_patient(tokens=tokens, within=within)
        backlogs = [
            self._sum_backlog(organisation, snapshot, names, service, patient)
            for names in versions
        ]
        backlog = min(backlogs, key=_estimate_seconds)
        arrival = Arrival(
            organisation=organisation.name,
            priority=organisation.priority,
            tokens=tokens,
            within=within,
            usual=snapshot.limits.default_deadline,
        )
        terms = choose_drain_action(
            remaining=self.ends_at - now,
            limit=limit,
            expected=_expect(arrival, organisation, backlog),
            is_repeatable=repeatable,
        )
        if terms is DrainAction.REFUSE:
            return refuse_unavailable(reason="draining")
        verdict = self._admission.judge(
            arrival=arrival,
            organisation=organisation,
            backlog=backlog,
            now=now,
            chance=self._rng.random(),
        )
        match verdict:
            case Admitted():
                return terms
            case Refused(reason=reason, retry_after=retry_after):
                return refuse_overload(reason=reason.value, retry_after=retry_after)

    def release(self, *, organisation: Organisation) -> None:
        """Count the end of a request that was let in."""
        self._admission.release(organisation=organisation.name)

    def _sum_backlog(
        self,
        organisation: Organisation,
        snapshot: Snapshot,
        versions: tuple[str, ...],
        service: str,
        patient: bool,
    ) -> Backlog:
        now = self._clock()
        found = [
            self._directory.find_serving(
                snapshot=snapshot, version=version, service=service, now=now
            )
            for version in versions
        ]
        lists = (each for each in found if not isinstance(each, Absence))
        loads = {known.name: known.load for each in lists for known in each}
        # Turns are fair by organisation: one with little waiting is not
        # held up by the backlog of another, and must not be refused for it.
        own: collections.Counter[str] = collections.Counter()
        long: collections.Counter[str] = collections.Counter()
        for load in loads.values():
            own.update(load.queued_by)
            long.update(load.patient_by)
        name = organisation.name
        alike = long[name] if patient else own[name] - long[name]
        return Backlog(
            tokens=sum(load.queued_tokens for load in loads.values()),
            drain=sum(load.drain for load in loads.values()),
            own=count_ahead(own=own[name], alike=alike),
            weights=_sum_weights(snapshot, {*own, name}),
        )


def _expect(arrival: Arrival, organisation: Organisation, backlog: Backlog) -> float:
    """Return the seconds that a request is expected to take."""
    wait = estimate_wait(arrival=arrival, weight=organisation.weight, backlog=backlog)
    return wait + arrival.tokens * SECONDS_PER_TOKEN


def _sum_weights(snapshot: Snapshot, names: set[str]) -> float:
    found = (snapshot.organisations.get(name) for name in names)
    return sum(each.weight for each in found if each is not None)


def _estimate_seconds(backlog: Backlog) -> float:
    if backlog.drain <= 0:
        return UNKNOWN_SECONDS
    return backlog.tokens / backlog.drain
