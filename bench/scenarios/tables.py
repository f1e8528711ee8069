"""Run scenarios over seeds and print what callers received."""

import math
from collections.abc import Sequence

from rich import box
from rich.console import Console
from rich.table import Table

from .calls import SendOutcome
from .cases import Case, Group
from .results import (
    Result,
    find_served_seconds,
    find_share,
    list_first_token_seconds,
    mean,
    percentile,
)
from .rules import Rules

PERCENTILES = (0.5, 0.95, 0.99)


def run_case(case: Case, *, seeds: int) -> dict[Rules, list[Result]]:
    """Return the results of each rule, one for each seed."""
    return {
        rules: [case.play(rules=rules, seed=seed) for seed in range(1, seeds + 1)]
        for rules in case.rules
    }


def print_case(case: Case, *, seeds: int, console: Console) -> None:
    """Run a scenario and print its tables."""
    results = run_case(case, seeds=seeds)
    console.print(f"\n## {case.name}\n\n{case.summary} Means of {seeds} seeds.\n")
    overall = make_table(
        "rules",
        "goodput",
        "calls served",
        "served p95 s",
        "whole",
        "refused",
        "late",
        "failed",
        "retries",
        "crashes",
    )
    waits = make_table(
        "rules", "organisation", "kind", "p50 s", "p95 s", "p99 s", "whole", "back s"
    )
    for rules, runs in results.items():
        overall.add_row(rules.name, *_describe(runs))
        for group in case.groups:
            waits.add_row(
                rules.name,
                group.organisation,
                group.kind,
                *_describe_group(runs, group),
            )
    console.print(overall)
    console.print("\nTime to the first token, and when refused callers come back:\n")
    console.print(waits)


def make_table(*names: str) -> Table:
    """Return a table that prints as Markdown."""
    table = Table(box=box.MARKDOWN, show_edge=True)
    for number, name in enumerate(names):
        table.add_column(name, justify="left" if number == 0 else "right", no_wrap=True)
    return table


def format_figure(value: float) -> str:
    """Return a figure with about three digits, or a dash if it is NaN."""
    if math.isnan(value):
        return "-"
    if abs(value) >= 100:
        return f"{value:.0f}"
    return f"{value:.2f}" if abs(value) >= 1 else f"{value:.3f}"


def find_p95(runs: Sequence[Result], group: Group) -> float:
    """Return the 95th percentile of a group's seconds to the first token.

    The result is the mean of the seeds' percentiles.
    """
    return mean(
        percentile(list_first_token_seconds(_select(run, group)), 0.95) for run in runs
    )


def _select(run: Result, group: Group) -> list:
    return run.select(organisation=group.organisation, kind=group.kind)


def _describe(runs: Sequence[Result]) -> list[str]:
    rows = [_measure(run) for run in runs]
    return [format_figure(mean(column)) for column in zip(*rows, strict=True)]


def _measure(run: Result) -> list[float]:
    records = run.select()
    times = find_served_seconds(records).values()
    answered = [time for time in times if time is not None]
    return [
        run.goodput(),
        len(answered) / max(len(times), 1),
        percentile(answered, 0.95),
        *(find_share(records, end) for end in SendOutcome),
        run.retry_share(),
        float(run.crashes),
    ]


def _describe_group(runs: Sequence[Result], group: Group) -> list[str]:
    rows = []
    for run in runs:
        records = _select(run, group)
        waits = list_first_token_seconds(records)
        retry_seconds = [
            one.retry_after for one in records if one.end is SendOutcome.REFUSED
        ]
        rows.append(
            [
                *(percentile(waits, part) for part in PERCENTILES),
                find_share(records, SendOutcome.WHOLE),
                percentile(retry_seconds, 0.5),
            ]
        )
    return [format_figure(mean(column)) for column in zip(*rows, strict=True)]
