"""Measures CPU time per relayed token and short request, and the added latency."""

import argparse
import asyncio
import statistics

import msgspec

from .clients import Target
from .documents import MODEL, POOL, SERVICE, SERVICE_POOL, VERSION, make_document
from .processes import Child
from .stage import Stage, flatten, make_chat, make_streams
from .tables import Table

WINDOW_SECONDS = 8.0
SETTLE_SECONDS = 2.0
STREAMS = (100, 570)
RUNS = 3

# At the target size, the 570 streams of an entry are spread over 48 endpoints.
ENGINE_PROCESSES = 4
ENGINES_PER_PROCESS = 12

# Agents in each process, so that an entry gets heartbeats from as many agents as at
# the target size.  The more agents share its streams, the fewer tokens arrive in a
# message batch.
AGENTS_PER_PROCESS = 31

# The largest is a few below the connection limit of an agent's curl client.
AGENT_STREAMS = (20, 100, 500)
SHORT_RATE = 100.0


class Measured(msgspec.Struct, kw_only=True, frozen=True):
    """Streams of one measured window.

    `cpu` is in microseconds per token, `rate` in tokens/s, `core` in CPU cores.  The
    percentiles are of the gaps between tokens, in milliseconds.
    """

    cpu: float
    rate: float
    core: float
    p50: float
    p95: float
    p99: float
    lost: int


class ShortResult(msgspec.Struct, kw_only=True, frozen=True):
    """Short requests: CPU microseconds per request, and latencies in milliseconds.

    The `direct` latencies are without the entry and the agent.
    """

    entry_cpu: float
    agent_cpu: float
    direct_p50: float
    direct_p99: float
    p50: float
    p99: float
    failures: int


async def measure_streams(
    stage: Stage,
    *,
    targets: list[Target],
    streams: int,
    child: Child | None,
    profile: float = 0.0,
    seconds: float = WINDOW_SECONDS,
) -> Measured:
    """Run streams for `seconds` and measure the CPU time that `child` uses.

    With `profile`, first print a profile of `child` over so many seconds.
    """
    client = await stage.start(
        "streams",
        targets=[msgspec.to_builtins(target) for target in targets],
        streams=streams,
        settle=SETTLE_SECONDS,
        seconds=seconds,
    )
    begun = await client.read_object()
    if begun["begun"] < streams:
        print(f"only {begun['begun']} of {streams} streams began")
    if profile and child:
        await child.send_line(f"profile {profile}")
        print((await child.read_object())["profile"])
    before = child.cpu if child else 0.0
    began = asyncio.get_running_loop().time()
    found = await client.read_object()
    took = asyncio.get_running_loop().time() - began
    spent = child.cpu - before if child else 0.0
    await stage.end(client)
    await asyncio.sleep(1.0)
    return Measured(
        cpu=spent / max(found["tokens"], 1) * 1e6,
        rate=found["tokens"] / took,
        core=spent / took,
        p50=found["p50"],
        p95=found["p95"],
        p99=found["p99"],
        lost=found["lost"],
    )


async def measure_relays(streams: int) -> dict[str, Measured]:
    """Measure direct streams, both bare relays and the entry in one run."""
    async with Stage(document=make_document()) as stage:
        by_process = await stage.start_engines(
            processes=ENGINE_PROCESSES, each=ENGINES_PER_PROCESS
        )
        urls = flatten(by_process)
        found = {}
        direct = make_streams(urls, model=VERSION)
        found["engines alone"] = await measure_streams(
            stage, targets=direct, streams=streams, child=None
        )
        for name in ("curl-relay", "byte-relay"):
            relay = await stage.start(name, urls=urls)
            targets = make_streams([relay.ready["url"]], model=VERSION)
            found[name] = await measure_streams(
                stage, targets=targets, streams=streams, child=relay
            )
            await stage.end(relay)
        for urls in by_process:
            await stage.start_agents(urls)
        entry = await stage.start_entry()
        targets = make_streams([entry.ready["url"]])
        found["entry"] = await measure_streams(
            stage, targets=targets, streams=streams, child=entry
        )
        return found


async def measure_entry(
    streams: int,
    *,
    profile: float = 0.0,
    seconds: float = WINDOW_SECONDS,
    each: int = ENGINES_PER_PROCESS,
) -> Measured:
    """Measure the streams and the CPU time of an entry."""
    async with Stage(document=make_document()) as stage:
        by_process = await stage.start_engines(processes=ENGINE_PROCESSES, each=each)
        for urls in by_process:
            await stage.start_agents(urls)
        entry = await stage.start_entry()
        return await measure_streams(
            stage,
            targets=make_streams([entry.ready["url"]]),
            streams=streams,
            child=entry,
            profile=profile,
            seconds=seconds + profile,
        )


async def measure_agent(
    streams: int, *, profile: float = 0.0, seconds: float = WINDOW_SECONDS
) -> Measured:
    """Measure the CPU time of one agent that relays all streams of an entry."""
    async with Stage(document=make_document()) as stage:
        ((url,),) = await stage.start_engines(processes=1, each=1)
        agent = await stage.start_agents([url])
        entry = await stage.start_entry()
        return await measure_streams(
            stage,
            targets=make_streams([entry.ready["url"]]),
            streams=streams,
            child=agent,
            profile=profile,
            seconds=seconds + profile,
        )


async def measure_shorts(kind: str) -> ShortResult:
    """Measure short requests through the entry, and directly to the endpoint.

    `kind` is "lookup" for a plain service, else chats of one token are sent.
    """
    async with Stage(document=make_document()) as stage:
        if kind == "lookup":
            endpoint = await stage.start("services")
            agent = await stage.start_agents(endpoint.ready["urls"], pool=SERVICE_POOL)
            url = endpoint.ready["urls"][0]
        else:
            ((url,),) = await stage.start_engines(processes=1, each=1, speed=500.0)
            agent = await stage.start_agents([url], pool=POOL)
        entry = await stage.start_entry()
        targets = _make_shorts(kind, url, entry.ready["url"])
        client = await stage.start(
            "shorts",
            targets={n: msgspec.to_builtins(t) for n, t in targets.items()},
            rate=SHORT_RATE,
            seconds=WINDOW_SECONDS,
        )
        await client.read_object()
        before = entry.cpu, agent.cpu
        found = (await client.read_object())["results"]
        after = entry.cpu, agent.cpu
    direct, through = found["direct"], found["entry"]
    return ShortResult(
        entry_cpu=(after[0] - before[0]) / through["count"] * 1e6,
        agent_cpu=(after[1] - before[1]) / through["count"] * 1e6,
        direct_p50=direct["p50"],
        direct_p99=direct["p99"],
        p50=through["p50"],
        p99=through["p99"],
        failures=direct["failures"] + through["failures"],
    )


def _make_shorts(kind: str, direct: str, entry: str) -> dict[str, Target]:
    if kind == "lookup":
        path = f"/v1/services/{SERVICE}/t/17"
        return {
            "direct": Target(url=direct, path="/t/17", method="GET"),
            "entry": Target(
                url=entry,
                path=path,
                method="GET",
                key=make_chat("", model="", tokens=1, stream=False).key,
            ),
        }
    return {
        "direct": make_chat(direct, model=VERSION, tokens=1, stream=False),
        "entry": make_chat(entry, model=MODEL, tokens=1, stream=False),
    }


def find_median(runs: list[Measured]) -> Measured:
    """Return the run with the median CPU, or the median gap if there is no CPU."""
    ranked = sorted(runs, key=lambda run: (run.cpu, run.p95))
    return ranked[len(ranked) // 2]


def make_row(name: str, streams: int, runs: list[Measured]) -> list[str]:
    """Return the row of the median run, with the lowest and highest CPU."""
    median = find_median(runs)
    low, high = min(run.cpu for run in runs), max(run.cpu for run in runs)
    return [
        name,
        str(streams),
        f"{median.rate:.0f}",
        f"{median.cpu:.1f} ({low:.1f} to {high:.1f})" if high else "",
        f"{median.core:.2f}" if high else "",
        f"{median.p50:.1f}",
        f"{statistics.median(run.p95 for run in runs):.1f}",
        f"{median.p99:.1f}",
        str(max(run.lost for run in runs)),
    ]


def make_ratios(streams: int, runs: list[dict[str, Measured]]) -> list[str]:
    """Return the row of ratios of the entry's CPU to that of the byte relay."""
    ratios = [run["entry"].cpu / run["byte-relay"].cpu for run in runs]
    added = [run["entry"].p95 - run["engines alone"].p95 for run in runs]
    return [
        str(streams),
        ", ".join(f"{ratio:.2f}" for ratio in ratios),
        f"{statistics.median(ratios):.2f}",
        f"{statistics.median(added):.1f}",
    ]


HEADINGS = (
    "relay",
    "streams",
    "tokens/s",
    "CPU us/token",
    "cores",
    "gap p50 ms",
    "gap p95 ms",
    "gap p99 ms",
    "lost",
)


async def run(*, runs: int = RUNS) -> list[Table]:
    """Return the tables of relayed tokens and of short requests."""
    rows = []
    ratios = []
    for streams in STREAMS:
        all_found = [await measure_relays(streams) for _ in range(runs)]
        rows += [
            make_row(name, streams, [found[name] for found in all_found])
            for name in all_found[0]
        ]
        ratios.append(make_ratios(streams, all_found))
    agent_count = AGENTS_PER_PROCESS * ENGINE_PROCESSES
    found = [
        await measure_entry(STREAMS[-1], each=AGENTS_PER_PROCESS) for _ in range(runs)
    ]
    rows.append(make_row(f"entry, {agent_count} agents", STREAMS[-1], found))
    for streams in AGENT_STREAMS:
        found = [await measure_agent(streams) for _ in range(runs)]
        rows.append(make_row("one agent", streams, found))
    relayed = Table(
        title=f"Relayed tokens, median of {runs} runs", headings=HEADINGS, rows=rows
    )
    against = Table(
        title="Entry against the bare relay of bytes in the same run (aim 0.75)",
        headings=("streams", "CPU, each run", "median", "added gap p95 ms"),
        rows=ratios,
    )
    return [relayed, against, await _run_shorts(runs)]


async def _run_shorts(runs: int) -> Table:
    rows = []
    for kind in ("lookup", "chat of one token"):
        found = [await measure_shorts(kind) for _ in range(runs)]
        rows.append([kind, *_describe_shorts(found)])
    headings = (
        "request",
        "entry us",
        "agent us",
        "direct p50 ms",
        "direct p99 ms",
        "added p50 ms",
        "added p99 ms",
        "failed",
    )
    title = f"Short requests, {SHORT_RATE:.0f}/s, median of {runs} runs"
    return Table(title=title, headings=headings, rows=rows)


def _describe_shorts(found: list[ShortResult]) -> list[str]:
    def middle(*values: float) -> float:
        return statistics.median(values)

    return [
        f"{middle(*(f.entry_cpu for f in found)):.0f}",
        f"{middle(*(f.agent_cpu for f in found)):.0f}",
        f"{middle(*(f.direct_p50 for f in found)):.2f}",
        f"{middle(*(f.direct_p99 for f in found)):.2f}",
        f"{middle(*(f.p50 - f.direct_p50 for f in found)):.2f}",
        f"{middle(*(f.p99 - f.direct_p99 for f in found)):.2f}",
        str(max(f.failures for f in found)),
    ]


async def run_trial(options: argparse.Namespace) -> None:
    """Measure one process once, and profile it if the options say so."""
    measure = measure_agent if options.trial == "agent" else measure_entry
    found = await measure(
        options.streams, profile=options.profile, seconds=options.seconds
    )
    print(f"{options.trial} {options.streams}: {found}")


def main() -> None:
    """Run one trial: `python -m bench.relay entry --streams 570`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("trial", choices=("entry", "agent"))
    parser.add_argument("--streams", type=int, default=570)
    parser.add_argument("--seconds", type=float, default=WINDOW_SECONDS)
    parser.add_argument("--profile", type=float, default=0.0)
    asyncio.run(run_trial(parser.parse_args()))


if __name__ == "__main__":
    main()
