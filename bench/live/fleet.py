"""Runs a fleet of real processes: platform stand-ins, engines, agents and entries.

All of them are ended, each by its process id, even when a run fails.
"""

import os
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import msgspec

from eelgrassrack.statuses import EntryStatus
from test.ports import find_port

ADDRESS = "127.0.0.1"
READY_SECONDS = 30.0
END_SECONDS = 5.0
POLL_SECONDS = 0.1
ENVIRONMENT = {**os.environ, "EELGRASSRACK_STRICT": "1"}

DOMAINS = ("east", "west", "north")
ENGINES_PER_DOMAIN = 2
SLOTS = 8
SPEED = 50
VERSION = "tutor/1"
TEAM = "operations"


class Process:
    """One process of the fleet.

    The process prints `lines` lines when it is ready, each a name and a URL; `urls`
    holds them.
    """

    def __init__(self, *arguments: str, log: Path, lines: int = 0) -> None:
        with log.open("ab") as errors:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=errors,
                text=True,
                env=ENVIRONMENT,
            )
        words = (self._popen.stdout.readline().split() for _ in range(lines))
        self.urls = {word[0]: word[1] for word in words}

    def wait(self, seconds: float) -> tuple[int, str]:
        """Wait for the process to end; return its exit status and output.

        Raise `subprocess.TimeoutExpired` after `seconds`.
        """
        output, _ = self._popen.communicate(timeout=seconds)
        return self._popen.returncode, output

    def terminate(self) -> None:
        """Send SIGTERM if the process still runs."""
        if self._popen.poll() is None:
            self._popen.terminate()

    def close(self) -> None:
        """Wait for the process to end, and kill it after `END_SECONDS`."""
        try:
            self._popen.communicate(timeout=END_SECONDS)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            self._popen.communicate()


class Fleet:
    """Two entries in front of three failure domains with two engines each."""

    def __init__(self, *, directory: Path, document: str) -> None:
        self._directory = directory
        self._document = document
        self._processes: list[Process] = []
        self.engine_urls: list[str] = []
        self.entry_urls: list[str] = []
        self.objects_url = ""
        self._instances_url = ""
        self._rating_url = ""

    def __enter__(self) -> "Fleet":
        """Start everything and wait until both entries know all agents."""
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *details: object) -> None:
        """End everything."""
        self.close()

    def close(self) -> None:
        """End every process that this fleet started, by its id."""
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            process.close()
        self._processes.clear()

    def start(self, *arguments: str, lines: int = 0) -> Process:
        """Start a process that is ended with the fleet."""
        log = self._directory / "processes.log"
        process = Process(*arguments, log=log, lines=lines)
        self._processes.append(process)
        return process

    def run(self, *arguments: str) -> str:
        """Run an operator's command and return its output.

        Raise `RuntimeError` if the command fails.
        """
        process = self.start("eelgrassrack", *arguments, "--objects", self.objects_url)
        status, output = process.wait(READY_SECONDS)
        if status:
            raise RuntimeError(f"{arguments[0]} ended with {status}: {output}")
        return output

    def fetch_status(self) -> EntryStatus:
        """Return the status of the first entry."""
        with urllib.request.urlopen(f"{self.entry_urls[0]}/status", timeout=5) as found:
            return msgspec.json.decode(found.read(), type=EntryStatus)

    def _start(self) -> None:
        urls = self.start("eelgrassrack.standins", "platform", lines=3).urls
        self.objects_url = urls["objects"]
        self._instances_url = urls["instances"]
        self._rating_url = urls["rating"]
        path = self._directory / "document.ini"
        path.write_text(self._document)
        self.run("apply", str(path), "--section", "*", "--as", TEAM)
        for domain in DOMAINS:
            for number in range(ENGINES_PER_DOMAIN):
                self._start_endpoint(f"tutor-{domain}-{number}", domain)
        for number in range(2):
            self._start_entry(f"entry-{number}")
        self._wait_ready()

    def _start_endpoint(self, name: str, domain: str) -> None:
        options = ("--versions", VERSION, "--slots", str(SLOTS), "--speed", str(SPEED))
        engine = self.start("eelgrassrack.standins", "engine", *options, lines=1)
        self.engine_urls.append(engine.urls["engine"])
        mailbox = f"tcp://{ADDRESS}:{find_port()}"
        settings = (
            f"[agent]\nname = {name}\ndomain = {domain}\npool = tutors\n"
            f"mailbox = {mailbox}\nendpoint_url = {engine.urls['engine']}\n"
            f"instances_url = {self._instances_url}\n"
            "grace_seconds = 1\nlag_seconds = 0.2\n"
        )
        self._start_daemon("agent", name, settings)
        self._join(name, "endpoint", domain, mailbox, "tutors")

    def _start_entry(self, name: str) -> None:
        listen = f"{ADDRESS}:{find_port()}"
        mailbox = f"tcp://{ADDRESS}:{find_port()}"
        settings = (
            f"[entry]\nname = {name}\ndomain = {DOMAINS[0]}\nlisten = {listen}\n"
            f"mailbox = {mailbox}\nobjects_url = {self.objects_url}\n"
            f"instances_url = {self._instances_url}\n"
            f"rating_url = {self._rating_url}\n"
            "grace_seconds = 1\nlag_seconds = 0.2\n"
        )
        self._start_daemon("entry", name, settings)
        self.entry_urls.append(f"http://{listen}")
        self._join(name, "entry", DOMAINS[0], mailbox, "")

    def _start_daemon(self, role: str, name: str, settings: str) -> None:
        path = self._directory / f"{name}.ini"
        path.write_text(settings)
        self.start("eelgrassrack", role, str(path))

    def _join(self, name: str, role: str, domain: str, mailbox: str, pool: str) -> None:
        instance = {
            "name": name,
            "role": role,
            "domain": domain,
            "mailbox": mailbox,
            "pool": pool,
        }
        request = urllib.request.Request(
            f"{self._instances_url}/instances/{name}",
            data=msgspec.json.encode(instance),
            method="PUT",
        )
        urllib.request.urlopen(request, timeout=READY_SECONDS).close()

    def _wait_ready(self) -> None:
        ends_at = time.monotonic() + READY_SECONDS
        while time.monotonic() < ends_at:
            if all(map(self._is_ready, self.entry_urls)):
                return
            time.sleep(POLL_SECONDS)
        raise TimeoutError("the fleet never became ready")

    def _is_ready(self, url: str) -> bool:
        try:
            with urllib.request.urlopen(f"{url}/status", timeout=2) as found:
                status = msgspec.json.decode(found.read(), type=EntryStatus)
        except OSError:
            return False
        current = [one for one in status.endpoints if one.revision]
        return len(current) == len(self.engine_urls)
