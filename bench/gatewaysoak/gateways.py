"""Starts, stops and disturbs gateway processes, and records their lifetimes."""

import asyncio
import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from test.ports import find_port

GRACE_SECONDS = 5.0
POLL_SECONDS = 0.02
NANOSECONDS = 1e9
# What a busy machine may need beyond the grace period for the process to exit and
# for the soak to notice.
END_SLACK_SECONDS = 0.5
# Log lines that name a request which the gateway has read, and that report a start.
READ_ATTEMPT = re.compile(r'"request":"(\w+)"')
STARTED = re.compile(r'^{"time":([\d.]+),.*"gateway: \S+ started in', re.MULTILINE)
SETTINGS = """\
[gateway]
name = entry-{number}
domain = north
listen = {listen}
readiness = {readiness}
address = 127.0.0.{number}
news_port = {news_port}
metrics_port = {news_port}
objects_url = http://{store}
grace_seconds = {grace}
[log]
format = json
"""


class Disruption(msgspec.Struct, kw_only=True):
    """An unplanned kill or pause of a process; times are monotonic."""

    began: float
    ended: float


class ProcessLifetime(msgspec.Struct, kw_only=True):
    """One process of a gateway, from its start to its end; times are monotonic.

    `sigterm_at` is taken right before SIGTERM is sent, `sigterm_sent_at` right after,
    and `killed_at` is when a process that outlasted its grace was killed.
    `exceeded_grace` means that the process still had callers, and so hadn't finished
    stopping, at the end of its grace period.  `log_begin` is the size that the
    gateway's log had before the process started.  For a process that was killed then,
    `ran_seconds` and `waited_seconds` are what it ran and waited for a processor since
    SIGTERM.
    """

    began: float
    log_begin: int = 0
    sigterm_at: float = float("inf")
    sigterm_sent_at: float | None = None
    killed_at: float | None = None
    ended: float = float("inf")
    exceeded_grace: bool = False
    ran_seconds: float = 0.0
    waited_seconds: float = 0.0
    disruptions: list[Disruption] = msgspec.field(default_factory=list)

    def was_disrupted(self, began: float, ended: float) -> bool:
        """Return whether a disruption overlaps this time."""
        return any(
            one.began <= ended and one.ended >= began for one in self.disruptions
        )


class GatewayProcess:
    """A gateway that is started again under the same settings after each end.

    `lifetimes` holds its processes, the latest last.
    """

    def __init__(
        self,
        *,
        number: int,
        news_port: int,
        store: str,
        folder: str,
        grace: float = GRACE_SECONDS,
    ) -> None:
        self.listen = f"127.0.0.{number}:{find_port()}"
        self.grace = grace
        self.lifetimes: list[ProcessLifetime] = []
        self._pauses: list[Disruption] = []
        self._log_path = Path(folder, f"entry-{number}.log")
        self._stops_path = Path(folder, f"entry-{number}.stops")
        self._path = Path(folder, f"entry-{number}.ini")
        self._path.write_text(
            SETTINGS.format(
                number=number,
                listen=self.listen,
                readiness=f"127.0.0.{number}:{find_port()}",
                news_port=news_port,
                store=store,
                grace=grace,
            )
        )
        self.process: subprocess.Popen | None = None

    @property
    def is_up(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def remaining_grace(self) -> float:
        """Return the seconds of grace that a stopping process still has.

        Return 0 if no process is stopping.
        """
        remaining = self.lifetimes[-1].sigterm_at + self.grace - time.monotonic()
        return remaining if self.is_up and remaining <= self.grace else 0.0

    def start(self) -> None:
        """Start the process unless it runs."""
        if self.is_up:
            return
        self._note_end()
        with self._log_path.open("ab") as log:
            lifetime = ProcessLifetime(began=time.monotonic(), log_begin=log.tell())
            self.lifetimes.append(lifetime)
            self.process = subprocess.Popen(
                [sys.executable, "-m", "eelgrassrack.gateway", str(self._path)],
                stdout=log,
                stderr=log,
            )

    def send(self, number: int) -> None:
        """Send a signal if the process still runs."""
        if self.is_up:
            os.kill(self.process.pid, number)

    async def stop(self) -> None:
        """Stop the process with SIGTERM, and start it again once it has ended.

        A process that outlasts its grace period is killed.
        """
        lifetime = self.lifetimes[-1]
        now = time.monotonic()
        if lifetime.sigterm_at <= now or not self.is_up:
            return
        lifetime.sigterm_at = now
        self.send(signal.SIGTERM)
        lifetime.sigterm_sent_at = time.monotonic()
        pid = self.process.pid
        ran, waited = _read_schedule(pid)
        while self.is_up:
            if time.monotonic() > lifetime.sigterm_at + self.grace + END_SLACK_SECONDS:
                was_disrupted = lifetime.was_disrupted(
                    lifetime.sigterm_at, time.monotonic()
                )
                lifetime.exceeded_grace = (
                    not was_disrupted and not self._has_logged_stop()
                )
                lifetime.killed_at = time.monotonic()
                ran_now, waited_now = _read_schedule(pid)
                lifetime.ran_seconds = ran_now - ran
                lifetime.waited_seconds = waited_now - waited
                self.kill()
                self.process.wait()
            await asyncio.sleep(POLL_SECONDS)
        self._log_stop(lifetime, pid=pid)
        self.start()

    def kill(self) -> None:
        """Kill the process."""
        # The disruption has no end, because requests sent to a process that is
        # being killed aren't answered either.
        disruption = Disruption(began=time.monotonic(), ended=float("inf"))
        self.lifetimes[-1].disruptions.append(disruption)
        self.send(signal.SIGKILL)

    def pause(self) -> None:
        """Pause the process."""
        disruption = Disruption(began=time.monotonic(), ended=float("inf"))
        self.lifetimes[-1].disruptions.append(disruption)
        self._pauses.append(disruption)
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self.send(signal.SIGCONT)
        now = time.monotonic()
        for disruption in self._pauses:
            disruption.ended = min(disruption.ended, now)

    def close(self) -> None:
        """End the process for good."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.process.wait()
        self._note_end()

    def find_lifetime(self, at: float) -> ProcessLifetime:
        """Return the latest lifetime that had begun at a time."""
        return max(
            (lifetime for lifetime in self.lifetimes if lifetime.began <= at),
            key=lambda lifetime: lifetime.began,
        )

    def list_read_attempts(self) -> set[str]:
        """Return the attempts named in the log, which were read completely."""
        return set(READ_ATTEMPT.findall(self._read_log()))

    def list_start_times(self) -> list[float]:
        """Return the monotonic times at which the log says processes had loaded."""
        offset = time.time() - time.monotonic()
        return [float(at) - offset for at in STARTED.findall(self._read_log())]

    @property
    def has_started(self) -> bool:
        """Return whether the running process has loaded."""
        return self.is_up and any(
            at >= self.lifetimes[-1].began for at in self.list_start_times()
        )

    def _log_stop(self, lifetime: ProcessLifetime, *, pid: int) -> None:
        """Write one line of JSON on a stop, with Unix times as in the gateway's log."""
        offset = time.time() - time.monotonic()
        times = {
            "began": lifetime.began,
            "sigterm": lifetime.sigterm_at,
            "sigterm_sent": lifetime.sigterm_sent_at,
            "killed": lifetime.killed_at,
            "ended": time.monotonic(),
        }
        line = {
            name: None if at is None else round(at + offset, 4)
            for name, at in times.items()
        } | {
            "pid": pid,
            "code": self.process.returncode,
            "grace": self.grace,
            "exceeded_grace": lifetime.exceeded_grace,
        }
        with self._stops_path.open("ab") as log:
            log.write(msgspec.json.encode(line) + b"\n")

    def _read_log(self, begin: int = 0) -> str:
        """Return the log from a position in bytes on."""
        return self._log_path.read_bytes()[begin:].decode(errors="replace")

    def _has_logged_stop(self) -> bool:
        """Return whether the process had finished stopping and only had to exit."""
        text = self._read_log(self.lifetimes[-1].log_begin)
        return text.rfind("gateway: stopped") > text.rfind("gateway: stopping")

    def _note_end(self) -> None:
        if self.lifetimes:
            self.lifetimes[-1].ended = min(self.lifetimes[-1].ended, time.monotonic())


def _read_schedule(pid: int) -> tuple[float, float]:
    """Return how long a process has run, and has waited for a processor, in seconds."""
    try:
        text = Path(f"/proc/{pid}/schedstat").read_text()
    except OSError:
        return 0.0, 0.0
    ran, waited, _ = (int(part) for part in text.split())
    return ran / NANOSECONDS, waited / NANOSECONDS
