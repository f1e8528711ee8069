"""What a gateway does for each update that a peer sends."""

import asyncio

import msgspec
import pytest

from eelgrassrack.gateway.peers.updatemessages import Audience
from eelgrassrack.gateway.store import watchroles

from .spread import World, make_rng, play

GATEWAYS = 60
SECONDS = 10.0


def make(monkeypatch, *, seed, count):
    """Return a world of gateways with equal links."""
    return World(
        rng=make_rng(seed),
        count=count,
        domains=3,
        links=(20e6,),
        size=20_000,
        monkeypatch=monkeypatch,
    )


def test_updates_of_peers_don_t_each_rank_all_gateways(monkeypatch):
    """Guards against processor time that grows with the square of the gateways.

    A hundred updates a second arrive, however many gateways there are.
    """

    async def main():
        world = make(monkeypatch, seed=1, count=GATEWAYS)
        await world.start()
        await asyncio.sleep(SECONDS)
        ranked = []
        rank = watchroles.find_watch_role
        monkeypatch.setattr(
            watchroles,
            "find_watch_role",
            lambda **known: ranked.append(known["name"]) or rank(**known),
        )
        await asyncio.sleep(SECONDS)
        per_second = len(ranked) / GATEWAYS / SECONDS
        assert per_second <= 1.0 / watchroles.ROLE_SECONDS
        world.stop()

    play(main())


@pytest.mark.parametrize(
    ("field", "value"), [("configuration", 2), ("revisions", (10, 99, 10, 10))]
)
def test_a_peer_s_news_wakes_the_fetcher_at_once(monkeypatch, field, value):
    """Guards against a change that waits for the next poll."""

    async def main():
        world = make(monkeypatch, seed=2, count=12)
        await world.start()
        await asyncio.sleep(SECONDS)
        watchers = world.find_watchers()
        other = next(node for node in world.nodes if node not in watchers)
        update = watchers[0].gateway._update_exchange._make_update(
            name="a", lifetime="b", port=7, number=1, audience=Audience.NEAR
        )
        sync = other.gateway._store_sync
        assert not sync.is_news(update)
        assert sync.is_news(msgspec.structs.replace(update, **{field: value}))
        world.stop()

    play(main())
