"""Compare source trees, or ablate mechanisms of this one: `python -m bench.plays`.

The days are played by the users' own bench, whose path is an argument.
"""

import argparse
import itertools
from pathlib import Path

from rich.console import Console

from ..tables import Table
from .copies import ROOT, Copy, copy_tree, keep_journal, remove
from .mechanisms import MECHANISMS, find_mechanism
from .play import Play, Summary, play_all

# Name of the unchanged tree in tables.
UNCHANGED = "whole"

HEADINGS = (
    "site",
    "day",
    "tree",
    "worth",
    "spread",
    "served",
    "failed",
    "worst seconds",
    "prices",
    "broken",
)


def read_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="python -m bench.plays", description=__doc__)
    parser.add_argument(
        "--bench", type=Path, required=True, help="program of the bench"
    )
    parser.add_argument("--site", type=Path, action="append", required=True)
    parser.add_argument("--day", action="append", required=True)
    parser.add_argument("--seed", type=int, action="append", default=[])
    parser.add_argument(
        "--scratch", type=Path, required=True, help="folder for the copies"
    )
    parser.add_argument(
        "--tree",
        action="append",
        default=[],
        help="NAME=FOLDER, a tree to compare with",
    )
    parser.add_argument(
        "--without",
        action="append",
        default=[],
        choices=[one.name for one in MECHANISMS],
    )
    parser.add_argument("--without-each", action="store_true")
    parser.add_argument("--why", required=True, help="reason, for the journal")
    parser.add_argument("--jobs", type=int, default=2, help="days played in parallel")
    parser.add_argument("--markdown", action="store_true")
    return parser.parse_args()


def make_copies(options: argparse.Namespace) -> list[Copy]:
    """Make copies of the trees to play and return them."""
    scratch = options.scratch.resolve()
    copies = [copy_tree(name=UNCHANGED, source=ROOT, scratch=scratch)]
    for tree in options.tree:
        name, _, folder = tree.partition("=")
        source = Path(folder).resolve()
        copies.append(copy_tree(name=name, source=source, scratch=scratch))
    names = [one.name for one in MECHANISMS] if options.without_each else ()
    for name in names or options.without:
        label = "without-" + name.replace(" ", "-")
        copy = copy_tree(name=label, source=ROOT, scratch=scratch)
        remove(find_mechanism(name), copy)
        copies.append(copy)
    return copies


def list_figures(one: Summary) -> list[str]:
    """Return the table row of a summary."""
    if not one.reports:
        return [one.site, one.day, one.copy, "", "", "", "", "", "", one.broken]
    names = ("served", "failed", "windows", "price")
    return [
        one.site,
        one.day,
        one.copy,
        f"{one.average('G'):.3f}",
        f"{one.spread:.3f}",
        *(f"{one.average(name):.3f}" for name in names),
        one.broken,
    ]


def main() -> None:
    """Play all days with all copies and print the table."""
    options = read_arguments()
    copies = make_copies(options)
    seeds = options.seed or [None]
    plays = [
        Play(copy=copy, site=site.resolve(), day=day, seed=seed)
        for site, day, seed, copy in itertools.product(
            options.site, options.day, seeds, copies
        )
    ]
    summaries = play_all(
        plays, bench=options.bench.resolve(), jobs=options.jobs, why=options.why
    )
    rows = [list_figures(one) for one in summaries]
    table = Table(title=options.why, headings=HEADINGS, rows=rows)
    if options.markdown:
        print(table.format_markdown())
    else:
        table.show(Console(width=160))
    print(f"{keep_journal(copies)} journal files kept")


if __name__ == "__main__":
    main()
