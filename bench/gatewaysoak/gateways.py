"""Gateway processes, and what happened to each of their lives."""

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
LOOK_SECONDS = 0.02
# What a busy machine may take to end a process and to tell of it.
END_SLACK_SECONDS = 0.5
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


class Blow(msgspec.Struct, kw_only=True):
    """A kill or a pause that nobody planned; times are steady."""

    began: float
    ended: float


class Life(msgspec.Struct, kw_only=True):
    """One process of a gate, from its start to its end; times are steady.

    `told_at` is the time of SIGTERM, `is_overdue` tells that the process still
    had callers at the end of its grace.
    """

    began: float
    told_at: float = float("inf")
    ended: float = float("inf")
    is_overdue: bool = False
    blows: list[Blow] = msgspec.field(default_factory=list)

    def was_hit(self, began: float, ended: float) -> bool:
        """Tell whether something unplanned hit the process in this time."""
        return any(one.began <= ended and one.ended >= began for one in self.blows)


class GatewayProcess:
    """One gateway process, started again under the same settings."""

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
        self.lives: list[Life] = []
        self._pauses: list[Blow] = []
        self._log_path = Path(folder, f"entry-{number}.log")
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
        """Tell whether the process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def grace_left(self) -> float:
        """Return the seconds that a stopping process has left; 0 if none is."""
        left = self.lives[-1].told_at + self.grace - time.monotonic()
        return left if self.is_up and left <= self.grace else 0.0

    def start(self) -> None:
        """Start the process unless it runs."""
        if self.is_up:
            return
        self._note_ended()
        self.lives.append(Life(began=time.monotonic()))
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "eelgrassrack.gateway", str(self._path)],
                stdout=log,
                stderr=log,
            )

    def send(self, number: int) -> None:
        """Send a signal, if the process still runs."""
        if self.is_up:
            os.kill(self.process.pid, number)

    async def stop(self) -> None:
        """Stop the process as planned, and start it again once it has ended."""
        life = self.lives[-1]
        now = time.monotonic()
        if life.told_at <= now or not self.is_up:
            return
        life.told_at = now
        self.send(signal.SIGTERM)
        while self.is_up:
            if time.monotonic() > life.told_at + self.grace + END_SLACK_SECONDS:
                was_hit = life.was_hit(life.told_at, time.monotonic())
                life.is_overdue = not was_hit and not self._has_closed()
                self.kill()
                self.process.wait()
            await asyncio.sleep(LOOK_SECONDS)
        self.start()

    def kill(self) -> None:
        """Kill the process."""
        # What is sent to a process that is dying isn't answered either.
        blow = Blow(began=time.monotonic(), ended=float("inf"))
        self.lives[-1].blows.append(blow)
        self.send(signal.SIGKILL)

    def pause(self) -> None:
        """Pause the process."""
        blow = Blow(began=time.monotonic(), ended=float("inf"))
        self.lives[-1].blows.append(blow)
        self._pauses.append(blow)
        self.send(signal.SIGSTOP)

    def wake(self) -> None:
        """Have a paused process go on."""
        self.send(signal.SIGCONT)
        now = time.monotonic()
        for blow in self._pauses:
            blow.ended = min(blow.ended, now)

    def close(self) -> None:
        """End the process for good."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.process.wait()
        self._note_ended()

    def find_life(self, at: float) -> Life:
        """Return the latest life that had begun by then."""
        return max(
            (life for life in self.lives if life.began <= at),
            key=lambda life: life.began,
        )

    def list_read(self) -> set[str]:
        """Return the attempts that the log names: those that were read whole."""
        return set(READ_ATTEMPT.findall(self._read_log()))

    def list_started(self) -> list[float]:
        """Return the steady times at which processes had loaded, by the log."""
        ahead = time.time() - time.monotonic()
        return [float(at) - ahead for at in STARTED.findall(self._read_log())]

    @property
    def has_started(self) -> bool:
        """Tell whether the process that runs has loaded."""
        return self.is_up and any(
            at >= self.lives[-1].began for at in self.list_started()
        )

    def _read_log(self) -> str:
        return self._log_path.read_text(errors="replace")

    def _has_closed(self) -> bool:
        """Tell whether the process was done and had only to be left by the system."""
        text = self._read_log()
        return text.rfind("gateway: stopped") > text.rfind("gateway: stopping")

    def _note_ended(self) -> None:
        if self.lives:
            self.lives[-1].ended = min(self.lives[-1].ended, time.monotonic())
