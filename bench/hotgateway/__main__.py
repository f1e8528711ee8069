"""Most new connections go to one gateway: `python -m bench.hotgateway`.

Prints, for each variant, the share of requests that are served at the first try that a
gateway reads, before and from 3 s after connections began to go to one gateway.
"""

import argparse
import asyncio
import tempfile
from pathlib import Path

from .play import Outcome, play
from .variants import VARIANTS, find_variant


def main() -> None:
    """Play the variants that the command line names, or all."""
    parser = argparse.ArgumentParser(prog="python -m bench.hotgateway")
    names = [variant.name for variant in VARIANTS]
    parser.add_argument("--variant", action="append", choices=names)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--keep", type=Path, help="folder for the gateways' logs, empty before"
    )
    arguments = parser.parse_args()
    for name in arguments.variant or names:
        with tempfile.TemporaryDirectory() as scratch:
            folder = arguments.keep / name if arguments.keep else Path(scratch)
            # A log of an earlier play would name the same attempts as read.
            folder.mkdir(parents=True, exist_ok=not arguments.keep)
            outcome = asyncio.run(
                play(find_variant(name), seed=arguments.seed, folder=str(folder))
            )
        print(_describe(name, arguments.seed, outcome), flush=True)


def _describe(name: str, seed: int, outcome: Outcome) -> str:
    after = outcome.after
    text = (
        f"{name} seed {seed}: {outcome.before.served:.3f} -> {after.served:.3f} of "
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
