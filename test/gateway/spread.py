"""How what the store tells spreads between gateways, in virtual time.

The gateways' own parts run: news, followers, sharing.  The network, the store and
the clock are models, so that any link may be thin and any path cut at any moment.
"""

import asyncio
import collections
import contextlib
import random
import selectors

import msgspec

from eelgrassrack.gateway import storesync, storeviews
from eelgrassrack.gateway.daemon import Gateway
from eelgrassrack.gateway.endpoints import Endpoint
from eelgrassrack.gateway.settings import GatewaySettings
from eelgrassrack.gateway.storeobjects import (
    ListResult,
    Peer,
    StoreUnavailable,
    WatchResult,
)
from eelgrassrack.platform import headers
from eelgrassrack.platform.manifest import decode_manifest
from eelgrassrack.platform.store import Kinds
from eelgrassrack.store.http import Answer, NoAnswer

from .world import make_manifest

PORT = 7_000
CROSS_SECONDS = 0.0005
STORE_SECONDS = 0.004
LOST_DATAGRAMS = 0.01
# What waits longer than this before a link is dropped, if it is a datagram.
MOST_QUEUED_SECONDS = 0.3
BITS = 8
# What is under way of one answer; the rest isn't sent to one that has given up.
WINDOW_BYTES = 16_384


class JumpSelector(selectors.SelectSelector):
    """Lets the clock jump instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose time passes only while everybody waits."""

    def __init__(self):
        self._jumps = JumpSelector()
        super().__init__(self._jumps)

    def time(self):
        return self._jumps.now


def play(coroutine):
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


class Way:
    """One direction of an instance's link: one byte after the other."""

    def __init__(self, *, bits_per_second):
        self._bits_per_second = bits_per_second
        self._free_at = 0.0

    def send(self, size, now):
        """Queue so many bytes; return when the last has passed."""
        seconds = size * BITS / self._bits_per_second
        self._free_at = max(self._free_at, now) + seconds
        return self._free_at


class Link:
    """An instance's own link."""

    def __init__(self, *, bits_per_second):
        self.out = Way(bits_per_second=bits_per_second)
        self.into = Way(bits_per_second=bits_per_second)


async def wait_moving(node, work, stall):
    """Return what comes of work, or None after so many seconds without a byte."""
    task = asyncio.ensure_future(work)
    count = -1
    while count < node.count_windows(task) and not task.done():
        count = node.count_windows(task)
        await asyncio.wait({task}, timeout=stall)
    if task.done():
        return task.result()
    task.cancel()
    return None


class Store:
    """The platform's store: the newest objects of each kind."""

    def __init__(self):
        self.revision = 10
        self.newest = dict.fromkeys(
            (Kinds.CONFIGURATION, Kinds.ENDPOINTS, Kinds.ROLLOUTS, Kinds.EVACUATIONS),
            10,
        )
        self.objects = {kind: {} for kind in self.newest}
        self._changed = asyncio.Condition()

    async def put(self, kind, name, value):
        self.revision += 1
        self.newest[kind] = self.revision
        self.objects[kind][name] = value
        async with self._changed:
            self._changed.notify_all()

    async def wait_newer(self, kind, revision):
        async with self._changed:
            await self._changed.wait_for(lambda: self.newest[kind] > revision)


class StorePath:
    """One gateway's way to the store."""

    def __init__(self, *, node, store):
        self._node = node
        self._store = store

    def close(self):
        """Nothing is open."""

    async def list(self, *, kind, timeout, allow_stale=False):
        found = await wait_moving(self._node, self._list(kind), timeout)
        return found or StoreUnavailable(reason="silent")

    async def watch(self, *, kind, revision, wait, timeout):
        work = self._watch(kind, revision, wait)
        try:
            async with asyncio.timeout(timeout):
                return await work
        except TimeoutError:
            return StoreUnavailable(reason="silent")

    async def _list(self, kind):
        await self._cross()
        store = self._store
        found = ListResult(
            revision=store.revision,
            newest=store.newest[kind],
            objects=dict(store.objects[kind]),
        )
        await self._cross(self._node.measure(kind))
        return found

    async def _watch(self, kind, revision, wait):
        await self._cross()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                await self._store.wait_newer(kind, revision)
        store = self._store
        is_newer = store.newest[kind] > revision
        found = WatchResult(
            revision=store.revision,
            newest=store.newest[kind] if is_newer else 0,
            objects=dict(store.objects[kind]) if is_newer else {},
        )
        await self._cross(self._node.measure(kind) if is_newer else 0)
        return found

    async def _cross(self, size=0):
        """Pass a call or its answer; what meets a cut is lost."""
        await asyncio.sleep(STORE_SECONDS / 2)
        if self._node.is_cut_from_store:
            await asyncio.get_running_loop().create_future()
        if size:
            await self._node.receive(size)


class Line:
    """A gateway's socket for news."""

    def __init__(self, node):
        self._node = node

    def sendto(self, data, address):
        self._node.send_news(data, address[0])


class PeerCaller:
    """Asks one peer for what it knows, as over HTTP."""

    def __init__(self, node, peer):
        self._node = node
        self._peer = peer

    def close(self):
        """Nothing is open."""

    async def fetch(self, *, path, timeout, stall):
        work = self._node.ask(self._peer, path)
        found = await wait_moving(self._node, work, stall)
        return found or NoAnswer(reason="silent", sent=True)


class Node:
    """A gateway, its link and its cuts."""

    def __init__(self, *, world, number, domain, link, settings):
        self.number = number
        self.link = link
        self.is_cut = False
        self.is_cut_from_store = False
        self._world = world
        self._tasks = []
        self._windows = collections.Counter()
        self.gateway = Gateway(
            settings=GatewaySettings(
                name=f"entry-{domain}-{number}",
                domain=domain,
                listen=f"10.0.0.{number}:1",
                readiness=f"10.0.0.{number}:2",
                address=f"10.0.0.{number}",
                news_port=PORT,
                metrics_port=PORT,
                objects_url="",
                **settings,
            ),
            store=StorePath(node=self, store=world.store),
            kinds=Kinds,
            translation=headers,
            count_dropped=lambda: 0,
        )

    @property
    def name(self):
        return self.gateway._settings.name

    @property
    def address(self):
        return self.gateway._settings.address

    @property
    def version(self):
        return self.gateway.router.version

    def start(self, nodes):
        gateway = self.gateway
        news = gateway._news
        news.connection_made(Line(self))
        news.take_peers(
            {
                one.name: Peer(name=one.name, address=(one.address, PORT))
                for one in nodes
            }
        )
        gateway._view_fetcher._callers = {
            f"http://{one.address}:{PORT}": PeerCaller(self, one) for one in nodes
        }
        jobs = [news.run(), gateway._view_fetcher.run()]
        jobs += [follower.run() for follower in gateway._store_sync.followers]
        self._tasks = [asyncio.ensure_future(job) for job in jobs]

    def stop(self):
        for task in self._tasks:
            task.cancel()

    def measure(self, kind):
        """Return the bytes of an answer of the store."""
        return self._world.size if kind == Kinds.CONFIGURATION else 500

    def send_news(self, data, address):
        other = self._world.find(address)
        if other is None or self.is_cut or other.is_cut:
            return
        if self._world.dice.random() < LOST_DATAGRAMS:
            return
        loop = asyncio.get_running_loop()
        sent = self.link.out.send(len(data), loop.time())
        come = other.link.into.send(len(data), sent)
        if come > loop.time() + MOST_QUEUED_SECONDS:
            return
        loop.call_at(
            come + CROSS_SECONDS,
            other.gateway._news.datagram_received,
            data,
            self._from,
        )

    @property
    def _from(self):
        return (self.address, PORT)

    async def ask(self, peer, path):
        """Return a peer's answer, over both links; a cut leaves it out."""
        await asyncio.sleep(CROSS_SECONDS)
        if self.is_cut or peer.is_cut:
            await asyncio.get_running_loop().create_future()
        status, body = peer.gateway._answer_inside(path)
        size = len(body)
        beliefs = msgspec.msgpack.decode(body, type=storeviews.StoreView)
        if beliefs.plan is not None:
            size = max(size, self._world.size)
        await self.receive(size, peer)
        await asyncio.sleep(CROSS_SECONDS)
        return Answer(status=status, headers={}, body=body)

    def count_windows(self, task):
        """Return how many windows of an answer have come."""
        return self._windows[task]

    async def receive(self, size, peer=None):
        """Take in bytes of a peer or the store, a window after the other."""
        loop = asyncio.get_running_loop()
        for begin in range(0, size, WINDOW_BYTES):
            part = min(size - begin, WINDOW_BYTES)
            now = loop.time()
            come = peer.link.out.send(part, now) if peer else now
            come = self.link.into.send(part, come)
            await asyncio.sleep(come - loop.time())
            self._windows[asyncio.current_task()] += 1
            if self.is_cut or (peer and peer.is_cut):
                await loop.create_future()


class World:
    """Gateways in some failure domains, and the store.

    `size` is how many bytes a configuration takes on the wire.
    """

    def __init__(self, *, dice, count, domains, links, size, monkeypatch, **settings):
        self.dice = dice
        self.size = size
        self.store = Store()
        clock = type("Clock", (), {"time": lambda _: asyncio.get_running_loop().time()})
        monkeypatch.setattr(storesync, "time", clock())
        self.nodes = [
            Node(
                world=self,
                number=number,
                domain=f"domain-{number % domains}",
                link=Link(bits_per_second=dice.choice(links)),
                settings=settings,
            )
            for number in range(1, count + 1)
        ]
        self._by_address = {node.address: node for node in self.nodes}

    def find(self, address):
        return self._by_address.get(address)

    async def start(self):
        await self.configure(1)
        for number in range(6):
            await self.change_endpoint(number)
        for node in self.nodes:
            node.start(self.nodes)

    def stop(self):
        for node in self.nodes:
            node.stop()

    async def configure(self, version):
        plan = decode_manifest_of(version)
        await self.store.put(Kinds.CONFIGURATION, "main", plan)

    async def drain_endpoint(self, number):
        await self.change_endpoint(number, is_draining=True)

    async def change_endpoint(self, number, **changes):
        name = f"p{number}"
        endpoint = Endpoint(
            name=name,
            born=1,
            service="plain",
            address=("10.1.0.1", number + 1),
            domain="domain-0",
            version="v1",
            slots=self.dice.randint(4, 16),
            **changes,
        )
        await self.store.put(Kinds.ENDPOINTS, name, endpoint)

    def find_watchers(self):
        """Return the gateways that watch the store for all."""
        return [one for one in self.nodes if one.gateway._store_sync.is_watcher()]

    def list_behind(self, version):
        """Return the gateways that no path was cut of and that lack a version."""
        return [one for one in self._list_whole() if one.version < version]

    def list_sending_to(self, number):
        """Return the gateways that no path was cut of and that use an endpoint."""
        flights = [
            (one, one.gateway.fleet.find(f"p{number}")) for one in self._list_whole()
        ]
        return [one for one, flight in flights if not flight.endpoint.is_draining]

    def _list_whole(self):
        return [one for one in self.nodes if not (one.is_cut or one.is_cut_from_store)]


def decode_manifest_of(version):
    return decode_manifest(msgspec.json.encode(make_manifest(version=version)))


def make_dice(seed):
    return random.Random(f"spread {seed}")
