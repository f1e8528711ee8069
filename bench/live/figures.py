"""Tables of the medians over all runs of each variant."""

import statistics
from collections.abc import Callable, Iterable

from eelgrassrack.load.report import Row

from ..tables import Table
from .play import VariantResult
from .variants import SCENARIOS, Variant

NOTHING = "-"
HEADINGS = (
    "way",
    "callers",
    "requests",
    "whole in time",
    "late",
    "refused",
    "broken",
    "unknown",
    "tries a request",
    "told to wait p50/p95 s",
    "first token p50/p95/p99 ms",
    "whole p50/p95/p99 ms",
    "between tokens p95 ms",
)


def list_tables(runs: list[tuple[Variant, list[VariantResult]]]) -> list[Table]:
    """Return a table for each scenario that was played.

    `runs` pairs each variant with the results of its runs.
    """
    tables = []
    for scenario in SCENARIOS:
        rows = [
            row
            for variant, played in runs
            if variant.scenario == scenario
            for row in _list_rows(variant, played)
        ]
        if rows:
            tables.append(Table(title=scenario, headings=HEADINGS, rows=rows))
    return tables


def describe_changes(played: Iterable[VariantResult]) -> str:
    """Return one line on how a failure domain was taken out and brought back.

    Return an empty string if none was.
    """
    changes = [one.change for one in played if one.change is not None]
    if not changes:
        return ""
    idle = _median(change.idle_after for change in changes)
    busy = _median(change.busy_after for change in changes)
    busy_polls = sum(change.busy_polls for change in changes)
    return (
        f"domain: last request gone {idle} s after `domain out` was called, "
        f"first one back {busy} s after `domain in`, "
        f"seen busy in between {busy_polls} times"
    )


def describe_tool(played: list[VariantResult]) -> str:
    """Return one line on the most CPU and lateness of the load tool in any run."""
    cpu = max(one.report.totals.cpu_share for one in played)
    lag = max(one.report.lag.p99 or 0.0 for one in played)
    return f"load tool: at most {cpu:.0%} of a core, {lag:.1f} ms late at p99"


def _list_rows(variant: Variant, played: list[VariantResult]) -> list[list[str]]:
    by_kind = zip(*(one.report.rows for one in played), strict=True)
    return [
        [variant.name, *_list_figures(rows)] for rows in by_kind if rows[0].requests
    ]


def _list_figures(rows: tuple[Row, ...]) -> list[str]:
    def median(read: Callable[[Row], float | None], digits: int = 0) -> str:
        return _median((read(row) for row in rows), digits)

    return [
        rows[0].organisation,
        median(lambda row: row.requests),
        median(lambda row: 100 * row.in_time / row.requests, 1) + " %",
        median(lambda row: row.late),
        median(lambda row: row.refused),
        median(lambda row: row.broken),
        median(lambda row: row.unknown),
        median(lambda row: row.tries / row.requests, 2),
        _join(
            median(lambda row: _seconds(row.wait.p50), 1),
            median(lambda row: _seconds(row.wait.p95), 1),
        ),
        _join(
            median(lambda row: row.first.p50),
            median(lambda row: row.first.p95),
            median(lambda row: row.first.p99),
        ),
        _join(
            median(lambda row: row.whole.p50),
            median(lambda row: row.whole.p95),
            median(lambda row: row.whole.p99),
        ),
        median(lambda row: row.gaps.p95, 1),
    ]


def _seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000


def _join(*figures: str) -> str:
    return " / ".join(figures)


def _median(values: Iterable[float | None], digits: int = 1) -> str:
    known = [value for value in values if value is not None]
    return f"{statistics.median(known):.{digits}f}" if known else NOTHING
