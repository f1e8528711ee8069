"""What gateways tell each other of endpoints, and what they make of it."""

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

# News hold whole numbers, which are shorter than fractions.
MILLISECONDS = 1000.0
HUNDREDTHS = 100.0


def report_endpoints(fleet: Fleet, now: float) -> tuple[EndpointReport, ...]:
    """Return what is under way here, and how slow answers were."""
    told = (_tell(flight, now) for flight in fleet)
    return tuple(one for one in told if one.running or one.answers)


def _tell(flight: EndpointState, now: float) -> EndpointReport:
    timing = flight.find_timing(now)
    backlog = tuple(
        BacklogReport(urgency, int(seconds * MILLISECONDS))
        for urgency, seconds in flight.own_backlog.list_parts()
    )
    return EndpointReport(
        flight.key,
        flight.own_running,
        backlog,
        int(timing.answers * HUNDREDTHS),
        int(timing.total * HUNDREDTHS),
    )


def merge_reports(fleet: Fleet, heard: Iterable[PeerUpdate]) -> None:
    """Take over what all peers have under way."""
    heard = tuple(heard)
    sums: dict[int, Sum] = collections.defaultdict(Sum)
    for told in itertools.chain.from_iterable(one.endpoints for one in heard):
        sums[told.lifetime].add(told)
    suspected = set(itertools.chain.from_iterable(one.suspected for one in heard))
    for flight in fleet:
        found = sums.get(flight.key) or Sum()
        flight.peer_running = found.running
        flight.peer_backlog = found.backlog
        flight.peer_timing = found.timing
        flight.is_suspected_by_peers = flight.key in suspected


class Sum:
    """What all peers have under way at one endpoint."""

    __slots__ = ("backlog", "running", "timing")

    def __init__(self) -> None:
        self.running = 0
        self.backlog = ReadingBacklog()
        self.timing = Timing()

    def add(self, told: EndpointReport) -> None:
        """Add what one peer has."""
        self.running += told.running
        for part in told.backlog:
            self.backlog.add(part.urgency, part.milliseconds / MILLISECONDS)
        self.timing += Timing(told.answers / HUNDREDTHS, told.slowness / HUNDREDTHS)


def detect_slow(fleet: Fleet, now: float) -> None:
    """Find out which endpoints take far longer than others of their service."""
    by_service: dict[str, dict[str, Timing]] = collections.defaultdict(dict)
    for flight in fleet:
        timing = flight.find_timing(now) + flight.peer_timing
        by_service[flight.endpoint.service][flight.endpoint.name] = timing
    slow = collections.ChainMap(*map(find_slow, by_service.values()))
    for flight in fleet:
        _take_slowness(flight, slow.get(flight.endpoint.name, 1.0))


def _take_slowness(flight: EndpointState, factor: float) -> None:
    if (factor > 1.0) != (flight.slowness > 1.0):
        name = flight.endpoint.name
        log.info("placing: {} takes {:.1f} times as long as others", name, factor)
    flight.slowness = factor
