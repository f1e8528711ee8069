"""Daemons and stand-ins as separate processes, for tests."""

import os
import signal
import subprocess
import sys
import time
import urllib.request

import msgspec

from eelgrassrack.standins.caller import AnswerText, CallAnswer, read_plain, read_stream

from ..ports import find_port

PATIENCE = 30.0
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
    """One process and what it printed first."""

    def __init__(self, *arguments, lines=0):
        self.popen = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            text=True,
            env=ENVIRONMENT,
        )
        words = (self.popen.stdout.readline().split() for _ in range(lines))
        self.urls = {word[0]: word[1] for word in words}

    def send(self, number):
        self.popen.send_signal(number)

    def wait(self):
        """Return the exit status and the rest of what was printed."""
        output, _ = self.popen.communicate(timeout=PATIENCE)
        return self.popen.returncode, output

    def close(self):
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.communicate(timeout=PATIENCE)


def fetch(url, *, method="GET", body=None, headers=None, timeout=PATIENCE):
    """Return the status, headers and body of any answer."""
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


class Fleet:
    """A platform, endpoints with their agents, and entries."""

    def __init__(self, directory):
        self.directory = directory
        self.started = []
        self.platform = self.start("eelgrassrack.standins", "platform", lines=3)
        self.agents = {}
        self.entries = {}
        self.entry_urls = {}

    def start(self, *arguments, lines=0):
        process = Process(*arguments, lines=lines)
        self.started.append(process)
        return process

    def close(self):
        for process in reversed(self.started):
            process.close()

    def run(self, *arguments):
        """Run an operator's command to its end; return status and output."""
        objects = ("--objects", self.platform.urls["objects"])
        process = self.start("eelgrassrack", *arguments, *objects)
        return process.wait()

    def apply(self, text, *extra):
        path = self.directory / "document.ini"
        path.write_text(text)
        command = ("apply", str(path), "--section", "*", "--as", "operations")
        return self.run(*command, *extra)

    def start_agent(self, name, pool, endpoint_url, grace=10):
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

    def start_entry(self, name, grace=10):
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
        )
        self.entries[name] = self.start("eelgrassrack", "entry", str(path))
        self.entry_urls[name] = f"http://127.0.0.1:{port}"
        self.join(name, "entry", mailbox, "")

    def join(self, name, role, mailbox, pool):
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
        url = f"{self.platform.urls['instances']}/instances/{name}"
        fetch(url, method="DELETE")

    def wait_ready(self, *, revision=1, agents=None):
        """Wait until every entry knows its agents at a revision."""
        wanted = len(self.agents) if agents is None else agents
        ends_at = time.monotonic() + PATIENCE
        while time.monotonic() < ends_at:
            if all(
                self._is_ready(url, revision, wanted)
                for url in self.entry_urls.values()
            ):
                return
            time.sleep(0.05)
        raise AssertionError("the fleet never became ready")

    def wait_queued(self, entry, endpoint):
        """Wait until requests wait at an endpoint's agent."""
        ends_at = time.monotonic() + PATIENCE
        while time.monotonic() < ends_at:
            _, _, body = fetch(f"{self.entry_urls[entry]}/status")
            found = msgspec.json.decode(body)["endpoints"]
            if any(each["name"] == endpoint and each["queued"] for each in found):
                return
            time.sleep(0.05)
        raise AssertionError("nothing ever waited")

    def _is_ready(self, url, revision, wanted):
        try:
            _, _, body = fetch(f"{url}/status", timeout=2)
        except OSError:
            return False
        status = msgspec.json.decode(body)
        current = [e for e in status["endpoints"] if (e["revision"] or 0) >= revision]
        return status["revision"] >= revision and len(current) >= wanted

    def chat(self, entry, prompt, *, stream=True, model="tutor", headers=None):
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": 12,
            "stream": stream,
        }
        status, found, data = fetch(
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
            run=found.get("Eelgrassrack-Run", ""),
            version=found.get("Eelgrassrack-Version", ""),
            retry_after=found.get("Retry-After", ""),
            body=data,
        )

    def issue(self, entry, key, *, timeout=PATIENCE):
        """Send a request that may not be repeated."""
        return fetch(
            f"{self.entry_urls[entry]}/v1/services/registry/credentials",
            method="POST",
            body=key.encode(),
            headers={"Authorization": f"Bearer {KEY}", "Idempotency-Key": key},
            timeout=timeout,
        )
