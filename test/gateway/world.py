"""Gateways in this process, with stand-ins for the platform and for endpoints."""

import asyncio
import contextlib

import msgspec

from eelgrassrack.gateway.daemon import Gateway
from eelgrassrack.gateway.settings import GatewaySettings
from eelgrassrack.platform import headers
from eelgrassrack.platform.store import Kinds, PlatformStore
from eelgrassrack.standins.directengine import DirectEngine, Reply
from eelgrassrack.standins.metadatastore import MetadataStore

from ..ports import find_port

HOST = "api.example"
KEY = "key-of-first"

MODELS = ("small", "middle", "large")

# How the answer begins that asks for a body which the caller announced.
INTERIM = b"HTTP/1.1 100"

# Headers of a request that lets the gateway choose the model.
ANY_MODEL_HEADERS = (
    ("X-Model", "*"),
    ("X-Token-Usage", "1000,50"),
    ("X-Prompt-Prefix", "aa:400,bb:600"),
    ("Session", "s1"),
)


def run(coroutine):
    """Run a test's coroutine with a timeout of 30 seconds."""
    return asyncio.run(asyncio.wait_for(coroutine, 30))


def make_route(name, prefix, kind="idempotent", **rest):
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 2_000,
        "targetLatencyMs": 500,
        "service": "plain",
        "maxAttempts": 3,
        "priority": 1,
        **rest,
    }


ROUTES = (
    make_route("look", "/look/"),
    make_route("issue", "/issue/", "non_idempotent"),
    make_route("open", "/open/", public=True),
    make_route("short", "/short/", timeoutMs=300),
    make_route(
        "chat",
        "/chat/",
        "streaming",
        service="models",
        resumable=True,
        timeoutMs=8_000,
        sizes=list(MODELS),
    ),
    make_route(
        "final",
        "/final/",
        "streaming",
        service="models",
        resumable=True,
        timeoutMs=8_000,
        maxAttempts=1,
    ),
    make_route("once", "/once/", "streaming", service="models", timeoutMs=8_000),
)


def make_manifest(*, version=1, routes=ROUTES, keys=(KEY,), limits=None, priority=1):
    """Return a manifest; without a `priority` of its tenant, those of routes count."""
    tenant = {"name": "first", "apiKeys": list(keys)}
    costs = zip(MODELS, (0.016, 0.12, 0.23), strict=True)
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {"name": "plain", "maxConnections": 50},
            {"name": "other", "maxConnections": 50},
            {
                "name": "models",
                "coldS": 3.0,
                "coldPerS": 20.0,
                "engine": {
                    "slots": 8,
                    "models": [{"name": name, "cost": cost} for name, cost in costs],
                },
            },
        ],
        "tenants": [tenant if priority is None else {**tenant, "priority": priority}],
        "limits": limits or {},
    }


class World:
    """A store, endpoints and gateways."""

    def __init__(self):
        self.store = MetadataStore()
        self.engines = {}
        self.gateways = []
        self.settings = []
        self.dropped_lines = 0
        self.news_port = find_port()

    async def add_engine(self, name, *script, service="plain", **rest):
        engine = DirectEngine(name=name, script=script or (Reply(),))
        await engine.start()
        self.engines[name] = engine
        self.list_engine(name, service=service, **rest)
        return engine

    def list_engine(self, name, *, service="plain", state="ready", **rest):
        entry = {
            "service": service,
            "address": self.engines[name].address,
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "born": 1_000,
            **rest,
        }
        self.store.put(kind=Kinds.ENDPOINTS, name=name, spec=entry)

    def configure(self, **changes):
        manifest = make_manifest(**changes)
        self.store.put(kind=Kinds.CONFIGURATION, name="main", spec=manifest)

    async def start_gateway(self, *, number=1, objects_url=None, **rest):
        """Start a gateway with its own loopback address."""
        address = f"127.0.0.{number}"
        settings = GatewaySettings(
            name=f"entry-{number}",
            domain="north",
            listen=f"{address}:{find_port()}",
            readiness=f"{address}:{find_port()}",
            address=address,
            news_port=self.news_port,
            metrics_port=self.news_port,
            objects_url=objects_url or self.store.url,
            seeds=("127.0.0.1:1", "127.0.0.2:1"),
            grace_seconds=6.0,
            **rest,
        )
        index = len(self.settings)
        gateway = Gateway(
            settings=settings,
            store=PlatformStore(url=settings.objects_url),
            kinds=Kinds,
            translation=headers,
            read_settings=lambda: self.settings[index],
            count_dropped=lambda: self.dropped_lines,
        )
        self.gateways.append(gateway)
        self.settings.append(settings)
        await gateway.start()
        return gateway

    def change_settings(self, number=0, **changes):
        """Change a gateway's settings file."""
        changed = msgspec.structs.replace(self.settings[number], **changes)
        self.settings[number] = changed

    async def wait_ready(self, number=0):
        await wait_for(lambda: self.gateways[number].is_ready)

    async def call(self, path="/look/1", *, number=0, **rest):
        return await call(self.settings[number].listen, path, **rest)

    def status_of(self, service):
        found = self.store.find(kind=Kinds.ROLLOUTS, name=service)
        status = msgspec.json.decode(found.status)
        return status and status["state"]


async def wait_for(condition, seconds=8.0):
    """Wait until a condition holds; raise `TimeoutError` after `seconds`."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


class Caller:
    """One caller's connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(
        self,
        path,
        *,
        method="POST",
        body=b"ask",
        attempt="a1",
        key=KEY,
        timeout_ms=5_000,
        headers=(),
    ):
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {timeout_ms}",
            f"Content-Length: {len(body)}",
        ]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        lines += [f"{name}: {value}" for name, value in headers]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def read(self):
        """Return status, headers, body and whether the answer was complete.

        Interim answers before it are skipped.
        """
        head = INTERIM
        while head.startswith(INTERIM):
            head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split()[1])
        pairs = [line.split(": ", 1) for line in lines[1:] if line]
        headers = {name.lower(): value for name, value in pairs}
        if "content-length" in headers:
            body = await self.reader.readexactly(int(headers["content-length"]))
            return CallerResponse(status, headers, body, True)
        return CallerResponse(status, headers, *await self._read_chunks())

    async def _read_chunks(self):
        body = b""
        try:
            while size := int(await self.reader.readline(), 16):
                body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
        except (ValueError, asyncio.IncompleteReadError, ConnectionError):
            return body, False
        return body, True

    def close(self):
        self.writer.close()


class CallerResponse(msgspec.Struct, frozen=True):
    """The answer that a caller received; `is_whole` if it was complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


async def connect(address):
    host, port = address.rsplit(":", 1)
    return Caller(*await asyncio.open_connection(host, int(port)))


async def call(address, path, **rest):
    caller = await connect(address)
    try:
        caller.send(path, **rest)
        return await caller.read()
    finally:
        caller.close()


@contextlib.asynccontextmanager
async def make_world(*, configured=True):
    world = World()
    await world.store.start()
    if configured:
        world.configure()
    try:
        yield world
    finally:
        for gateway in world.gateways:
            await gateway.close()
        for engine in world.engines.values():
            await engine.stop()
        await world.store.stop()
