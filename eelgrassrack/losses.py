"""Why requests were late or lost, by what gateways' logs say of each.

A request is lost if its caller got no whole answer, and late if its first piece or
a pause took longer than its route wants.  One cause is named for each: the fault
of an endpoint if there was any on the way, else what took the time.  Callers that
reached no gateway have no line in any log.
"""

import collections
import enum
from collections.abc import Iterable

import msgspec

from .requesttrace import LogLine

# A wait of this part of the objective before the endpoint read the prompt is what
# made a request late.
WAIT_SHARE = 0.3


class Cause(enum.Enum):
    """Why a request was late or lost."""

    DARK = "endpoint out of reach or silent"
    BROKEN = "answer cut off"
    FAILED = "endpoint answered with a failure"
    NOT_RUN = "endpoints refused"
    STOPPED = "gateway stopping"
    NO_ENDPOINT = "no endpoint"
    REPEATED = "no further try allowed"
    LEFT = "caller left"
    PAUSED = "pause within the stream"
    WAITED = "waited behind others"
    MODEL = "another model was asked"
    SLOW = "took longer than expected"
    OTHER = "not explained"


class Loss(msgspec.Struct, kw_only=True, frozen=True):
    """A request that was late or lost.

    `seconds` is from its arrival to its end, `news_age` how old the view of other
    gateways' load was at its last placement.
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
    """How many requests one cause made late, and how many it lost."""

    cause: Cause
    late: int
    lost: int
    mean_seconds: float
    busiest: str


class Attempt(msgspec.Struct):
    """What a line says of one attempt."""

    endpoint: str = ""
    outcome: str = ""
    reason: str = ""
    seconds: float = 0.0
    expected: float = 0.0
    wait: float = 0.0
    news_age: float = 0.0


class End(msgspec.Struct):
    """What the last line of a request says; `gap` is its longest pause."""

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
        """Tell whether the caller got no whole answer, though it was permitted."""
        if self.end == "refused":
            return self.status >= 500
        return self.end != "answered"

    @property
    def is_late(self) -> bool:
        """Tell whether the first piece or a pause took longer than wanted."""
        return self.first > self.objective > 0 or self.has_paused

    @property
    def has_paused(self) -> bool:
        """Tell whether a pause was longer than wanted."""
        return self.gap > self.gap_objective > 0


def find_losses(lines: Iterable[LogLine]) -> list[Loss]:
    """Return the requests that were late or lost, in the order of their ends."""
    attempts: dict[str, list[Attempt]] = collections.defaultdict(list)
    losses = []
    for line in sorted(lines, key=lambda one: one.time):
        request = str(line.fields.get("request", ""))
        if "outcome" in line.fields:
            attempts[request].append(msgspec.convert(line.fields, Attempt))
        elif "end" in line.fields:
            end = msgspec.convert(line.fields, End)
            made = attempts.pop(request, [])
            if end.is_lost or end.is_late:
                losses.append(_describe(line.time, request, end, made))
    return losses


def count_causes(losses: Iterable[Loss]) -> list[CauseCount]:
    """Return the causes that occurred, those of most losses first."""
    by_cause: dict[Cause, list[Loss]] = collections.defaultdict(list)
    for loss in losses:
        by_cause[loss.cause].append(loss)
    counts = [_count(cause, found) for cause, found in by_cause.items()]
    return sorted(counts, key=lambda one: (-one.lost, -one.late))


def _count(cause: Cause, losses: list[Loss]) -> CauseCount:
    lost = sum(one.is_lost for one in losses)
    last = collections.Counter(one.endpoints[-1] for one in losses if one.endpoints)
    name, times = (last.most_common(1) or [("", 0)])[0]
    return CauseCount(
        cause=cause,
        late=len(losses) - lost,
        lost=lost,
        mean_seconds=sum(one.seconds for one in losses) / len(losses),
        busiest=f"{name} {times}" if name else "",
    )


def _describe(time: float, request: str, end: End, attempts: list[Attempt]) -> Loss:
    return Loss(
        request=request,
        time=time,
        cause=_find_cause(end, attempts),
        is_lost=end.is_lost,
        route=end.route,
        endpoints=tuple(one.endpoint for one in attempts),
        seconds=end.seconds,
        news_age=attempts[-1].news_age if attempts else 0.0,
    )


def _find_cause(end: End, attempts: list[Attempt]) -> Cause:
    faults = [cause for one in attempts if (cause := _find_fault(one)) is not None]
    if faults:
        return faults[0]
    if end.is_lost:
        return _find_end(end)
    if end.has_paused:
        return Cause.PAUSED
    if any(one.wait > end.objective * WAIT_SHARE for one in attempts):
        return Cause.WAITED
    if any(one.outcome == "Unsure" for one in attempts):
        return Cause.MODEL
    return Cause.SLOW if attempts else Cause.OTHER


def _find_fault(attempt: Attempt) -> Cause | None:
    """Return the fault of an endpoint that an attempt met."""
    match attempt.outcome:
        case "Cut":
            return Cause.DARK
        case "Lost" if "out of reach" in attempt.reason or "silent" in attempt.reason:
            return Cause.DARK
        case "Lost":
            return Cause.BROKEN
        case "Failed":
            return Cause.FAILED
        case "NotRun":
            return Cause.NOT_RUN
    return None


def _find_end(end: End) -> Cause:
    """Return why a request was lost at whose endpoints nothing was wrong."""
    match end:
        case End(end="caller_gone"):
            return Cause.LEFT
        case End(reason="stopping"):
            return Cause.STOPPED
        case End(reason="no endpoint"):
            return Cause.NO_ENDPOINT
        case End(reason="tried as often as allowed" | "retry budget spent"):
            return Cause.REPEATED
    return Cause.OTHER
