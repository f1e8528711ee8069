"""Measures the resident memory of entries and agents, idle and under streams."""

import statistics

import msgspec

from .documents import make_document
from .processes import Child
from .stage import Stage, flatten, make_streams
from .tables import Table

RUNS = 3
ENTRY_STREAMS = 570
AGENT_STREAMS = (20, 100)
ENGINE_PROCESSES = 4
ENGINES_PER_PROCESS = 12
SETTLE_SECONDS = 2.0
STREAM_SECONDS = 10.0
# Targets, printed beside the results.
MAX_ENTRY_MB, MAX_AGENT_MB = 128, 40


async def load_and_read(stage: Stage, *, url: str, streams: int, child: Child) -> float:
    """Return the resident MB of `child` after `STREAM_SECONDS` under streams."""
    client = await stage.start(
        "streams",
        targets=[msgspec.to_builtins(target) for target in make_streams([url])],
        streams=streams,
        settle=SETTLE_SECONDS,
        seconds=STREAM_SECONDS,
    )
    await client.read_object()
    await client.read_object()
    found = child.rss
    await stage.end(client)
    return found


async def measure_entry() -> dict[str, float]:
    """Return the resident MB of an entry, idle and under streams."""
    async with Stage(document=make_document()) as stage:
        by_process = await stage.start_engines(
            processes=ENGINE_PROCESSES, each=ENGINES_PER_PROCESS
        )
        for urls in by_process:
            await stage.start_agents(urls)
        entry = await stage.start_entry()
        idle = entry.rss
        loaded = await load_and_read(
            stage, url=entry.ready["url"], streams=ENTRY_STREAMS, child=entry
        )
    return {"entry, idle": idle, f"entry, {ENTRY_STREAMS} streams": loaded}


async def measure_agent(streams: int) -> dict[str, float]:
    """Return the resident MB of an agent, idle and under streams."""
    async with Stage(document=make_document()) as stage:
        by_process = await stage.start_engines(processes=1, each=1)
        agent = await stage.start_agents(flatten(by_process))
        entry = await stage.start_entry()
        idle = agent.rss
        loaded = await load_and_read(
            stage, url=entry.ready["url"], streams=streams, child=agent
        )
    return {"agent, idle": idle, f"agent, {streams} streams": loaded}


async def run(*, runs: int = RUNS) -> list[Table]:
    """Return the table of resident memory."""
    found: dict[str, list[float]] = {}
    for _ in range(runs):
        results = [await measure_entry()]
        results += [await measure_agent(streams) for streams in AGENT_STREAMS]
        for name, value in (pair for each in results for pair in each.items()):
            found.setdefault(name, []).append(value)
    rows = [
        [
            name,
            f"{statistics.median(values):.1f}",
            str(MAX_ENTRY_MB if name.startswith("entry") else MAX_AGENT_MB),
        ]
        for name, values in found.items()
    ]
    title = f"Resident memory, median of {runs} runs"
    return [Table(title=title, headings=("process", "MB", "aim MB"), rows=rows)]
