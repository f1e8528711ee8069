"""Processor time of a gateway's start: `python -m bench.starts [--times N]`.

A gateway that lost power answers nobody before its modules are loaded, and most
instances have a third of a core.  Each start loads them in a new interpreter, whose
compiled files are there already.
"""

import argparse
import collections
import os
import statistics
import subprocess
import sys
from collections.abc import Iterator

import msgspec

MICROSECONDS_PER_MS = 1000.0
MILLISECONDS = 1000.0

# Packages whose share of a start is printed.
MAX_PACKAGES = 12

# What a new interpreter runs: it prints its processor time and its modules.
START = """
import sys, time
from eelgrassrack.gateway.__main__ import load_process
load_process()
print(time.process_time(), *sys.modules)
"""

# Keeps an interpreter from using compiled files.
NO_COMPILED_FILES = "PYTHONDONTWRITEBYTECODE"


class Loaded(msgspec.Struct, frozen=True):
    """A module that a start loads, and the time of its own code in milliseconds."""

    name: str
    milliseconds: float

    @property
    def package(self) -> str:
        """Return the top-level package."""
        return self.name.partition(".")[0]


def measure_start() -> float:
    """Return the processor time in seconds until all modules are loaded."""
    return float(_run().stdout.split()[0])


def list_loaded() -> list[Loaded]:
    """Return the modules that a start loads, the slowest first."""
    _run()
    finished = _run("-X", "importtime")
    names = set(finished.stdout.split()[1:])
    modules = _read_import_times(finished.stderr)
    # Imports that fail are timed too.
    found = (module for module in modules if module.name in names)
    return sorted(found, key=lambda module: module.milliseconds, reverse=True)


def _run(*options: str) -> subprocess.CompletedProcess[str]:
    environment = {
        name: value for name, value in os.environ.items() if name != NO_COMPILED_FILES
    }
    # As deployed: no site module, and the libraries on the path.
    environment["PYTHONPATH"] = os.pathsep.join(sys.path)
    return subprocess.run(
        (sys.executable, "-S", *options, "-c", START),
        env=environment,
        check=True,
        capture_output=True,
        text=True,
    )


def _read_import_times(text: str) -> Iterator[Loaded]:
    for line in text.splitlines():
        _, _, rest = line.partition("import time:")
        own, _, named = rest.partition("|")
        if own.strip().isdigit():
            name = named.rpartition("|")[2].strip()
            yield Loaded(name, int(own) / MICROSECONDS_PER_MS)


def main() -> None:
    """Print the processor time of some starts, then the packages they load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--times", type=int, default=15, help="starts to measure")
    times = parser.parse_args().times
    seconds = [measure_start() for _ in range(times)]
    print(
        f"{times} starts: least {min(seconds) * MILLISECONDS:.0f} ms, "
        f"median {statistics.median(seconds) * MILLISECONDS:.0f} ms"
    )
    modules = list_loaded()
    packages = collections.Counter()
    for module in modules:
        packages[module.package] += module.milliseconds
    print(f"{len(modules)} modules; own time by package, with the profiler's cost:")
    for package, milliseconds in packages.most_common(MAX_PACKAGES):
        print(f"{milliseconds:8.1f} ms  {package}")


if __name__ == "__main__":
    main()
