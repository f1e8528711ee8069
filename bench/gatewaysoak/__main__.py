"""Run the gateway soak: `python -m bench.gatewaysoak --seed N --minutes M`.

Plays the seeds from N on until the time is over.  Each seed starts real gateway
processes on loopback and injects faults for some seconds.  A seed that fails is
printed with its faults, and the exit code is then 1.  `--logs` names a folder in
which the logs of every seed are kept.
"""

import argparse
import itertools
import sys
import time
from pathlib import Path

from .failed import CHECK_FAULTS, PRODUCT_FAULTS
from .play import GATEWAYS, play

SECONDS_PER_MINUTE = 60.0
# Faults printed of one seed.
MAX_FAULT_LINES = 100


def main() -> int:
    """Play seeds until the time is over; return 1 if any failed."""
    parser = argparse.ArgumentParser(prog="python -m bench.gatewaysoak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="how long each seed injects faults"
    )
    parser.add_argument(
        "--failed",
        action="store_true",
        help="start with the seeds that failed in the past",
    )
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument(
        "--pauses", action="store_true", help="also pause gateways while they stop"
    )
    parser.add_argument(
        "--endless", action="store_true", help="also let endpoints send without end"
    )
    parser.add_argument("--logs", default="", help="folder for the logs")
    options = parser.parse_args()
    ends_at = time.monotonic() + options.minutes * SECONDS_PER_MINUTE
    failed = []
    count = 0
    past_failures = [*PRODUCT_FAULTS, *CHECK_FAULTS] if options.failed else []
    for seed in itertools.chain(past_failures, itertools.count(options.seed)):
        folder = None
        if options.logs:
            # The checks find in the logs which requests were read, so each seed must
            # start with an empty folder.
            folder = str(Path(options.logs, f"seed-{seed}"))
            Path(folder).mkdir(parents=True)
        verdict = play(
            seed,
            options.seconds,
            folder,
            options.gateways,
            pauses=options.pauses,
            endless=options.endless,
        )
        count += 1
        print(
            f"seed {seed}: {verdict.served} of {verdict.sent} served, "
            f"{verdict.fault_counts}, {verdict.late_outcomes}, {verdict.leavers}",
            flush=True,
        )
        for fault in verdict.faults[:MAX_FAULT_LINES]:
            print(f"  {fault}", flush=True)
        if verdict.faults:
            failed.append(seed)
        if time.monotonic() >= ends_at:
            break
    print(f"gateway soak: {count} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
