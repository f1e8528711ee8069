"""Fuzz the whole system for some minutes, one seed after the other.

`python -m bench.soak --seed N --minutes M` runs the steps of `bench/fuzz` for the
seeds from N on, in at most four processes.  It prints each failure with its seed
and steps, and exits with 1 if there was any.  With zero minutes it runs one seed.
`--steps` limits the steps of a seed.
"""

import argparse
import collections
import itertools
import multiprocessing
import sys
import time
import traceback

import logbook
import msgspec

from bench.fuzz.play import Verdict, run_steps
from bench.fuzz.steps import MAX_STEPS, draw_steps

MOST_PROCESSES = 4
SECONDS_PER_MINUTE = 60.0


class Run(msgspec.Struct, kw_only=True):
    """The result of one seed; `error` is the traceback if the run itself failed."""

    seed: int
    seconds: float
    verdict: Verdict
    error: str = ""


def main() -> int:
    """Run seeds until the time is over; return 1 if any failed."""
    options = _read_options()
    began = time.monotonic()
    ends_at = began + options.minutes * SECONDS_PER_MINUTE
    if not options.minutes:
        runs = [_run_seed(options.seed, options.steps, is_loud=options.log)]
        _report(runs[0])
    else:
        runs = _run_many(options, ends_at)
    return _sum_up(runs, time.monotonic() - began)


def _read_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument("--processes", type=int, default=MOST_PROCESSES)
    parser.add_argument("--steps", type=int, default=MAX_STEPS)
    parser.add_argument("--log", action="store_true", help="show the daemons' logs")
    options = parser.parse_args()
    options.processes = max(1, min(options.processes, MOST_PROCESSES))
    return options


def _run_many(options: argparse.Namespace, ends_at: float) -> list[Run]:
    # pynng's threads don't survive a fork, so the workers are spawned.
    context = multiprocessing.get_context("spawn")
    seeds = itertools.takewhile(
        lambda _: time.monotonic() < ends_at, itertools.count(options.seed)
    )
    runs = []
    with context.Pool(options.processes) as pool:
        pending: collections.deque = collections.deque()
        for number in seeds:
            pending.append(pool.apply_async(_run_seed, (number, options.steps)))
            while len(pending) >= options.processes:
                runs += _collect(pending)
                time.sleep(0.05)
        while pending:
            runs += _collect(pending)
            time.sleep(0.05)
    return runs


def _collect(pending: collections.deque) -> list[Run]:
    """Remove the finished runs from `pending`, report and return them."""
    done = [result for result in pending if result.ready()]
    for result in done:
        pending.remove(result)
    runs = [result.get() for result in done]
    for run in runs:
        _report(run)
    return runs


def _run_seed(seed: int, most: int, *, is_loud: bool = False) -> Run:
    began = time.monotonic()
    handler = logbook.StderrHandler() if is_loud else logbook.NullHandler()
    verdict, error = Verdict(), ""
    with handler.applicationbound():
        try:
            verdict = run_steps(steps=draw_steps(seed=seed, most=most), seed=seed)
        except Exception:
            error = traceback.format_exc()
    return Run(
        seed=seed, seconds=time.monotonic() - began, verdict=verdict, error=error
    )


def _report(run: Run) -> None:
    faults = run.verdict.faults
    if not faults and not run.error:
        return
    print(f"soak: seed {run.seed} failed after {run.seconds:.1f} s")
    for fault in faults:
        print(f"soak:   fault: {fault}")
    if run.error:
        print(run.error)
    for line in run.verdict.timeline:
        print(f"soak:   step: {line}")
    sys.stdout.flush()


def _sum_up(runs: list[Run], seconds: float) -> int:
    failed = [run for run in runs if run.verdict.faults or run.error]
    counts = sum((run.verdict.counts for run in runs), collections.Counter())
    calls = ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
    seeds = [run.seed for run in runs]
    print(f"soak: calls: {calls}")
    print(
        f"soak: {len(runs)} seeds from {min(seeds)} to {max(seeds)} in "
        f"{seconds / SECONDS_PER_MINUTE:.1f} minutes, {len(failed)} failed"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
