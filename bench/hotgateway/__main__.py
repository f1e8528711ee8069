"""Most new connections go to one gateway: `python -m bench.hotgateway`.

Prints, for each variant, the share of requests that are served at the first try that a
gateway reads, before and from 3 s after connections began to go to one gateway.
"""

import argparse
import asyncio
import itertools
import tempfile
from pathlib import Path

import msgspec

from .play import Outcome, play
from .variants import VARIANTS, Variant, find_variant


def main() -> None:
    """Play the variants that the command line names, or all."""
    parser = argparse.ArgumentParser(prog="python -m bench.hotgateway")
    names = [variant.name for variant in VARIANTS]
    parser.add_argument("--variant", action="append", choices=names)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--during",
        type=float,
        action="append",
        help="requests a second while connections go to one gateway, for a sweep",
    )
    parser.add_argument(
        "--keep", type=Path, help="folder for the gateways' logs, empty before"
    )
    arguments = parser.parse_args()
    for name, during in itertools.product(
        arguments.variant or names, arguments.during or (None,)
    ):
        variant = find_variant(name)
        if during is not None:
            variant = msgspec.structs.replace(variant, during=during)
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch)
            if arguments.keep:
                # A log of an earlier play would name the same attempts as read.
                folder = arguments.keep / f"{name}-{variant.during:g}"
                folder.mkdir(parents=True)
            outcome = asyncio.run(
                play(variant, seed=arguments.seed, folder=str(folder))
            )
        print(_describe(variant, arguments.seed, outcome), flush=True)


def _describe(variant: Variant, seed: int, outcome: Outcome) -> str:
    after = outcome.after
    text = (
        f"{variant.name} at {variant.during:g} a second, seed {seed}: "
        f"{outcome.before.served:.3f} -> {after.served:.3f} of "
        f"{after.requests}; median {outcome.before.median:.2f} -> {after.median:.2f} s;"
        f" {after.tries:.2f} tries; {after.never_read} never read, "
        f"{after.silent} silent; {after.ends}"
    )
    if outcome.limits is not None:
        use = outcome.limits
        text += (
            f"; limits: excess {use.excess:.1f}, "
            f"used {use.least:.2f} at least, {use.mean:.2f} in the mean"
        )
    return text


if __name__ == "__main__":
    main()
