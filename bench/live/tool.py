"""Measures the CPU and lateness of the load tool itself at several rates.

The tool calls stand-in engines with far more capacity than they need, so that only
the tool can be late.
"""

import tempfile
from pathlib import Path

import msgspec

from eelgrassrack.load.report import Report

from ..tables import Table
from .fleet import SPEED, VERSION, Process

ENGINES = 6
SLOTS = 512
TOKENS = 25
SECONDS = 8
RATES = (50, 100, 200, 300)
LOAD_SECONDS = 60.0
HEADINGS = (
    "requests/s",
    "tokens/s",
    "whole in time",
    "CPU of a core",
    "CPU us a request",
    "sent late p99 ms",
    "first token p95 ms",
    "between tokens p95 ms",
)


def measure_tool() -> Table:
    """Run the tool at each rate and return the table of its costs."""
    with tempfile.TemporaryDirectory() as directory:
        rows = [_measure_rate(rate, Path(directory)) for rate in RATES]
    title = f"load tool, streams of {TOKENS} tokens at {SPEED} tokens/s"
    return Table(title=title, headings=HEADINGS, rows=rows)


def _measure_rate(rate: int, directory: Path) -> list[str]:
    plan = directory / "plan.ini"
    plan.write_text(
        f"[kind stream]\norganisation = bench\nkey = bench\nmodel = {VERSION}\n"
        f"requests_per_second = {rate}\nmax_tokens = {TOKENS}\n"
        f"[phase steady]\nseconds = {SECONDS}\n"
    )
    log = directory / "processes.log"
    options = ("--versions", VERSION, "--slots", str(SLOTS), "--speed", str(SPEED))
    started: list[Process] = []
    try:
        for _ in range(ENGINES):
            command = ("eelgrassrack.standins", "engine", *options)
            started.append(Process(*command, log=log, lines=1))
        entries = [word for one in started for word in ("--entry", one.urls["engine"])]
        command = ("eelgrassrack", "load", str(plan), "--json", *entries)
        load = Process(*command, log=log)
        started.append(load)
        status, output = load.wait(LOAD_SECONDS)
    finally:
        for process in reversed(started):
            process.terminate()
            process.close()
    if status:
        raise RuntimeError(f"load ended with {status}: {output}")
    return _list_figures(rate, msgspec.json.decode(output, type=Report))


def _list_figures(rate: int, report: Report) -> list[str]:
    row, totals = report.rows[0], report.totals
    cpu = totals.cpu_share * totals.seconds / row.requests
    return [
        str(rate),
        str(rate * TOKENS),
        f"{row.in_time} of {row.requests}",
        f"{totals.cpu_share:.0%}",
        f"{cpu * 1e6:.0f}",
        f"{report.lag.p99:.1f}",
        f"{row.first.p95:.1f}",
        f"{row.gaps.p95:.1f}",
    ]
