"""Tests of changes that arrive and can't be applied, or break off."""

import asyncio

import pytest

from eelgrassrack.gateway.endpoints.endpoint import Endpoint
from eelgrassrack.gateway.endpoints.fleet import Fleet
from eelgrassrack.gateway.store.follower import Follower
from eelgrassrack.gateway.store.storecontact import StoreContact
from eelgrassrack.gateway.store.storeobjects import (
    ListResult,
    StoreUnavailable,
    WatchResult,
)
from eelgrassrack.gateway.store.storeviews import (
    StoreView,
    decode_view,
    encode_view,
)
from eelgrassrack.platform.store import Kinds

from .virtualtime import run_in_virtual_time
from .world import make_world, wait_for

EMPTY_LIST = ListResult(revision=1, newest=0, objects={})
CHANGED_LIST = ListResult(revision=2, newest=2, objects={"models": 1})
CHANGE = WatchResult(revision=2, newest=2, objects={"models": 1})
LOST = StoreUnavailable(reason="cut")
DELAY_SECONDS = 0.5


class ScriptedStore:
    """Answers each call with the next of some results, all of them late."""

    def __init__(self, *results):
        self.results = list(results)
        self.calls = []

    async def list(self, **_):
        return await self._answer("list")

    async def watch(self, **_):
        return await self._answer("watch")

    async def _answer(self, call):
        self.calls.append(call)
        if not self.results:
            await asyncio.sleep(100.0)
        await asyncio.sleep(DELAY_SECONDS)
        return self.results.pop(0)

    def is_receiving(self, kind):
        return self.calls[-1:] == ["watch"]


def make_follower(store, apply):
    return Follower(
        store=store,
        kind=Kinds.EVACUATIONS,
        contact=StoreContact(),
        replace_all=apply,
        apply_changes=apply,
        find_wait=lambda: 1.0,
        is_active=lambda: True,
        is_standby=lambda: False,
    )


@pytest.mark.parametrize("results", ((CHANGED_LIST,), (EMPTY_LIST, CHANGE)))
def test_a_change_that_cant_be_applied_isnt_reported_to_peers(results):
    """Guards against peers that never fetch a change as they were told of it."""

    async def main():
        store = ScriptedStore(*results, CHANGED_LIST)
        reported = []
        applied = []

        def apply(objects):
            if objects and not reported:
                asyncio.get_running_loop().call_soon(note)
                raise RuntimeError("unexpected")
            applied.append(objects)

        def note():
            reported.append((follower.event_revision, follower.complete_revision))

        follower = make_follower(store, apply)
        following = asyncio.ensure_future(follower.run())
        await wait_for(lambda: {"models": 1} in applied)
        known = 1 if len(results) > 1 else 0
        assert reported == [(known, known)]
        assert (follower.event_revision, follower.complete_revision) == (2, 2)
        following.cancel()

    run_in_virtual_time(main())


def test_a_watch_that_breaks_off_after_another_missed_changes_is_listed():
    """Guards against a change that a store without its history never reports."""

    async def main():
        store = ScriptedStore(EMPTY_LIST, LOST)
        follower = make_follower(store, lambda objects: None)
        following = asyncio.ensure_future(follower.run())
        await wait_for(lambda: store.calls == ["list", "watch"])
        follower.relist()
        await wait_for(lambda: len(store.calls) > 2)
        assert store.calls == ["list", "watch", "list"]
        following.cancel()

    run_in_virtual_time(main())


def test_a_peer_s_view_that_cant_be_applied_is_fetched_again(monkeypatch):
    """Guards against an endpoint that a gateway never learns of."""
    failures = []

    def fail(*_, **__):
        failures.append(True)
        raise RuntimeError("unexpected")

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            await world.start_gateway(number=1)
            away = await world.start_gateway(number=2, objects_url="http://127.0.0.9:9")
            await wait_for(lambda: away.is_ready)
            await asyncio.sleep(1.0)
            monkeypatch.setattr(Fleet, "replace_from_peer", fail)
            monkeypatch.setattr(Fleet, "apply_changes_of_peer", fail)
            await world.add_engine("e2")
            await wait_for(lambda: failures)
            monkeypatch.undo()
            await wait_for(lambda: away.fleet.find("e2"))

    run_in_virtual_time(main())


def test_a_changed_endpoint_whose_address_cant_be_used_is_gone():
    """Guards against requests to the address that an endpoint had before."""
    odd = Endpoint(
        name="e1",
        born=1,
        service="plain",
        address=("999.0.0.1", 80),
        domain="north",
        version="v1",
        slots=1,
        is_draining=False,
        cold=0.0,
    )
    sent = StoreView(
        plan=None,
        endpoints=(odd,),
        evacuated=None,
        orders=None,
        knows_store=True,
        revisions=(1, 2, 1, 1),
        gone=("e2",),
    )
    view = decode_view(encode_view(sent))
    assert view.endpoints == ()
    assert set(view.gone) == {"e1", "e2"}
