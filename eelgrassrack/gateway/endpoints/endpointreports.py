"""Endpoint reports: the load and speed of endpoints, exchanged between gateways."""

import collections
import itertools
from collections.abc import Iterable

import logbook

from ...decisions.backlog import ReadingBacklog
from ...decisions.slowness import Timing, find_slow
from ...decisions.urgency import RANKS
from ..peers.updatemessages import BacklogReport, EndpointReport, PeerUpdate
from .endpointstate import EndpointState
from .fleet import Fleet

log = logbook.Logger("placing")

# Reports hold integers, which are encoded in fewer bytes than floats.
MILLISECONDS = 1000.0
HUNDREDTHS = 100.0

# Totals are added up again once there are this many times more than endpoints.
MAX_TOTALS_FACTOR = 4


def report_endpoints(fleet: Fleet, now: float) -> tuple[EndpointReport, ...]:
    """Return this gateway's in-flight requests and its endpoints' slowness."""
    used = (state for state in fleet if state.own_running or state.timing.answers)
    reports = (_report(state, now) for state in used)
    return tuple(report for report in reports if report.running or report.answers)


def _report(state: EndpointState, now: float) -> EndpointReport:
    timing = state.find_timing(now)
    backlog = tuple(
        BacklogReport(urgency, int(seconds * MILLISECONDS))
        for urgency, seconds in state.own_backlog.list_parts()
    )
    return EndpointReport(
        state.key,
        state.own_running,
        backlog,
        int(timing.answers * HUNDREDTHS),
        int(timing.total * HUNDREDTHS),
    )


class PeerTotals:
    """The sum of peers' reports of one lifetime of an endpoint.

    It is kept in the reports' integers, so that what is added and subtracted again
    leaves nothing behind.
    """

    __slots__ = ("_answers", "_milliseconds", "_slowness", "running")

    def __init__(self) -> None:
        self.running = 0
        self._milliseconds = [0] * RANKS
        self._answers = 0
        self._slowness = 0

    def add(self, report: EndpointReport, sign: int) -> None:
        """Add the report of one peer, or take it out if `sign` is -1."""
        self.running += sign * report.running
        for part in report.backlog:
            self._milliseconds[part.urgency] += sign * part.milliseconds
        self._answers += sign * report.answers
        self._slowness += sign * report.slowness

    @property
    def backlog(self) -> ReadingBacklog:
        """Return the reading time of the peers' pending prompts."""
        return ReadingBacklog(
            (urgency, milliseconds / MILLISECONDS)
            for urgency, milliseconds in enumerate(self._milliseconds)
        )

    @property
    def timing(self) -> Timing:
        """Return the response times that the peers saw."""
        return Timing(self._answers / HUNDREDTHS, self._slowness / HUNDREDTHS)


NO_REPORTS = PeerTotals()


class PeerReports:
    """What all peers report of each endpoint, by their latest updates.

    Only reports that differ from the last merge are added and taken out: with hundreds
    of gateways, adding up all of them for each request takes longer than the rest of
    its processing.
    """

    __slots__ = ("_changed", "_suspected", "_totals", "_updates")

    def __init__(self) -> None:
        self._changed: set[int] = set()
        self._suspected: set[int] = set()
        self._updates: dict[str, PeerUpdate] = {}
        self._totals: dict[int, PeerTotals] = collections.defaultdict(PeerTotals)

    def merge(self, fleet: Fleet, updates: Iterable[PeerUpdate]) -> None:
        """Replace the peers' share of each endpoint state by their latest updates."""
        latest = {update.name: update for update in updates}
        for name, update in self._updates.items():
            if latest.get(name) is not update:
                self._add(update, -1)
        for name, update in latest.items():
            if self._updates.get(name) is not update:
                self._add(update, 1)
        self._updates = latest
        self._apply(fleet)

    def _add(self, update: PeerUpdate, sign: int) -> None:
        for report in update.endpoints:
            self._totals[report.lifetime].add(report, sign)
            self._changed.add(report.lifetime)

    def _apply(self, fleet: Fleet) -> None:
        """Apply what has changed to the endpoints' states, and all to new ones."""
        before = self._suspected
        self._suspected = set(
            itertools.chain.from_iterable(
                update.suspected for update in self._updates.values()
            )
        )
        changed = self._changed | (before ^ self._suspected)
        self._changed = set()
        states = tuple(fleet)
        for state in states:
            if state.key in changed or not state.has_reports:
                self._apply_to(state)
        if len(self._totals) > MAX_TOTALS_FACTOR * (1 + len(states)):
            self._recount()

    def _apply_to(self, state: EndpointState) -> None:
        found = self._totals.get(state.key) or NO_REPORTS
        state.has_reports = True
        state.peer_running = found.running
        state.peer_backlog = found.backlog
        state.peer_timing = found.timing
        state.is_suspected_by_peers = state.key in self._suspected

    def _recount(self) -> None:
        """Add all reports up again, which drops the totals of ended lifetimes."""
        self._totals.clear()
        for update in self._updates.values():
            self._add(update, 1)
        # Their sums haven't changed.
        self._changed.clear()


def detect_slow(fleet: Fleet, now: float) -> None:
    """Set the slowness of endpoints that take far longer than others of a service."""
    by_service: dict[str, dict[str, Timing]] = collections.defaultdict(dict)
    for state in fleet:
        if not (state.timing.answers or state.peer_timing.answers):
            continue
        timing = state.find_timing(now) + state.peer_timing
        by_service[state.endpoint.service][state.endpoint.name] = timing
    slow = collections.ChainMap(*map(find_slow, by_service.values()))
    for state in fleet:
        factor = slow.get(state.endpoint.name, 1.0)
        if factor != state.slowness:
            _set_slowness(state, factor)


def _set_slowness(state: EndpointState, factor: float) -> None:
    if (factor > 1.0) != (state.slowness > 1.0):
        name = state.endpoint.name
        log.info("placing: {} takes {:.1f} times as long as others", name, factor)
    state.slowness = factor
