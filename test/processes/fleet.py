"""Runs daemons and stand-ins as separate processes for tests."""

import os
import signal
import subprocess
import sys
import time
import urllib.request

import msgspec

from eelgrassrack.standins.caller import AnswerText, CallAnswer, read_plain, read_stream

from ..ports import find_port

TIMEOUT_SECONDS = 30.0
DOCUMENT = """\
[team operations]
sections = *
[limits]
default_deadline = 10
[organisation school]
key_env = SCHOOL_KEY
allows = tutor
services = registry
[model tutor]
[version tutor/1]
weight = 1
[version tutor/2]
weight = 1
[service registry]
not_repeatable = POST /credentials
[domain east]
[pool tutors]
serves = tutor/1, tutor/2
concurrency = 8
[pool registry]
service = registry
"""
KEY = "school-key"
ENVIRONMENT = {**os.environ, "SCHOOL_KEY": KEY, "EELGRASSRACK_STRICT": "1"}


class Process:
    """A child process and the URLs that it prints when it starts.

    It reads `lines` lines of output, each a name and a URL, into `urls`.
    """

    def __init__(self, *arguments, lines=0):
        self.popen = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            text=True,
            env=ENVIRONMENT,
        )
        rows = (self.popen.stdout.readline().split() for _ in range(lines))
        self.urls = {row[0]: row[1] for row in rows}

    def send(self, signal_number):
        """Send a signal to the process."""
        self.popen.send_signal(signal_number)

    def wait(self):
        """Wait for the exit; return the exit status and the remaining output."""
        output, _ = self.popen.communicate(timeout=TIMEOUT_SECONDS)
        return self.popen.returncode, output

    def close(self):
        """Kill the process if it still runs, also if it is paused, and reap it."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.communicate(timeout=TIMEOUT_SECONDS)


def fetch(url, *, method="GET", body=None, headers=None, timeout=TIMEOUT_SECONDS):
    """Send a request; return the status, headers and body of the response.

    A status of 400 or more doesn't raise an exception.
    """
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


class Fleet:
    """A platform stand-in, agents with their endpoints, and entries."""

    def __init__(self, directory):
        self.directory = directory
        self.started = []
        self.platform = self.start("eelgrassrack.standins", "platform", lines=3)
        self.agents = {}
        self.entries = {}
        self.entry_urls = {}

    def start(self, *arguments, lines=0):
        """Start a process that `close` ends.  Arguments as for `Process`."""
        process = Process(*arguments, lines=lines)
        self.started.append(process)
        return process

    def close(self):
        """End all processes, the last one started first."""
        for process in reversed(self.started):
            process.close()

    def run(self, *arguments):
        """Run an operator's command; return its exit status and output."""
        objects = ("--objects", self.platform.urls["objects"])
        process = self.start("eelgrassrack", *arguments, *objects)
        return process.wait()

    def apply(self, text, *extra):
        """Apply a document with the operator's command; return as `run` does."""
        path = self.directory / "document.ini"
        path.write_text(text)
        command = ("apply", str(path), "--section", "*", "--as", "operations")
        return self.run(*command, *extra)

    def start_agent(self, name, pool, endpoint_url, grace=10):
        """Start an agent and list it; `grace` is its grace period in seconds."""
        mailbox = f"tcp://127.0.0.1:{find_port()}"
        path = self.directory / f"{name}.ini"
        path.write_text(
            f"[agent]\nname = {name}\ndomain = east\npool = {pool}\n"
            f"mailbox = {mailbox}\nendpoint_url = {endpoint_url}\n"
            f"instances_url = {self.platform.urls['instances']}\n"
            f"grace_seconds = {grace}\nlag_seconds = 0.5\n"
        )
        self.agents[name] = self.start("eelgrassrack", "agent", str(path))
        self.join(name, "endpoint", mailbox, pool)

    def start_entry(self, name, grace=10, **settings):
        """Start an entry and list it; `grace` is its grace period in seconds."""
        port = find_port()
        mailbox = f"tcp://127.0.0.1:{find_port()}"
        path = self.directory / f"{name}.ini"
        urls = self.platform.urls
        path.write_text(
            f"[entry]\nname = {name}\ndomain = east\n"
            f"listen = 127.0.0.1:{port}\nmailbox = {mailbox}\n"
            f"objects_url = {urls['objects']}\n"
            f"instances_url = {urls['instances']}\n"
            f"rating_url = {urls['rating']}\n"
            f"grace_seconds = {grace}\nlag_seconds = 0.5\n"
            + "".join(f"{key} = {value}\n" for key, value in settings.items())
        )
        self.entries[name] = self.start("eelgrassrack", "entry", str(path))
        self.entry_urls[name] = f"http://127.0.0.1:{port}"
        self.join(name, "entry", mailbox, "")

    def join(self, name, role, mailbox, pool):
        """Add an instance to the instance list."""
        instance = {
            "name": name,
            "role": role,
            "domain": "east",
            "mailbox": mailbox,
            "pool": pool,
        }
        url = f"{self.platform.urls['instances']}/instances/{name}"
        fetch(url, method="PUT", body=msgspec.json.encode(instance))

    def remove(self, name):
        """Remove an instance from the instance list."""
        url = f"{self.platform.urls['instances']}/instances/{name}"
        fetch(url, method="DELETE")

    def wait_ready(self, *, revision=1, agents=None):
        """Wait until every entry has a revision and sees the agents have it.

        `agents` is how many agents are needed; by default all of them.
        """
        agent_count = len(self.agents) if agents is None else agents
        ends_at = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < ends_at:
            if all(
                self._is_ready(url, revision, agent_count)
                for url in self.entry_urls.values()
            ):
                return
            time.sleep(0.05)
        raise AssertionError("the fleet did not become ready")

    def wait_queued(self, entry, endpoint):
        """Wait until an entry reports requests queued at an endpoint's agent."""
        ends_at = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < ends_at:
            _, _, body = fetch(f"{self.entry_urls[entry]}/status")
            found = msgspec.json.decode(body)["endpoints"]
            if any(each["name"] == endpoint and each["queued"] for each in found):
                return
            time.sleep(0.05)
        raise AssertionError("no request was queued")

    def _is_ready(self, url, revision, agent_count):
        try:
            _, _, body = fetch(f"{url}/status", timeout=2)
        except OSError:
            return False
        status = msgspec.json.decode(body)
        current = [e for e in status["endpoints"] if (e["revision"] or 0) >= revision]
        return status["revision"] >= revision and len(current) >= agent_count

    def chat(self, entry, prompt, *, stream=True, model="tutor", headers=None):
        """Send a chat request through an entry and return its answer."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": 12,
            "stream": stream,
        }
        status, response_headers, data = fetch(
            f"{self.entry_urls[entry]}/v1/chat/completions",
            method="POST",
            body=msgspec.json.encode(body),
            headers={"Authorization": f"Bearer {KEY}", **(headers or {})},
        )
        read = read_stream if stream else read_plain
        answer = read(data) if status == 200 else AnswerText()
        return CallAnswer(
            status=status,
            text=answer.text,
            is_whole=answer.is_whole,
            run=response_headers.get("Eelgrassrack-Run", ""),
            version=response_headers.get("Eelgrassrack-Version", ""),
            retry_after=response_headers.get("Retry-After", ""),
            body=data,
        )

    def issue(self, entry, key, *, timeout=TIMEOUT_SECONDS):
        """Ask for a credential, by a request that may not be repeated."""
        return fetch(
            f"{self.entry_urls[entry]}/v1/services/registry/credentials",
            method="POST",
            body=key.encode(),
            headers={"Authorization": f"Bearer {KEY}", "Idempotency-Key": key},
            timeout=timeout,
        )
