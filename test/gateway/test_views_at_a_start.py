"""A gateway that starts reads the store and asks a peer for its view at once."""

import asyncio

import pytest

from eelgrassrack.gateway.store.storeobjects import RolloutOrder
from eelgrassrack.gateway.store.storeviews import KnownRevisions
from eelgrassrack.platform.store import Kinds

from .spread import World, make_rng, play

# By then all gateways know each other.
SETTLED_SECONDS = 5.0

ORDER = RolloutOrder(service="plain", version="v2", seconds=99.0)
CHANGES = [
    (Kinds.EVACUATIONS, "domain-0", "domain-0"),
    (Kinds.ROLLOUTS, "plain", ORDER),
]


def list_names(gateway):
    """Return the failure domains out of service and the services rolled out."""
    return {
        Kinds.EVACUATIONS: set(gateway.fleet.evacuated),
        Kinds.ROLLOUTS: {order.service for order in gateway.rollouts.orders},
    }


@pytest.mark.parametrize("is_removed", [False, True])
@pytest.mark.parametrize(("kind", "name", "value"), CHANGES)
def test_an_older_view_of_a_peer_undoes_nothing_read(
    monkeypatch, kind, name, value, is_removed
):
    """Guards against a failure domain that gets requests though it is out of service.

    The peer sent its view before the change, over a slow link, and this gateway has
    read the change but not yet the long list of endpoints.  Its watch goes on from
    what it has read, and doesn't report the change again.
    """

    async def main():
        world = World(
            rng=make_rng(1),
            count=2,
            domains=1,
            links=(10e6,),
            size=20_000,
            monkeypatch=monkeypatch,
        )
        await world.configure(1)
        await world.change_endpoint(1)
        if is_removed:
            await world.store.put(kind, name, value)
        peer, starting = world.nodes
        peer.start([peer])
        await asyncio.sleep(SETTLED_SECONDS)
        view = peer.gateway._store_sync.describe(KnownRevisions())
        await world.store.put(kind, name, None if is_removed else value)
        sync = starting.gateway._store_sync
        (follower,) = (one for one in sync.followers if one.kind == kind)
        following = asyncio.ensure_future(follower.run())
        await asyncio.sleep(SETTLED_SECONDS)
        assert not starting.gateway.fleet.is_loaded
        assert (name in list_names(starting.gateway)[kind]) is not is_removed
        sync.apply_peer_view(view, peer.name)
        assert starting.gateway.fleet.is_loaded
        assert (name in list_names(starting.gateway)[kind]) is not is_removed
        following.cancel()
        peer.stop()

    play(main())
