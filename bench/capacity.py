"""Measures how costs grow with size, for the capacity page.

Each figure is the median of several runs, each in a process of its own.  Most
costs are measured at three sizes or more, so that a slope can be fitted.
"""

import asyncio
import statistics
import sys
import time

import msgspec

from .documents import make_document
from .processes import Child
from .stage import Stage
from .tables import Table

RUNS = 3
IDLE_SECONDS = 8.0
# Pause after each configuration change, in which the entry follows it.
FOLLOW_SECONDS = 1.0
CHANGES = 5
# Numbers of agents, spread over so many processes.
AGENTS = (12, 48, 96)
PROCESSES = 4

SIZES = {
    "directory": (100, 1000, 4000, 11_000),
    "document": (10, 100, 400),
    "listing": (1000, 4000, 11_000),
    "listing-memory": (1000, 4000, 11_000),
    "messages": (1,),
    "parcels": (1, 8, 50),
    "placement": (50, 100, 400),
    "revision": (10, 100, 400),
}
UNITS = {
    "directory": "endpoints listed, up to 136 heard",
    "document": "organisations",
    "listing": "endpoints, 380 entries",
    "listing-memory": "endpoints",
    "messages": "",
    "parcels": "receivers",
    "placement": "endpoints heard of one pool",
    "revision": "organisations",
}


async def measure_slope(name: str, size: int) -> dict[str, float]:
    """Run `bench.slopes` for one measurement and size; return its figures."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.slopes",
        name,
        str(size),
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    return msgspec.json.decode(out)


async def make_slope_table(name: str, runs: int) -> Table:
    """Return the table of one measurement, with a column for each size."""
    sizes = SIZES[name]
    columns = []
    for size in sizes:
        found = [await measure_slope(name, size) for _ in range(runs)]
        columns.append(find_medians(found))
    rows = [
        [figure, *(f"{column[figure]:,.1f}" for column in columns)]
        for figure in columns[0]
    ]
    headings = ("figure", *(f"{size:,} {UNITS[name]}".strip() for size in sizes))
    title = f"{name}, median of {runs} runs"
    return Table(title=title, headings=headings, rows=rows)


def find_medians(found: list[dict[str, float]]) -> dict[str, float]:
    """Return the median of each figure."""
    return {
        figure: statistics.median(one[figure] for one in found) for figure in found[0]
    }


async def measure_idle(agents: int) -> dict[str, float]:
    """Measure an entry and its agents while no requests are sent.

    Each agent sends the entry a heartbeat every second.  The entry sends one to
    48 of the agents only.
    """
    async with Stage(document=make_document(concurrency=16)) as stage:
        by_process = await stage.start_engines(
            processes=PROCESSES, each=agents // PROCESSES
        )
        hosts = [await stage.start_agents(urls) for urls in by_process]
        entry = await stage.start_entry()
        calls = stage.table.count_calls(caller="entry-0")
        found = await watch_cpu({"entry": entry, "agents": hosts[0]}, IDLE_SECONDS)
        idle_calls = stage.table.count_calls(caller="entry-0") - calls
        changes = await measure_changes(stage, entry)
        callers = {call.caller for call in stage.table.calls}
        return {
            "entry CPU us/s": found["entry"],
            "agent CPU us/s": found["agents"] / len(by_process[0]),
            "entry MB": entry.rss,
            "entry calls/s idle": idle_calls / IDLE_SECONDS,
            **changes,
            "agents' calls in all": stage.table.count_calls(caller="")
            + len(callers - {"entry-0", "op", ""}),
        }


async def measure_changes(stage: Stage, entry: Child) -> dict[str, float]:
    """Measure what following configuration changes costs the entry."""
    calls = stage.table.count_calls(caller="entry-0")
    before = entry.cpu
    began = time.monotonic()
    head = await stage.operator.read()
    text = head.text
    for number in range(CHANGES):
        old = "[domain d0]\n"
        state = "out" if number % 2 == 0 else "in"
        proposed = text.replace(old, f"{old}state = {state}\n")
        await stage.operator.apply(
            team="all",
            patterns=("domain *",),
            proposed=proposed,
            who="bench",
            now=time.time(),
        )
        await asyncio.sleep(FOLLOW_SECONDS)
    took = time.monotonic() - began
    made = (await stage.operator.read()).revision - head.revision
    calls = stage.table.count_calls(caller="entry-0") - calls
    return {
        "changes made": made,
        "entry calls/change": calls / max(made, 1),
        "entry CPU us/s under a change a second": (entry.cpu - before) / took * 1e6,
    }


async def watch_cpu(children: dict[str, Child], seconds: float) -> dict[str, float]:
    """Return the CPU microseconds per second that each process spends."""
    before = {name: child.cpu for name, child in children.items()}
    began = time.monotonic()
    await asyncio.sleep(seconds)
    took = time.monotonic() - began
    return {
        name: (child.cpu - before[name]) / took * 1e6
        for name, child in children.items()
    }


async def make_idle_table(runs: int) -> Table:
    """Return the table of idle costs, with a column for each number of agents."""
    columns = [
        find_medians([await measure_idle(agents) for _ in range(runs)])
        for agents in AGENTS
    ]
    rows = [
        [figure, *(f"{column[figure]:,.2f}" for column in columns)]
        for figure in columns[0]
    ]
    headings = ("figure", *(f"{agents} agents" for agents in AGENTS))
    return Table(
        title=f"Daemons without requests, median of {runs} runs",
        headings=headings,
        rows=rows,
    )


async def run(*, runs: int = RUNS) -> list[Table]:
    """Return the tables of all measurements."""
    tables = [await make_slope_table(name, runs) for name in SIZES]
    return [*tables, await make_idle_table(runs)]
