"""What callers and endpoints saw in a play."""

import bisect
import collections
import statistics
from collections.abc import Iterable, Sequence

import msgspec

from .callers import LIMIT_SECONDS, SLACK_SECONDS, Call, Try

# The platform's bound on requests at an endpoint that names a limit.
WINDOW_SECONDS = 4.0
OVERAGE = 1.5
SLACK_REQUESTS = 5


class Figures(msgspec.Struct, kw_only=True, frozen=True):
    """The requests of a span of time, as their callers saw them.

    `served` is the share that was served at the first try that a gateway read,
    `never_read` how many no gateway read, and `silent` how many were read and had no
    answer in time.  `ends` counts the ends of first read tries.
    """

    requests: int
    served: float
    median: float
    tries: float
    never_read: int
    silent: int
    ends: dict[str, int]


class LimitUse(msgspec.Struct, kw_only=True, frozen=True):
    """How endpoints with a limit were used.

    `excess` is the most requests of a window beyond the platform's bound, and `least`
    and `mean` are shares of the limit.
    """

    excess: float
    least: float
    mean: float


def find_figures(calls: Iterable[Call], read: set[str]) -> Figures:
    """Return the figures of calls; `read` are the attempts that gateways read."""
    calls = list(calls)
    firsts = [_find_first_read(call, read) for call in calls]
    tried = [one for one in firsts if one is not None]
    good = [one for one in tried if one.status == 200 and one.is_whole]
    latest = LIMIT_SECONDS + SLACK_SECONDS
    return Figures(
        requests=len(calls),
        served=len(good) / max(len(calls), 1),
        median=statistics.median(one.waited for one in good) if good else 0.0,
        tries=sum(len(call.tries) for call in calls) / max(len(calls), 1),
        never_read=sum(one is None for one in firsts),
        silent=sum(not one.status and one.waited >= latest for one in tried),
        ends=dict(collections.Counter(map(_describe_end, tried))),
    )


def _find_first_read(call: Call, read: set[str]) -> Try | None:
    tries = (one for one in call.tries if one.status or one.attempt in read)
    return next(tries, None)


def _describe_end(one: Try) -> str:
    if not one.status:
        return one.reason or "no answer"
    return str(one.status) if one.is_whole else f"{one.status} cut"


def find_limit_use(
    arrivals: Iterable[Sequence[float]], limits: Iterable[float], *, span: float
) -> LimitUse:
    """Return how endpoints were used that named limits, in a span of seconds."""
    pairs = list(zip(arrivals, limits, strict=True))
    uses = [len(times) / span / limit for times, limit in pairs]
    excess = max(
        find_most(times) - OVERAGE * limit * WINDOW_SECONDS - SLACK_REQUESTS
        for times, limit in pairs
    )
    return LimitUse(excess=excess, least=min(uses), mean=statistics.mean(uses))


def find_most(times: Sequence[float]) -> int:
    """Return the most of some sorted times that lie in one window."""
    return max(
        (
            number + 1 - bisect.bisect_right(times, end - WINDOW_SECONDS)
            for number, end in enumerate(times)
        ),
        default=0,
    )
