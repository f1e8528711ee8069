"""Stand-ins and process control for the scripts of the second review.

Only the standard library is used.  `Store` plays the platform's metadata store,
`Engine` an engine that registers itself there, `Gateways` starts the gateway with the
command of the deploy file, and `send` is a consumer.  All of them run on loopback
addresses and the real clock.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import socket
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
DELAY_SECONDS = 0.004
HOST = "ficu95.example"
PARTIAL_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 400\r\n\r\n{"
)
KEY = "n2ctnfzs989anu6wsjnb"

TEMPLATE = """[gateway]
name = {name}
domain = {zone}
seeds = {seeds}
listen = {ip}:{front}
readiness = {ip}:{ready}
address = {ip}
news_port = {news}
metrics_port = {metrics}
objects_url = http://{store}
grace_seconds = 8
drain_ms = 2000
configuration_ms = 2000
evacuation_ms = 5000
rollback_ms = 5000
retry_ratio = 0.9
retry_window_seconds = 10
retry_slack = 54
exposure_share = 0.15
exposure_slack = 30
cold_overage = 1.5
cold_slack = 5
reuse_seconds = 8.5
session_seconds = 5
link_mbps = 1000.0
memory_mb = 150

[log]
format = json
level = info
"""


def now() -> float:
    """Return the time of the steady clock in seconds."""
    return time.monotonic()


def free_port() -> int:
    """Return a port that is free on all loopback addresses used here."""
    with socket.socket() as sock:
        sock.bind(("0.0.0.0", 0))
        return sock.getsockname()[1]


class Record:
    """Writes `record.txt`: what was sent, answered and run, with the time."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.start = now()

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{now() - self.start:8.3f} {text}\n")
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers, in lower case, of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a message's body, which has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's store: objects by kind and name, with lists and watches.

    `paused` holds kinds, `cut_watches` ends waiting watches without an answer.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.revision = 100
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.waiting: dict[asyncio.Task, tuple[str, asyncio.StreamWriter]] = {}
        self.changed = asyncio.Event()
        self.calls = 0
        self.on_write = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Open the store's port."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    async def stop(self) -> None:
        """Close the port and all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    def put(self, kind: str, name: str, spec: object = None, status: object = None):
        """Create or replace an object, as its owner does; return it."""
        old = self.objects.setdefault(kind, {}).get(name)
        if old and spec in (None, old["spec"]) and status in (None, old["status"]):
            return old
        self.revision += 1
        created = old["metadata"]["created"] if old else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec if spec is not None else (old or {}).get("spec"),
            "status": status if status is not None else (old or {}).get("status"),
        }
        self.objects[kind][name] = item
        self._tell(kind, item, False)
        return item

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._tell(kind, item, True)

    def _tell(self, kind: str, item: dict, tombstone: bool) -> None:
        self.events.append((self.revision, kind, item, tombstone))
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_watches(self, kinds: tuple[str, ...], *, head: bool = False) -> int:
        """Cut off the watches of some kinds that are waiting; return how many.

        With `head` the first bytes of an answer are sent before.
        """
        cut = 0
        for kind in kinds:
            for task, (one, writer) in tuple(self.waiting.items()):
                if one == kind:
                    task.cancel()
                    if head:
                        writer.write(PARTIAL_ANSWER)
                    writer.close()
                    cut += 1
        return cut

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                self.calls += 1
                await asyncio.sleep(DELAY_SECONDS)
                status, answer = await self._answer(method, target, body, writer)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, body, writer) -> tuple[int, object]:
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        parts = [urllib.parse.unquote(part) for part in path.strip("/").split("/")]
        kind, rest = parts[1], parts[2:]
        held = self.objects.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            wait = int(query.get("waitMs", 0)) / 1000
            return 200, await self._watch(kind, int(query["watch"]), wait, writer)
        if method == "GET" and rest:
            found = held.get(rest[0])
            return (200, found) if found else (404, {})
        if method == "GET":
            names = sorted(name for name in held if name > query.get("after", ""))
            return 200, {
                "items": [held[name] for name in names[:500]],
                "hasMore": len(names) > 500,
                "storeRevision": self.revision,
            }
        draft = json.loads(body) if body else {}
        meta = draft.get("metadata") or {}
        name = rest[0] if rest else meta.get("name")
        old = held.get(name)
        if method == "POST" and old:
            return 409, old
        if method in {"PUT", "DELETE"} and not old:
            return 404, {}
        wanted = meta.get("revision") or query.get("revision")
        if old and wanted and int(wanted) != old["metadata"]["revision"]:
            return 409, old
        if method == "DELETE":
            self.remove(kind, name)
            return 200, old
        if rest[1:] == ["status"]:
            item = self.put(kind, name, status=draft.get("status"))
        else:
            item = self.put(kind, name, spec=draft.get("spec"))
        if self.on_write:
            self.on_write(kind, item)
        return (201 if method == "POST" else 200), item

    async def _watch(self, kind: str, after: int, wait: float, writer) -> object:
        until = now() + wait
        task = asyncio.current_task()
        self.waiting[task] = (kind, writer)
        try:
            while True:
                found = [
                    {"object": item, "tombstone": tombstone}
                    for revision, one, item, tombstone in self.events
                    if one == kind and revision > after
                ]
                left = until - now()
                if found or left <= 0:
                    return {"events": found, "storeRevision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    continue
        finally:
            self.waiting.pop(task, None)


class Engine:
    """An engine: registers itself, runs requests for `work` seconds each.

    `arrivals` holds the time and id of each request that reached it, `fails` is the
    share of its requests that it answers with `failure` once it has run them.
    """

    def __init__(self, *, store: Store, name: str, service: str, zone: str, **options):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.version = options.get("version", "v1")
        self.work = options.get("work", 0.06)
        self.slots = options.get("slots", 6)
        self.host = options.get("host", "127.0.0.1")
        self.on_run = options.get("on_run")
        self.fails = options.get("fails", 0.0)
        self.failure = "500 Internal Server Error"
        self.born = int(time.time() * 1000)
        self.arrivals: list[tuple[float, str]] = []
        self.ran: list[str] = []
        self.failed: list[tuple[float, str]] = []
        self.state = "ready"
        self.running = 0
        self._sequence = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._beating: asyncio.Task | None = None

    async def start(self) -> None:
        """Open the port and register."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.register()

    def register(self) -> None:
        """Write the entry to the store."""
        self._sequence += 1
        self.store.put("servers", self.name, self.describe())

    def describe(self) -> dict:
        """Return the entry."""
        return {
            "born": self.born,
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
        }

    def drain(self) -> None:
        """Report that the engine is draining; it goes on to serve."""
        self.state = "draining"
        self.register()

    async def stop(self) -> None:
        """Leave: remove the entry, close the port and all connections."""
        self.store.remove("servers", self.name)
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                if not await self._respond(line, headers, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, line, headers, writer) -> bool:
        request = headers.get("x-attempt-id", "")
        extra = f"X-Instance-Load: {self.running},0,{self.slots}\r\n"
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nX-Instance: {self.name}\r\n"
                f"X-Attempt-Id: {request}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        self.arrivals.append((now(), request))
        self.ran.append(request)
        if self.on_run:
            self.on_run(self, request, headers)
        self.running += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        body = f"{request} {self.name}\n".encode()
        line = "200 OK"
        if random.random() < self.fails:
            line = self.failure
            self.failed.append((now(), request))
        writer.write(
            f"HTTP/1.1 {line}\r\nX-Attempt-Id: {request}\r\n"
            f"X-Server-Stamp: {self.name}.{request}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()
        return True


class Gateways:
    """Gateway processes, each on a loopback address of its own."""

    def __init__(self, *, store: str, zones: list[str]) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        ports = {name: free_port() for name in ("front", "ready", "news", "metrics")}
        self.ports = ports
        self.ips = [f"127.0.0.{11 + index}" for index in range(len(zones))]
        self.zones = zones
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.words = deploy["roles"]["entry"]["run"].split()
        seeds = ",".join(f"{ip}:{ports['front']}" for ip in self.ips[:3])
        for index, (ip, zone) in enumerate(zip(self.ips, zones, strict=True)):
            text = TEMPLATE.format(
                name=f"edge-{zone}-{index}",
                zone=zone,
                seeds=seeds,
                ip=ip,
                store=store,
                **ports,
            )
            (self.folder / f"{ip}.conf").write_text(text)

    async def start(self, ip: str) -> None:
        """Start the gateway at an address, with the words of the deploy file."""
        path = str(self.folder / f"{ip}.conf")
        words = [path if word.startswith("/etc/") else word for word in self.words]
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env["EELGRASSRACK_SETTINGS"] = path
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self.folder / f"{ip}.log").open("ab") as log:
            self.processes[ip] = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def start_all(self) -> None:
        """Start all gateways and wait until they are ready."""
        await asyncio.gather(*map(self.start, self.ips))
        await asyncio.gather(*map(self.wait_ready, self.ips))

    async def wait_ready(self, ip: str, seconds: float = 15.0) -> None:
        """Wait until a gateway is ready."""
        until = now() + seconds
        while now() < until:
            try:
                reader, writer = await asyncio.open_connection(ip, self.ports["ready"])
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line, _ = await read_head(reader)
                writer.close()
                if " 200 " in line:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError("a gateway isn't ready in time")

    def signal(self, ip: str, number: int) -> None:
        """Send a signal to the gateway at an address."""
        self.processes[ip].send_signal(number)

    async def stop_all(self) -> None:
        """Kill all gateways and remove the temporary folder."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a consumer got: `status` is 0 where the connection ended without answer."""

    def __init__(
        self, status: int = 0, headers=None, body: bytes = b"", end=""
    ) -> None:
        self.status, self.headers, self.body, self.end = (
            status,
            headers or {},
            body,
            end,
        )


async def send(ip: str, port: int, *, request: str, method="GET", **options) -> Answer:
    """Send one request on a new connection and return its answer."""
    path = options.get("path", "/cufi504/2f")
    body = options.get("body", b"")
    limit = options.get("limit", 1.5)
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {options.get('host', HOST)}\r\n"
        f"X-Attempt-Id: {request}\r\nX-Deadline-Ms: {int(limit * 1000)}\r\n"
        f"Authorization: Bearer {options.get('key', KEY)}\r\n"
    )
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(head.encode() + b"\r\n" + body)
                line, headers = await read_head(reader)
                data = await read_body(reader, headers)
                return Answer(int(line.split()[1]), headers, data)
            finally:
                writer.close()
    except TimeoutError:
        return Answer(end="time limit")
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(end=type(error).__name__)


def make_manifest(version: int, *, routes=None, services=("xano55b",), keys=(KEY,)):
    """Return a manifest with an idempotent and a non-idempotent route."""
    routes = routes or [
        make_route("r-get", "/cufi504/", "idempotent", services[0]),
        make_route("r-post", "/puxa403/", "non_idempotent", services[0]),
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConnections": 100,
                "protocol": "h1",
                "tls": False,
                "coldS": 0.0,
                "coldPerS": 0.0,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": list(keys), "priority": 1}],
    }


def make_route(name: str, prefix: str, kind: str, service: str, **options) -> dict:
    """Return a route of a manifest."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 3,
        "public": False,
        "sticky": False,
        "resumable": False,
        **options,
    }


ZONES = ["qc-est-a", "qc-est-b", "qc-est-c"]


def run_case(play, folder: pathlib.Path) -> int:
    """Run `play(record, has_trouble)`; return the script's exit code.

    `play` returns whether the rule was broken.  The code is 2 if it couldn't run.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble: {'yes' if has_trouble else 'no'}")
    try:
        is_broken = asyncio.run(asyncio.wait_for(play(record, has_trouble), 115))
    except Exception as error:
        record.note(f"couldn't run: {type(error).__name__}: {error}")
        return 2
    record.note(f"the rule {'was broken' if is_broken else 'held'}")
    return int(is_broken)
