"""Starts and ends measured processes, and reads their CPU time and memory.

Each child runs one role of `bench.roles`.  It ends when its standard input is
closed, so that none outlives the measurement.
"""

import asyncio
import sys
from pathlib import Path

import msgspec

PROC = Path("/proc")
# How long a child may take to print an object, and to end.
READY_SECONDS = 40.0
END_SECONDS = 5.0
# Longest line that a child may print.
LINE_BYTES = 4_000_000


class Child:
    """A process that runs a role; `ready` is the first object that it printed."""

    def __init__(self, *, process: asyncio.subprocess.Process, ready: dict) -> None:
        self._process = process
        self.ready = ready

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def cpu(self) -> float:
        """Return the CPU seconds that all its threads have used so far.

        They are read from the scheduler's statistics, because /proc/PID/stat counts
        in steps of 10 ms, as much as an idle daemon uses in a second.
        """
        tasks = (PROC / str(self.pid) / "task").iterdir()
        return sum(read_cpu((task / "schedstat").read_text()) for task in tasks)

    @property
    def rss(self) -> float:
        """Return its resident memory in megabytes."""
        return read_rss((PROC / str(self.pid) / "status").read_text())

    async def send_line(self, word: str) -> None:
        """Write a line to its standard input."""
        self._process.stdin.write(f"{word}\n".encode())
        await self._process.stdin.drain()

    async def read_object(self, seconds: float = READY_SECONDS) -> dict:
        """Return the next object that it prints; see `read_object`."""
        return await read_object(self._process, seconds)

    async def end(self) -> None:
        """Close its input, and kill it if it doesn't end within `END_SECONDS`."""
        self._process.stdin.close()
        try:
            await asyncio.wait_for(self._process.wait(), END_SECONDS)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


async def start_child(role: str, **options: object) -> Child:
    """Start a process that runs a role, and wait until it is ready."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.roles",
        role,
        msgspec.json.encode(options).decode(),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=LINE_BYTES,
    )
    return Child(process=process, ready=await read_object(process, READY_SECONDS))


async def read_object(process: asyncio.subprocess.Process, seconds: float) -> dict:
    """Return the next JSON object that a process prints.

    Raise `RuntimeError` if the process has ended, `TimeoutError` after `seconds`.
    """
    line = await asyncio.wait_for(process.stdout.readline(), seconds)
    if not line:
        raise RuntimeError("a process under measurement has ended")
    return msgspec.json.decode(line)


def read_cpu(schedstat: str) -> float:
    """Return the CPU seconds in the content of a schedstat file of /proc."""
    return int(schedstat.split()[0]) / 1e9


def read_rss(status: str) -> float:
    """Return the resident MB in the content of /proc/PID/status."""
    lines = (line for line in status.splitlines() if line.startswith("VmRSS:"))
    return int(next(lines).split()[1]) / 1024
