"""What is removed is known everywhere, though no watch reports it.

A list shows a removal only by what it lacks.  Gateways that fetch from the few that
read the store would go on with an object that is gone.
"""

import asyncio

import pytest

from eelgrassrack.gateway.store.storeobjects import RolloutOrder
from eelgrassrack.platform.store import Kinds

from .spread import World, make_rng, play

GATEWAYS = 14
# By then all gateways know each other, and the few that watch the store.
SETTLED_SECONDS = 24.0
# No gateway may use what was removed for longer.
IN_FORCE_SECONDS = 3.0
KINDS = 4


@pytest.fixture
def make(monkeypatch):
    """Return a function that makes a settled world from a seed."""

    async def make_world(seed):
        world = World(
            rng=make_rng(seed),
            count=GATEWAYS,
            domains=3,
            links=(10e6, 20e6),
            size=20_000,
            monkeypatch=monkeypatch,
            configuration_ms=IN_FORCE_SECONDS * 1_000,
            drain_ms=IN_FORCE_SECONDS * 1_000,
        )
        await world.start()
        await world.store.put(Kinds.EVACUATIONS, "domain-0", "domain-0")
        order = RolloutOrder(service="plain", version="v2", seconds=99.0)
        await world.store.put(Kinds.ROLLOUTS, "plain", order)
        await asyncio.sleep(SETTLED_SECONDS)
        return world

    return make_world


def list_names(node):
    """Return what a gateway knows of endpoints, failure domains and roll-outs."""
    gateway = node.gateway
    return {
        Kinds.ENDPOINTS: {state.endpoint.name for state in gateway.fleet},
        Kinds.EVACUATIONS: set(gateway.fleet.evacuated),
        Kinds.ROLLOUTS: {order.service for order in gateway.rollouts.orders},
    }


def list_using(world, kind, name):
    """Return the gateways that use an object and aren't cut off."""
    nodes = [node for node in world.nodes if not node.is_cut]
    return [node.name for node in nodes if name in list_names(node)[kind]]


REMOVED = [
    (Kinds.ENDPOINTS, "p3"),
    (Kinds.EVACUATIONS, "domain-0"),
    (Kinds.ROLLOUTS, "plain"),
]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("kind", "name"), REMOVED)
def test_a_removal_while_all_watchers_list_is_known_everywhere(make, kind, name, seed):
    """Guards against requests to an endpoint that is gone.

    The store dropped its history, so all watchers list, and something goes meanwhile.
    """

    async def main():
        world = await make(seed)
        for watcher in world.find_watchers():
            for follower in watcher.gateway._store_sync.followers:
                follower.relist()
        before = world.store.lists
        await world.store.put(kind, name, None)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert list_using(world, kind, name) == []
        await asyncio.sleep(SETTLED_SECONDS)
        # Telling peers of the removal makes no watcher list once more.
        assert world.store.lists - before == KINDS * len(world.find_watchers())
        world.stop()

    play(main())


@pytest.mark.parametrize("seed", range(3))
def test_a_removal_while_watchers_are_replaced_is_known_everywhere(make, seed):
    """Guards against requests to an endpoint that is gone.

    All watchers are cut off, and what goes then is seen by lists of others only.
    """

    async def main():
        world = await make(seed)
        for watcher in world.find_watchers():
            watcher.is_cut = watcher.is_cut_from_store = True
        await asyncio.sleep(0.5)
        await world.remove_endpoint(3)
        await asyncio.sleep(SETTLED_SECONDS)
        assert list_using(world, Kinds.ENDPOINTS, "p3") == []
        world.stop()

    play(main())


@pytest.mark.parametrize("seed", range(3))
def test_what_came_and_went_while_one_watcher_saw_it_is_known_everywhere(make, seed):
    """Guards against requests to an endpoint that most watchers never heard of.

    Only one watcher reaches the store as the endpoint comes.  It tells others, and is
    cut off before the endpoint goes.
    """

    async def main():
        world = await make(seed)
        first, *rest = world.find_watchers()
        for watcher in rest:
            watcher.is_cut_from_store = True
        await asyncio.sleep(0.1)
        await world.change_endpoint(25)
        await asyncio.sleep(0.4)
        assert len(list_using(world, Kinds.ENDPOINTS, "p25")) > 1
        first.is_cut = first.is_cut_from_store = True
        await world.remove_endpoint(25)
        for watcher in rest:
            watcher.is_cut_from_store = False
        await asyncio.sleep(SETTLED_SECONDS)
        assert list_using(world, Kinds.ENDPOINTS, "p25") == []
        world.stop()

    play(main())
