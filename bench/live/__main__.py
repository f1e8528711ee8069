"""Play load scenarios: `python -m bench.live [--runs N] [burst|hot|domain|tool...]`."""

import argparse
import os
import signal
import sys

from rich.console import Console

from ..tables import Table
from .figures import describe_changes, describe_tool, list_tables
from .play import play
from .tool import measure_tool
from .variants import SCENARIOS, VARIANTS

DEFAULT_RUNS = 1
WIDTH = 200
TOOL = "tool"


def main() -> None:
    """Play the chosen scenarios in turn and print the medians of all runs."""
    names = (*SCENARIOS, TOOL)
    parser = argparse.ArgumentParser(prog="python -m bench.live", description=__doc__)
    parser.add_argument("names", nargs="*", help=f"from {', '.join(names)}")
    parser.add_argument("--runs", type=int, default=DEFAULT_RUNS)
    parser.add_argument("--markdown", action="store_true", help="print Markdown")
    options = parser.parse_args()
    unknown = set(options.names) - set(names)
    if unknown:
        parser.error(f"no scenario named {', '.join(sorted(unknown))}")
    chosen = options.names or SCENARIOS
    variants = [variant for variant in VARIANTS if variant.scenario in chosen]
    # SIGTERM must also end the processes that this one started.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    before = os.getloadavg()[0]
    # Each round plays all variants, so that a time when the machine is busy doesn't
    # affect the runs of one variant only.
    rounds = [[play(variant) for variant in variants] for _ in range(options.runs)]
    runs = list(zip(variants, map(list, zip(*rounds, strict=True)), strict=True))
    tables = list_tables(runs)
    if TOOL in options.names:
        tables.append(measure_tool())
    print_tables(tables, markdown=options.markdown)
    everything = [one for played in rounds for one in played]
    if everything:
        print(describe_tool(everything))
    if changes := describe_changes(everything):
        print(changes)
    load = f"{before:.1f} before, {os.getloadavg()[0]:.1f} after"
    print(f"median of {options.runs}; {os.cpu_count()} cores, load {load}")


def print_tables(tables: list[Table], *, markdown: bool) -> None:
    """Print tables for the terminal or as Markdown."""
    console = Console(width=WIDTH)
    for table in tables:
        if markdown:
            print(table.format_markdown())
        else:
            table.show(console)


if __name__ == "__main__":
    main()
