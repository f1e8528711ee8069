"""A simulation of how the store's changes spread between gateways, in virtual time.

The gateways run their real peer updates, followers and store view fetchers.  The
network, the store and the clock are models, so that a test can make any link slow
and cut any path at any moment.
"""

import asyncio
import collections
import contextlib
import random
import selectors

import msgspec

from eelgrassrack.gateway.daemon import Gateway
from eelgrassrack.gateway.endpoints.endpoint import Endpoint
from eelgrassrack.gateway.settings import GatewaySettings
from eelgrassrack.gateway.store import storesync, storeviews
from eelgrassrack.gateway.store.storeobjects import (
    ListResult,
    Peer,
    StoreUnavailable,
    WatchOverdue,
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
# A datagram that would queue longer than this at a link is dropped.
MOST_QUEUED_SECONDS = 0.3
BITS = 8
# What is left of a configuration's bytes when a gateway sends it compressed.
COMPRESSED_SHARE = 0.15
# Bytes in flight of one answer; the rest isn't sent once the receiver has given up.
WINDOW_BYTES = 16_384


class JumpSelector(selectors.SelectSelector):
    """Advances the virtual clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while every task waits."""

    def __init__(self):
        self._jumps = JumpSelector()
        super().__init__(self._jumps)

    def time(self):
        return self._jumps.now


def play(coroutine):
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


class LinkDirection:
    """One direction of an instance's link, which sends at a fixed rate."""

    def __init__(self, *, bits_per_second):
        self._bits_per_second = bits_per_second
        self._free_at = 0.0

    def send(self, size, now):
        """Queue `size` bytes; return the time at which the last one has passed."""
        seconds = size * BITS / self._bits_per_second
        self._free_at = max(self._free_at, now) + seconds
        return self._free_at


class Link:
    """An instance's link to the network, in both directions."""

    def __init__(self, *, bits_per_second):
        self.mbps = bits_per_second / 1e6
        self.out = LinkDirection(bits_per_second=bits_per_second)
        self.into = LinkDirection(bits_per_second=bits_per_second)


async def wait_while_receiving(node, work, stall, first=None):
    """Return the result of `work`, None after `stall` seconds without a byte.

    The first byte may take `first` seconds instead.
    """
    task = asyncio.ensure_future(work)
    count = -1
    while count < node.count_windows(task) and not task.done():
        count = node.count_windows(task)
        await asyncio.wait({task}, timeout=stall if count else first or stall)
    if task.done():
        return task.result()
    task.cancel()
    return None


class Store:
    """A model of the platform's store, with the newest objects of each kind.

    `lists` counts the lists that it was asked for.
    """

    def __init__(self):
        self.revision = 10
        self.lists = 0
        self.newest = dict.fromkeys(
            (Kinds.CONFIGURATION, Kinds.ENDPOINTS, Kinds.ROLLOUTS, Kinds.EVACUATIONS),
            10,
        )
        self.objects = {kind: {} for kind in self.newest}
        self.revisions = {kind: {} for kind in self.newest}
        self._changed = asyncio.Condition()

    async def put(self, kind, name, value):
        """Write an object, or remove it if the value is None."""
        self.revision += 1
        self.newest[kind] = self.revision
        self.revisions[kind][name] = self.revision
        self.objects[kind][name] = value
        if value is None:
            del self.objects[kind][name]
        async with self._changed:
            self._changed.notify_all()

    def find_newest(self, kind):
        """Return the last revision of the objects of a kind that exist."""
        revisions = self.revisions[kind]
        return max((revisions[name] for name in self.objects[kind]), default=0)

    def list_changes(self, kind, revision):
        """Return what changed after a revision, None for a removed object."""
        return {
            name: self.objects[kind].get(name)
            for name, at in self.revisions[kind].items()
            if at > revision
        }

    async def wait_newer(self, kind, revision):
        async with self._changed:
            await self._changed.wait_for(lambda: self.newest[kind] > revision)


class StorePath:
    """One gateway's calls to the store over the modelled network."""

    def __init__(self, *, node, store):
        self._node = node
        self._store = store
        self._arriving = {}

    def close(self):
        """Nothing is open."""

    def is_receiving(self, kind):
        """Return whether part of an answer with objects of a kind has arrived."""
        task = self._arriving.get(kind)
        return task is not None and not task.done() and self._node.count_windows(task)

    async def list(self, *, kind, timeout, allow_stale=False):
        work = self._arriving[kind] = asyncio.ensure_future(self._list(kind))
        found = await wait_while_receiving(self._node, work, timeout)
        return found or StoreUnavailable(reason="silent")

    async def watch(self, *, kind, revision, wait, slack, stall):
        work = asyncio.ensure_future(self._watch(kind, revision, wait))
        self._arriving[kind] = work
        found = await wait_while_receiving(self._node, work, stall, wait + slack)
        return found or WatchOverdue()

    async def _list(self, kind):
        await self._cross()
        store = self._store
        store.lists += 1
        found = ListResult(
            revision=store.revision,
            newest=store.find_newest(kind),
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
            objects=store.list_changes(kind, revision),
        )
        await self._cross(self._node.measure(kind) if is_newer else 0)
        return found

    async def _cross(self, size=0):
        """Carry a call or its answer over the network; a cut path loses it."""
        await asyncio.sleep(STORE_SECONDS / 2)
        if self._node.is_cut_from_store:
            await asyncio.get_running_loop().create_future()
        if size:
            await self._node.receive(size)


class UpdateSocket:
    """A gateway's socket for peer updates."""

    def __init__(self, node):
        self._node = node

    def sendto(self, data, address):
        self._node.send_update(data, address[0])


class PeerCaller:
    """Fetches store views from one peer, in place of an HTTP client."""

    def __init__(self, node, peer):
        self._node = node
        self._peer = peer

    def close(self):
        """Nothing is open."""

    async def fetch(self, *, path, timeout, stall):
        work = self._node.ask(self._peer, path)
        found = await wait_while_receiving(self._node, work, stall)
        return found or NoAnswer(reason="silent", sent=True)


class Node:
    """A gateway, its link, and which of its paths are cut."""

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
                link_mbps=link.mbps,
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
        exchange = gateway._update_exchange
        exchange.connection_made(UpdateSocket(self))
        exchange.add_peers(
            {
                node.name: Peer(name=node.name, address=(node.address, PORT))
                for node in nodes
            }
        )
        gateway._view_fetcher._callers = {
            f"http://{node.address}:{PORT}": PeerCaller(self, node) for node in nodes
        }
        jobs = [exchange.run(), gateway._view_fetcher.run()]
        jobs += [follower.run() for follower in gateway._store_sync.followers]
        self._tasks = [asyncio.ensure_future(job) for job in jobs]

    def stop(self):
        for task in self._tasks:
            task.cancel()

    def measure(self, kind):
        """Return the size in bytes of the store's answer for a kind."""
        return self._world.size if kind == Kinds.CONFIGURATION else 500

    def send_update(self, data, address):
        other = self._world.find(address)
        if other is None or self.is_cut or other.is_cut:
            return
        if self._world.rng.random() < LOST_DATAGRAMS:
            return
        loop = asyncio.get_running_loop()
        sent = self.link.out.send(len(data), loop.time())
        come = other.link.into.send(len(data), sent)
        if come > loop.time() + MOST_QUEUED_SECONDS:
            return
        loop.call_at(
            come + CROSS_SECONDS,
            other.gateway._update_exchange.datagram_received,
            data,
            self._from,
        )

    @property
    def _from(self):
        return (self.address, PORT)

    async def ask(self, peer, path):
        """Return a peer's answer, carried over both links; a cut path loses it."""
        await asyncio.sleep(CROSS_SECONDS)
        if self.is_cut or peer.is_cut:
            await asyncio.get_running_loop().create_future()
        status, body = peer.gateway._answer_internal(path)
        size = len(body)
        view = msgspec.msgpack.decode(body, type=storeviews.StoreView)
        if view.plan is not None:
            size = max(size, int(self._world.size * COMPRESSED_SHARE))
        await self.receive(size, peer)
        await asyncio.sleep(CROSS_SECONDS)
        return Answer(status=status, headers={}, body=body)

    def count_windows(self, task):
        """Return how many windows of an answer have arrived."""
        return self._windows[task]

    async def receive(self, size, peer=None):
        """Receive `size` bytes from a peer or the store, window by window."""
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
    """Gateways spread over failure domains, and the store.

    `links` are the bits per second to choose from for each gateway, and `size` is
    the bytes that a configuration takes on the wire.
    """

    def __init__(self, *, rng, count, domains, links, size, monkeypatch, **settings):
        self.rng = rng
        self.size = size
        self.store = Store()
        clock = type("Clock", (), {"time": lambda _: asyncio.get_running_loop().time()})
        monkeypatch.setattr(storesync, "time", clock())
        self.nodes = [
            Node(
                world=self,
                number=number,
                domain=f"domain-{number % domains}",
                link=Link(bits_per_second=rng.choice(links)),
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

    async def remove_endpoint(self, number):
        await self.store.put(Kinds.ENDPOINTS, f"p{number}", None)

    async def change_endpoint(self, number, **changes):
        name = f"p{number}"
        endpoint = Endpoint(
            name=name,
            born=1,
            service="plain",
            address=("10.1.0.1", number + 1),
            domain="domain-0",
            version="v1",
            slots=self.rng.randint(4, 16),
            **changes,
        )
        await self.store.put(Kinds.ENDPOINTS, name, endpoint)

    def find_watchers(self):
        """Return the gateways that watch the store."""
        return [node for node in self.nodes if node.gateway._store_sync.is_watcher()]

    def list_behind(self, version):
        """Return the fully connected gateways that lack a configuration version."""
        return [node for node in self._list_connected() if node.version < version]

    def list_sending_to(self, number):
        """Return the fully connected gateways that use an endpoint."""
        states = [
            (node, node.gateway.fleet.find(f"p{number}"))
            for node in self._list_connected()
        ]
        return [node for node, state in states if not state.endpoint.is_draining]

    def _list_connected(self):
        return [
            node for node in self.nodes if not (node.is_cut or node.is_cut_from_store)
        ]


def decode_manifest_of(version):
    return decode_manifest(msgspec.json.encode(make_manifest(version=version)))


def make_rng(seed):
    return random.Random(f"spread {seed}")
