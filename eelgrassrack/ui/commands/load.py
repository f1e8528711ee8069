"""`eelgrassrack load`: run a load experiment against entries."""

import asyncio
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from ...document.faults import Faults
from ...load.plan import read_plan, shorten_plan
from ...load.plot import check_plot, draw_report
from ...load.report import Report, Row, Times
from ...load.runner import run_plan
from ..errors import OK, REFUSED, UNAVAILABLE
from ..options import AsJson, RequiredEntryUrls
from ..output import print_json, print_table
from ..tools import Tools, make_tools

NO_VALUE = "-"


@cappa.command(name="load", help="Run a load experiment and print its results.")
@dataclass(kw_only=True, slots=True)
class Load:
    """Arguments of `load`."""

    plan: Annotated[str, cappa.Arg(help="The plan, an INI file.")]
    entries: RequiredEntryUrls
    seconds: Annotated[
        float | None,
        cappa.Arg(long=True, help="Stop sending requests after this many seconds."),
    ] = None
    plot: Annotated[
        str, cappa.Arg(long=True, value_name="FILE", help="Write a plot to this file.")
    ] = ""
    as_json: AsJson = False

    def __call__(self, tools: Annotated[Tools, cappa.Dep(make_tools)]) -> int:
        """Run the plan; the exit code reports faults or that no entry answered."""
        plan = read_plan(self.plan, environment=tools.environment)
        if isinstance(plan, Faults):
            print(plan)
            return REFUSED
        if self.plot:
            check_plot(self.plot)
        if self.seconds is not None:
            plan = shorten_plan(plan, seconds=self.seconds)
        report = asyncio.run(run_plan(plan, entries=self.entries))
        if self.plot:
            draw_report(report, self.plot)
        if self.as_json:
            print_json(report)
        else:
            print_report(report)
        if report.is_tool_busy:
            print("load: this tool itself was late or busy", file=sys.stderr)
        return OK if report.is_answered else UNAVAILABLE


def print_report(report: Report) -> None:
    """Print tables of counts and times, and the tool's own use of resources."""
    print_table(
        ("organisation", "kind", "requests", "in time", "late", "refused")
        + ("broken", "unknown", "not sent", "tries", "refusals", "why"),
        [_list_counts(row) for row in report.rows],
    )
    print_table(
        ("organisation", "kind", "told to wait s", "first token ms")
        + ("between tokens ms", "whole answer ms"),
        [_list_times(row) for row in report.rows],
    )
    print("times: 50th / 95th / 99th percentile, from the request's arrival")
    totals = report.totals
    print(
        f"load: {totals.arrivals} requests in {totals.seconds:.1f} s, "
        f"{totals.most_at_once} at once at most, "
        f"{totals.cpu_share:.0%} of a core, "
        f"sent {report.lag.p99 or 0.0:.1f} ms late at the 99th percentile"
    )


def _list_counts(row: Row) -> tuple[object, ...]:
    why = ", ".join(f"{code} {count}" for code, count in sorted(row.codes.items()))
    return (
        row.organisation,
        row.kind,
        row.requests,
        row.in_time,
        row.late,
        row.refused,
        row.broken,
        row.unknown,
        row.not_sent,
        row.tries,
        row.refusals,
        why,
    )


def _list_times(row: Row) -> tuple[str, ...]:
    return (
        row.organisation,
        row.kind,
        _format_times(row.wait, unit=1000.0),
        _format_times(row.first),
        _format_times(row.gaps),
        _format_times(row.whole),
    )


def _format_times(times: Times, *, unit: float = 1.0) -> str:
    """Return percentiles as text, in units of `unit` milliseconds."""
    if not times.count:
        return NO_VALUE
    values = (times.p50, times.p95, times.p99)
    return " / ".join(f"{value / unit:.1f}" for value in values)
