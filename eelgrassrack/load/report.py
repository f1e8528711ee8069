"""Report of a run: by organisation and kind, and by second."""

from collections.abc import Mapping

import msgspec
from hdrh.histogram import HdrHistogram

from .tally import RequestResult, Tally
from .workload import Plan

MICROSECONDS_PER_MILLISECOND = 1_000

# Above these the load generator's own event loop delays what it measures.
MAX_CPU_SHARE = 0.7
MAX_LAG_MS = 20.0


class Times(msgspec.Struct, kw_only=True, frozen=True):
    """Number of measured times, and their percentiles in milliseconds."""

    count: int
    p50: float | None = None
    p95: float | None = None
    p99: float | None = None
    longest: float | None = None


class Row(msgspec.Struct, kw_only=True, frozen=True):
    """The results of one organisation and kind.

    Each request has one result, so `requests` is the sum of the fields from
    `in_time` to `not_sent`.  `tries` and `refusals` count each try of a
    request.  `wait` is what refusals asked for by `Retry-After`.  `first`,
    `gaps` and `whole` are the times to the first token, between tokens and to
    the whole answer.
    """

    organisation: str
    kind: str
    requests: int
    in_time: int
    late: int
    refused: int
    broken: int
    unknown: int
    not_sent: int
    tries: int
    refusals: int
    responses: int
    wait: Times
    first: Times
    gaps: Times
    whole: Times
    codes: dict[str, int]
    versions: dict[str, int]


class Second(msgspec.Struct, kw_only=True, frozen=True):
    """The results of the requests that arrived in one second of the run."""

    at: int
    in_time: int
    late: int
    refused: int
    broken: int
    unknown: int
    not_sent: int


class Totals(msgspec.Struct, kw_only=True, frozen=True):
    """Totals of the run and the load generator's own use of resources.

    `cpu_share` is the part of one core that the load generator used.
    """

    arrivals: int
    seconds: float
    cpu_share: float
    most_at_once: int


class Report(msgspec.Struct, kw_only=True, frozen=True):
    """The report of a run.

    `lag` is the time from a request's planned arrival to its sending.
    """

    totals: Totals
    lag: Times
    rows: tuple[Row, ...]
    seconds: tuple[Second, ...]

    @property
    def is_answered(self) -> bool:
        """Return whether any entry responded."""
        return any(row.responses for row in self.rows)

    @property
    def is_tool_busy(self) -> bool:
        """Return whether the load generator may have delayed what it measured."""
        late = (self.lag.p99 or 0.0) > MAX_LAG_MS
        return late or self.totals.cpu_share > MAX_CPU_SHARE


def build_report(
    *,
    plan: Plan,
    tallies: Mapping[str, Tally],
    totals: Totals,
    lag: HdrHistogram,
    seconds: Mapping[int, Mapping[RequestResult, int]],
) -> Report:
    """Return the report of a run."""
    return Report(
        totals=totals,
        lag=read_times(lag),
        rows=tuple(
            _build_row(kind.organisation, kind.name, tallies[kind.name])
            for kind in plan.kinds
        ),
        seconds=tuple(
            Second(at=at, **_name_results(seconds[at])) for at in sorted(seconds)
        ),
    )


def read_times(histogram: HdrHistogram) -> Times:
    """Return the percentiles of a histogram of microseconds."""
    count = histogram.get_total_count()
    if not count:
        return Times(count=0)
    p50, p95, p99, longest = (
        histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_MILLISECOND
        for percentile in (50, 95, 99, 100)
    )
    return Times(count=count, p50=p50, p95=p95, p99=p99, longest=longest)


def _build_row(organisation: str, kind: str, tally: Tally) -> Row:
    return Row(
        organisation=organisation,
        kind=kind,
        requests=tally.requests,
        **_name_results(tally.results),
        tries=tally.tries,
        refusals=tally.refusals,
        responses=tally.responses,
        wait=read_times(tally.waits),
        first=read_times(tally.first),
        gaps=read_times(tally.gaps),
        whole=read_times(tally.whole),
        codes=dict(tally.codes),
        versions=dict(tally.versions),
    )


def _name_results(counts: Mapping[RequestResult, int]) -> dict[str, int]:
    """Return the counts by the field names of `Row` and `Second`."""
    return {result.name.lower(): counts.get(result, 0) for result in RequestResult}
