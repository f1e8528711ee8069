"""Plays days of the users' bench with copies of the tree, and reads its reports."""

import itertools
import statistics
import subprocess
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from .copies import Copy

# A play is ended after this time.
MAX_PLAY_SECONDS = 1_200


class Play(msgspec.Struct, kw_only=True, frozen=True):
    """A day to play with a copy; without a seed, the bench uses the day's own."""

    copy: Copy
    site: Path
    day: str
    seed: int | None


class Price(msgspec.Struct, frozen=True, array_like=True):
    """A deduction from the worth, for one kind of cost."""

    name: str
    amount: float
    worth: float


class Part(msgspec.Struct, frozen=True, array_like=True):
    """A weighted component of the worth, before deductions."""

    name: str
    weight: float
    value: float


class Report(msgspec.Struct, kw_only=True, frozen=True):
    """The bench's report on a played day, with the field names of its JSON.

    `G` is the worth, `breaks` counts the broken rules.
    """

    G: float
    served: float
    refused: float
    failed: float
    parts: list[Part]
    prices: list[Price]
    breaks: dict[str, int]
    fault: object = None

    @property
    def price(self) -> float:
        """Return the sum of all deductions."""
        return sum(price.worth for price in self.prices)

    @property
    def windows(self) -> float:
        """Return the value of the worst windows, or 0 if the report has none."""
        found = [part.value for part in self.parts if "windows" in part.name]
        return found[0] if found else 0.0


class Failure(msgspec.Struct, kw_only=True, frozen=True):
    """A play without a report; `reason` is the last line that the bench printed."""

    reason: str


class Summary(msgspec.Struct, kw_only=True, frozen=True):
    """The plays of one day with one copy, over all seeds."""

    copy: str
    site: str
    day: str
    reports: list[Report]
    failures: list[Failure]

    def average(self, name: str) -> float:
        """Return the mean of a figure over all seeds."""
        return statistics.fmean(getattr(one, name) for one in self.reports)

    @property
    def spread(self) -> float:
        """Return the standard deviation of the worth over the seeds, or 0 for one."""
        if len(self.reports) < 2:
            return 0.0
        return statistics.stdev(one.G for one in self.reports)

    @property
    def broken(self) -> str:
        """Return the broken rules, the faults and the reasons of failed plays."""
        rules = itertools.chain.from_iterable(one.breaks for one in self.reports)
        faults = ["fault" for one in self.reports if one.fault]
        failures = [one.reason for one in self.failures]
        return ", ".join(sorted([*rules, *faults, *failures]))


def play_all(
    plays: Iterable[Play], *, bench: Path, jobs: int, why: str
) -> list[Summary]:
    """Play days, `jobs` at a time; return a summary for each site, day and copy.

    `bench` is the path of the bench's program, `why` the reason for its journal.
    """
    plays = list(plays)
    with ThreadPoolExecutor(max_workers=jobs) as pool:
        outcomes = list(pool.map(lambda one: _play(one, bench=bench, why=why), plays))
    pairs = sorted(zip(plays, outcomes, strict=True), key=lambda pair: _name(pair[0]))
    return [
        _summarize(*name, [outcome for _, outcome in group])
        for name, group in itertools.groupby(pairs, key=lambda pair: _name(pair[0]))
    ]


def _name(play: Play) -> tuple[str, str, str]:
    return (play.site.stem, play.day, play.copy.name)


def _summarize(
    site: str, day: str, copy: str, outcomes: list[Report | Failure]
) -> Summary:
    return Summary(
        copy=copy,
        site=site,
        day=day,
        reports=[one for one in outcomes if isinstance(one, Report)],
        failures=[one for one in outcomes if isinstance(one, Failure)],
    )


def _play(play: Play, *, bench: Path, why: str) -> Report | Failure:
    report = play.copy.folder.parent / (
        f"{play.copy.name}.{play.site.stem}.{play.day}.{play.seed}.json"
    )
    report.unlink(missing_ok=True)
    command = [bench, "run", play.site, play.day, "--report", report, "--why", why]
    if play.seed is not None:
        command += ["--seed", str(play.seed)]
    try:
        completed = subprocess.run(
            [str(word) for word in command],
            cwd=play.copy.folder,
            capture_output=True,
            text=True,
            timeout=MAX_PLAY_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return Failure(reason=f"no end within {MAX_PLAY_SECONDS} s")
    if not report.exists():
        last = (completed.stdout + completed.stderr).strip().splitlines()
        return Failure(reason=last[-1] if last else f"status {completed.returncode}")
    return msgspec.json.decode(report.read_bytes(), type=Report)
