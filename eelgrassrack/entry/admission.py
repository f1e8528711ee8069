"""Admission control for all requests to an entry.

The entry has no queue.  Requests wait at the agents, whose fair queueing
covers the organisations of all entries; a second queue at the entry would
make waiting times invisible to callers.
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
from .directory import Directory, NoEndpointReason
from .refusals import CallerError, refuse_overload, refuse_unavailable

# Assumed duration of a backlog with an unknown drain rate.
UNKNOWN_SECONDS = 0.0


class AdmissionControl:
    """Admits requests by their organisation's limits and the backlog.

    `ends_at` is when this entry exits, in the time of the event loop; it is
    infinite until the entry is told to stop.
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

    def find_deadline(self, *, remaining: float) -> float:
        """Return the deadline of a request that arrives now.

        `remaining` is the seconds that its caller waits.
        """
        return min(self._clock() + remaining, self.ends_at)

    def admit(
        self,
        *,
        organisation: Organisation,
        snapshot: Snapshot,
        tokens: int,
        remaining: float,
        versions: list[tuple[str, ...]],
        service: str = "",
        repeatable: bool = True,
    ) -> CallerError | DrainAction:
        """Admit a request, which must be released later, or refuse it.

        `versions` holds the versions of each step that may come first.
        """
        now = self._clock()
        limit, remaining = remaining, min(remaining, self.ends_at - now)
        patient = is_patient(tokens=tokens, within=remaining)
        backlogs = [
            self._sum_backlog(organisation, snapshot, names, service, patient)
            for names in versions
        ]
        backlog = min(backlogs, key=_estimate_seconds)
        arrival = Arrival(
            organisation=organisation.name,
            priority=organisation.priority,
            tokens=tokens,
            within=remaining,
            usual=snapshot.limits.default_deadline,
        )
        action = choose_drain_action(
            remaining=self.ends_at - now,
            limit=limit,
            expected=_expect(arrival, organisation, backlog),
            is_repeatable=repeatable,
        )
        if action is DrainAction.REFUSE:
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
                return action
            case Refused(reason=reason, retry_after=retry_after):
                return refuse_overload(reason=reason.value, retry_after=retry_after)

    def release(self, *, organisation: Organisation) -> None:
        """Release an admitted request that has ended."""
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
        serving = (each for each in found if not isinstance(each, NoEndpointReason))
        loads = {endpoint.name: endpoint.load for each in serving for endpoint in each}
        # Queueing is fair by organisation: the backlog of one doesn't delay
        # another, which must not be refused because of it.
        queued_tokens: collections.Counter[str] = collections.Counter()
        patient_tokens: collections.Counter[str] = collections.Counter()
        for load in loads.values():
            queued_tokens.update(load.queued_by)
            patient_tokens.update(load.patient_by)
        name = organisation.name
        alike = (
            patient_tokens[name]
            if patient
            else queued_tokens[name] - patient_tokens[name]
        )
        return Backlog(
            tokens=sum(load.queued_tokens for load in loads.values()),
            drain=sum(load.drain for load in loads.values()),
            own=count_ahead(own=queued_tokens[name], alike=alike),
            weights=_sum_weights(snapshot, {*queued_tokens, name}),
        )


def _expect(arrival: Arrival, organisation: Organisation, backlog: Backlog) -> float:
    """Return the expected time to the complete answer, in seconds."""
    wait = estimate_wait(arrival=arrival, weight=organisation.weight, backlog=backlog)
    return wait + arrival.tokens * SECONDS_PER_TOKEN


def _sum_weights(snapshot: Snapshot, names: set[str]) -> float:
    found = (snapshot.organisations.get(name) for name in names)
    return sum(each.weight for each in found if each is not None)


def _estimate_seconds(backlog: Backlog) -> float:
    if backlog.drain <= 0:
        return UNKNOWN_SECONDS
    return backlog.tokens / backlog.drain
