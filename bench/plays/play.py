"""One day played by one copy, and what came of it."""

import itertools
import statistics
import subprocess
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from .copies import Copy

LONGEST_SECONDS = 1_200


class Play(msgspec.Struct, kw_only=True, frozen=True):
    """A day to play; without a seed it is played by the day's own."""

    copy: Copy
    site: Path
    day: str
    seed: int | None


class Price(msgspec.Struct, frozen=True, array_like=True):
    """What is taken off for one thing, as a part of the worth."""

    name: str
    amount: float
    worth: float


class Part(msgspec.Struct, frozen=True, array_like=True):
    """One part of the worth, before prices."""

    name: str
    weight: float
    value: float


class Report(msgspec.Struct, kw_only=True, frozen=True):
    """What the bench says of a played day; the names are its own."""

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
        """Return all that is taken off."""
        return sum(price.worth for price in self.prices)

    @property
    def windows(self) -> float:
        """Return the share of the worst seconds."""
        found = [part.value for part in self.parts if "windows" in part.name]
        return found[0] if found else 0.0


class Failure(msgspec.Struct, kw_only=True, frozen=True):
    """A play without a report; `reason` is the last that the bench said."""

    reason: str


class Summary(msgspec.Struct, kw_only=True, frozen=True):
    """Several seeds of one day with one copy."""

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
        """Return the standard deviation of the worth over the seeds."""
        if len(self.reports) < 2:
            return 0.0
        return statistics.stdev(one.G for one in self.reports)

    @property
    def broken(self) -> str:
        """Return the rules that were broken, and plays without a report."""
        rules = itertools.chain.from_iterable(one.breaks for one in self.reports)
        faults = ["fault" for one in self.reports if one.fault]
        failures = [one.reason for one in self.failures]
        return ", ".join(sorted([*rules, *faults, *failures]))


def play_all(
    plays: Iterable[Play], *, bench: Path, jobs: int, why: str
) -> list[Summary]:
    """Play days, so many at a time, and return them by copy and day."""
    plays = list(plays)
    with ThreadPoolExecutor(max_workers=jobs) as pool:
        ends = list(pool.map(lambda one: _play(one, bench=bench, why=why), plays))
    pairs = sorted(zip(plays, ends, strict=True), key=lambda pair: _name(pair[0]))
    return [
        _summarize(*name, [end for _, end in group])
        for name, group in itertools.groupby(pairs, key=lambda pair: _name(pair[0]))
    ]


def _name(play: Play) -> tuple[str, str, str]:
    return (play.site.stem, play.day, play.copy.name)


def _summarize(site: str, day: str, copy: str, ends: list[Report | Failure]) -> Summary:
    return Summary(
        copy=copy,
        site=site,
        day=day,
        reports=[one for one in ends if isinstance(one, Report)],
        failures=[one for one in ends if isinstance(one, Failure)],
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
        ended = subprocess.run(
            [str(word) for word in command],
            cwd=play.copy.folder,
            capture_output=True,
            text=True,
            timeout=LONGEST_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return Failure(reason=f"no end within {LONGEST_SECONDS} s")
    if not report.exists():
        last = (ended.stdout + ended.stderr).strip().splitlines()
        return Failure(reason=last[-1] if last else f"status {ended.returncode}")
    return msgspec.json.decode(report.read_bytes(), type=Report)
