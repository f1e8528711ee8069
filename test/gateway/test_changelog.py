"""Changes of endpoints reach gateways as changes, not as the whole list each time."""

import asyncio

import msgspec
import pytest

from eelgrassrack.gateway.store.changelog import MAX_CHANGES, ChangeLog
from eelgrassrack.gateway.store.storeviews import KnownRevisions, StoreView, make_path
from eelgrassrack.platform.store import Kinds

from .spread import World, make_rng, play

DOMAINS = 3
# By then all gateways know each other, and the few that watch the store.
SETTLED_SECONDS = 24.0
# Gateways that the store's few watchers serve, and the endpoints that they know.
MANY_GATEWAYS = 60
ENDPOINTS = 200
# No gateway may send work to a draining endpoint for longer.
DRAIN_SECONDS = 3.0
CHANGES_PER_SECOND = 5.0
PLAY_SECONDS = 20.0


@pytest.fixture
def make(monkeypatch):
    """Return a function that makes a world from a seed."""

    def make_world(*, seed, count, links=(10e6, 20e6)):
        return World(
            rng=make_rng(seed),
            count=count,
            domains=DOMAINS,
            links=links,
            size=20_000,
            monkeypatch=monkeypatch,
            configuration_ms=DRAIN_SECONDS * 1_000,
            drain_ms=DRAIN_SECONDS * 1_000,
        )

    return make_world


def list_endpoints(node):
    """Return a gateway's endpoints, without those that are only kept in doubt."""
    return {one.name: one for one in node.gateway._store_sync._list_endpoints()}


async def disturb(world, until):
    """Change, remove and cut at random until a time; undo all cuts then."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        await asyncio.sleep(world.rng.expovariate(CHANGES_PER_SECOND))
        number = world.rng.randrange(30)
        watcher = world.rng.choice(world.find_watchers() or world.nodes)
        match world.rng.randrange(8):
            case 0 | 1:
                await world.remove_endpoint(number)
            case 2:
                watcher.is_cut_from_store = not watcher.is_cut_from_store
            case 3:
                for follower in watcher.gateway._store_sync.followers:
                    follower.relist()
            case _:
                await world.change_endpoint(number)
    for node in world.nodes:
        node.is_cut_from_store = False


@pytest.mark.parametrize("seed", range(40, 52))
def test_all_gateways_end_with_the_store_s_endpoints(make, seed):
    """Guards against an endpoint that some gateway never learns of, or never drops.

    Watchers lose the store, come back and list again while endpoints change and go.
    """

    async def main():
        world = make(seed=seed, count=14)
        await world.start()
        await asyncio.sleep(SETTLED_SECONDS)
        await disturb(world, asyncio.get_running_loop().time() + PLAY_SECONDS)
        # A change after the last cut is what tells gateways that they are behind.
        await asyncio.sleep(SETTLED_SECONDS)
        await world.change_endpoint(1)
        await asyncio.sleep(SETTLED_SECONDS)
        wanted = world.store.objects[Kinds.ENDPOINTS]
        assert {node.name: list_endpoints(node) for node in world.nodes} == {
            node.name: wanted for node in world.nodes
        }
        world.stop()

    play(main())


def test_one_change_among_many_endpoints_costs_gateways_few_bytes(make, monkeypatch):
    """Guards against links of watchers that are full whenever an endpoint changes.

    With the whole list in each answer, hundreds of gateways fetch hundreds of endpoints
    from the four that watch the store.
    """

    async def main():
        world = make(seed=7, count=MANY_GATEWAYS)
        for number in range(ENDPOINTS):
            await world.change_endpoint(number)
        await world.start()
        await asyncio.sleep(SETTLED_SECONDS)
        # The first change after a list still makes gateways fetch all endpoints.
        await world.change_endpoint(1)
        await asyncio.sleep(SETTLED_SECONDS)
        sizes = []
        for node in world.nodes:
            count_bytes = node.gateway._view_fetcher._count_bytes
            monkeypatch.setattr(
                node.gateway._view_fetcher,
                "_count_bytes",
                lambda name, size, count=count_bytes: (
                    sizes.append(size),
                    count(name, size),
                ),
            )
        await world.drain_endpoint(2)
        await asyncio.sleep(DRAIN_SECONDS)
        assert not world.list_sending_to(2)
        assert len(sizes) >= MANY_GATEWAYS - len(world.find_watchers())
        assert max(sizes) < 1_000
        world.stop()

    play(main())


def test_a_view_older_than_what_a_gateway_read_itself_changes_nothing(make):
    """Guards against an endpoint that drains, and gets work again for good.

    A watcher loses the store and is given the view of a peer that is behind.  Its next
    watch goes on from what it has read, and doesn't report the change again.
    """

    async def main():
        world = make(seed=5, count=14)
        await world.start()
        await asyncio.sleep(SETTLED_SECONDS)
        watcher, peer, *_ = world.find_watchers()
        older = peer.gateway._store_sync.describe(KnownRevisions())
        await world.drain_endpoint(2)
        await asyncio.sleep(1.0)
        assert watcher.gateway.fleet.find("p2").endpoint.is_draining
        born_later = msgspec.structs.replace(
            watcher.gateway.fleet.find("p2").endpoint, slots=99
        )
        await world.store.put(Kinds.ENDPOINTS, "p2", born_later)
        await asyncio.sleep(1.0)
        watcher.gateway._contact.note_lost(
            now=asyncio.get_running_loop().time(), kind="servers", reason="cut"
        )
        watcher.gateway._store_sync.apply_peer_view(older, peer.name)
        assert watcher.gateway.fleet.find("p2").endpoint.slots == 99
        world.stop()

    play(main())


def test_a_peer_of_an_earlier_build_gets_the_whole_list(make):
    """Guards against endpoints that such a peer would drop as missing."""

    async def main():
        world = make(seed=3, count=3)
        await world.start()
        await asyncio.sleep(SETTLED_SECONDS)
        await world.change_endpoint(1)
        await asyncio.sleep(1.0)
        sync = world.nodes[0].gateway._store_sync
        known = KnownRevisions(configuration=1, revisions=(10, sync.revisions[1] - 1))
        _, body = world.nodes[0].gateway._answer_internal(make_path(known))
        view = msgspec.msgpack.decode(body, type=StoreView)
        assert len(view.endpoints) == len(sync._list_endpoints()) > 1
        assert view.gone is None
        world.stop()

    play(main())


def test_changes_before_the_first_list_aren_t_known():
    log = ChangeLog()
    assert log.list_since(0) is None
    log.note({"a"}, revision=10)
    assert log.list_since(9) is None
    assert log.list_since(10) == set()
    log.note({"b"}, revision=12)
    assert log.list_since(10) == {"b"}
    assert log.list_since(12) == set()


def test_changes_that_were_dropped_aren_t_known():
    log = ChangeLog()
    log.note((), revision=1)
    for number in range(MAX_CHANGES + 5):
        log.note({f"e{number}"}, revision=2 + number)
    assert log.list_since(1) is None
    assert len(log.list_since(6)) == MAX_CHANGES


def test_a_list_hides_what_came_and_went_before_it():
    """Guards against an endpoint that lapsed, came back, and is missing elsewhere.

    A peer learned of the lapse from another gateway.  The one that lists has seen
    the endpoint before and after, and nothing in between.
    """
    log = ChangeLog()
    log.restart(10)
    log.note({"a"}, revision=11)
    log.restart(14)
    assert log.list_since(12) is None
    assert log.list_since(14) == set()


def test_a_cleared_log_is_complete_from_the_next_change_on():
    log = ChangeLog()
    log.note((), revision=1)
    log.note({"a"}, revision=2)
    log.clear()
    assert log.list_since(1) is None
    log.note({"b"}, revision=5)
    assert log.list_since(4) is None
    assert log.list_since(5) == set()
