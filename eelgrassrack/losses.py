"""Determines from the gateways' logs why requests were late or lost.

A request is lost if its caller got no complete answer.  It is late if the first
piece of the answer or a pause within it took longer than the objective of its
route.  Each such request gets one cause: the first endpoint fault that it met, or
else what delayed it.  Requests that reached no gateway are in no log.
"""

import collections
import enum
from collections.abc import Iterable

import msgspec

from .requesttrace import LogLine

# A late request counts as delayed by queueing if it waited longer than this share
# of the objective before the endpoint read its prompt.
WAIT_SHARE = 0.3


class Cause(enum.Enum):
    """Why a request was late or lost."""

    UNREACHABLE = "endpoint out of reach or silent"
    CUT_OFF = "answer cut off"
    FAILED = "endpoint answered with a failure"
    REFUSED = "endpoints refused"
    STOPPING = "gateway stopping"
    NO_ENDPOINT = "no endpoint"
    NO_RETRY = "no further try allowed"
    CALLER_LEFT = "caller left"
    PAUSED = "pause within the stream"
    QUEUED = "waited behind others"
    ESCALATED = "another model was asked"
    SLOW = "took longer than expected"
    UNKNOWN = "not explained"


class Loss(msgspec.Struct, kw_only=True, frozen=True):
    """A request that was late or lost.

    `seconds` is the time from arrival to end.  `news_age` is the age, in seconds, of
    the peer updates about other gateways' load when its last attempt was placed.
    """

    request: str
    time: float
    cause: Cause
    is_lost: bool
    route: str
    endpoints: tuple[str, ...]
    seconds: float
    news_age: float


class CauseCount(msgspec.Struct, kw_only=True, frozen=True):
    """The number of late and lost requests with one cause.

    `mean_seconds` is their mean duration.  `busiest` is the endpoint of most last
    attempts and the number of these.
    """

    cause: Cause
    late: int
    lost: int
    mean_seconds: float
    busiest: str


class AttemptFields(msgspec.Struct):
    """Fields of the log line of one attempt; times are in seconds."""

    endpoint: str = ""
    outcome: str = ""
    reason: str = ""
    seconds: float = 0.0
    expected: float = 0.0
    wait: float = 0.0
    news_age: float = 0.0


class EndFields(msgspec.Struct):
    """Fields of the last log line of a request; times are in seconds.

    `first` is the time to the first piece of the answer and `gap` the longest pause
    after it.
    """

    end: str = ""
    status: int = 0
    reason: str = ""
    route: str = ""
    seconds: float = 0.0
    first: float = 0.0
    objective: float = 0.0
    gap: float = 0.0
    gap_objective: float = 0.0

    @property
    def is_lost(self) -> bool:
        """Return whether a permitted request got no complete answer."""
        if self.end == "refused":
            return self.status >= 500
        return self.end != "answered"

    @property
    def is_late(self) -> bool:
        """Return whether the first piece or a pause exceeded its objective."""
        return self.first > self.objective > 0 or self.has_paused

    @property
    def has_paused(self) -> bool:
        """Return whether a pause exceeded its objective."""
        return self.gap > self.gap_objective > 0


def find_losses(lines: Iterable[LogLine]) -> list[Loss]:
    """Return the late and lost requests, ordered by their ends."""
    attempts: dict[str, list[AttemptFields]] = collections.defaultdict(list)
    losses = []
    for line in sorted(lines, key=lambda line: line.time):
        request = str(line.fields.get("request", ""))
        if "outcome" in line.fields:
            attempts[request].append(msgspec.convert(line.fields, AttemptFields))
        elif "end" in line.fields:
            end = msgspec.convert(line.fields, EndFields)
            tried = attempts.pop(request, [])
            if end.is_lost or end.is_late:
                losses.append(_describe(line.time, request, end, tried))
    return losses


def count_causes(losses: Iterable[Loss]) -> list[CauseCount]:
    """Return the counts by cause, sorted by lost and then late requests, descending."""
    by_cause: dict[Cause, list[Loss]] = collections.defaultdict(list)
    for loss in losses:
        by_cause[loss.cause].append(loss)
    counts = [_count(cause, group) for cause, group in by_cause.items()]
    return sorted(counts, key=lambda count: (-count.lost, -count.late))


def _count(cause: Cause, losses: list[Loss]) -> CauseCount:
    lost = sum(loss.is_lost for loss in losses)
    last = collections.Counter(loss.endpoints[-1] for loss in losses if loss.endpoints)
    name, times = (last.most_common(1) or [("", 0)])[0]
    return CauseCount(
        cause=cause,
        late=len(losses) - lost,
        lost=lost,
        mean_seconds=sum(loss.seconds for loss in losses) / len(losses),
        busiest=f"{name} {times}" if name else "",
    )


def _describe(
    time: float, request: str, end: EndFields, attempts: list[AttemptFields]
) -> Loss:
    return Loss(
        request=request,
        time=time,
        cause=_find_cause(end, attempts),
        is_lost=end.is_lost,
        route=end.route,
        endpoints=tuple(attempt.endpoint for attempt in attempts),
        seconds=end.seconds,
        news_age=attempts[-1].news_age if attempts else 0.0,
    )


def _find_cause(end: EndFields, attempts: list[AttemptFields]) -> Cause:
    faults = [
        cause for attempt in attempts if (cause := _find_fault(attempt)) is not None
    ]
    if faults:
        return faults[0]
    if end.is_lost:
        return _find_end_cause(end)
    if end.has_paused:
        return Cause.PAUSED
    if any(attempt.wait > end.objective * WAIT_SHARE for attempt in attempts):
        return Cause.QUEUED
    if any(attempt.outcome == "Unsure" for attempt in attempts):
        return Cause.ESCALATED
    return Cause.SLOW if attempts else Cause.UNKNOWN


def _find_fault(attempt: AttemptFields) -> Cause | None:
    """Return the endpoint fault that an attempt met, or None."""
    match attempt.outcome:
        case "Cut":
            return Cause.UNREACHABLE
        case "Lost" if "out of reach" in attempt.reason or "silent" in attempt.reason:
            return Cause.UNREACHABLE
        case "Lost":
            return Cause.CUT_OFF
        case "Failed":
            return Cause.FAILED
        case "NotRun":
            return Cause.REFUSED
    return None


def _find_end_cause(end: EndFields) -> Cause:
    """Return the cause of a lost request that met no endpoint fault."""
    match end:
        case EndFields(end="caller_gone"):
            return Cause.CALLER_LEFT
        case EndFields(reason="stopping"):
            return Cause.STOPPING
        case EndFields(reason="no endpoint" | "resting"):
            return Cause.NO_ENDPOINT
        case EndFields(reason="tried as often as allowed" | "retry budget spent"):
            return Cause.NO_RETRY
    return Cause.UNKNOWN
