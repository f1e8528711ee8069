"""Endpoint reports: the load and speed of endpoints, exchanged between gateways."""

import collections
import itertools
from collections.abc import Iterable

import logbook

from ..decisions.backlog import ReadingBacklog
from ..decisions.slowness import Timing, find_slow
from .endpointstate import EndpointState
from .fleet import Fleet
from .peerupdates import BacklogReport, EndpointReport, PeerUpdate

log = logbook.Logger("placing")

# Reports hold integers, which are encoded in fewer bytes than floats.
MILLISECONDS = 1000.0
HUNDREDTHS = 100.0


def report_endpoints(fleet: Fleet, now: float) -> tuple[EndpointReport, ...]:
    """Return this gateway's in-flight requests and its endpoints' slowness."""
    reports = (_report(state, now) for state in fleet)
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


def merge_reports(fleet: Fleet, updates: Iterable[PeerUpdate]) -> None:
    """Replace the peers' share of each endpoint state by their latest updates."""
    updates = tuple(updates)
    totals: dict[int, PeerTotals] = collections.defaultdict(PeerTotals)
    for report in itertools.chain.from_iterable(update.endpoints for update in updates):
        totals[report.lifetime].add(report)
    suspected = set(
        itertools.chain.from_iterable(update.suspected for update in updates)
    )
    for state in fleet:
        found = totals.get(state.key) or PeerTotals()
        state.peer_running = found.running
        state.peer_backlog = found.backlog
        state.peer_timing = found.timing
        state.is_suspected_by_peers = state.key in suspected


class PeerTotals:
    """The sum of all peers' reports of one endpoint."""

    __slots__ = ("backlog", "running", "timing")

    def __init__(self) -> None:
        self.running = 0
        self.backlog = ReadingBacklog()
        self.timing = Timing()

    def add(self, report: EndpointReport) -> None:
        """Add the report of one peer."""
        self.running += report.running
        for part in report.backlog:
            self.backlog.add(part.urgency, part.milliseconds / MILLISECONDS)
        self.timing += Timing(report.answers / HUNDREDTHS, report.slowness / HUNDREDTHS)


def detect_slow(fleet: Fleet, now: float) -> None:
    """Set the slowness of endpoints that take far longer than others of a service."""
    by_service: dict[str, dict[str, Timing]] = collections.defaultdict(dict)
    for state in fleet:
        timing = state.find_timing(now) + state.peer_timing
        by_service[state.endpoint.service][state.endpoint.name] = timing
    slow = collections.ChainMap(*map(find_slow, by_service.values()))
    for state in fleet:
        _set_slowness(state, slow.get(state.endpoint.name, 1.0))


def _set_slowness(state: EndpointState, factor: float) -> None:
    if (factor > 1.0) != (state.slowness > 1.0):
        name = state.endpoint.name
        log.info("placing: {} takes {:.1f} times as long as others", name, factor)
    state.slowness = factor
