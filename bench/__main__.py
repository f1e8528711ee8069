"""Run measurements: `python -m bench [--runs N] [NAME...]`."""

import argparse
import asyncio
import os

import logbook
from rich.console import Console

from . import capacity, decisions, memory, relay

MEASUREMENTS = {"relay": relay, "memory": memory, "capacity": capacity}
DECISIONS = "decisions"
DEFAULT_RUNS = 3


async def run(names: list[str], *, runs: int, markdown: bool) -> None:
    """Run the named measurements, each `runs` times, and print their tables."""
    console = Console(width=None if markdown else 140)
    for name in names:
        console.print(f"$ python -m bench --runs {runs} {name}", highlight=False)
        if name == DECISIONS:
            decisions.main()
            continue
        before = os.getloadavg()[0]
        for table in await MEASUREMENTS[name].run(runs=runs):
            if markdown:
                print(table.format_markdown())
            else:
                table.show(console)
        load = f"{before:.1f} before, {os.getloadavg()[0]:.1f} after"
        console.print(f"machine: {os.cpu_count()} cores, load {load}", highlight=False)


def main() -> None:
    """Parse the command line and run the chosen measurements."""
    names = (DECISIONS, *MEASUREMENTS)
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    parser.add_argument(
        "names", nargs="*", help=f"from {', '.join(names)}; default all"
    )
    parser.add_argument("--runs", type=int, default=DEFAULT_RUNS)
    parser.add_argument("--markdown", action="store_true", help="print Markdown")
    options = parser.parse_args()
    unknown = set(options.names) - set(names)
    if unknown:
        parser.error(f"no measurement named {', '.join(sorted(unknown))}")
    chosen = options.names or list(names)
    with logbook.StderrHandler(level=logbook.ERROR):
        asyncio.run(run(chosen, runs=options.runs, markdown=options.markdown))


if __name__ == "__main__":
    main()
