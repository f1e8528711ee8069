"""Endpoints that say in their answers that they leave."""

import asyncio

import pytest

from eelgrassrack.platform.store import Kinds
from eelgrassrack.standins.directengine import Events, Refuse, Reply
from eelgrassrack.standins.metadatastore import Fault

from .test_rollouts import order
from .world import ANY_MODEL_HEADERS, make_world, run, wait_for

CALLS = 12


async def ask_often(world, **rest):
    """Ask one request after the other; return their statuses."""
    return {
        (await world.call(attempt=f"b{number}", **rest)).status
        for number in range(CALLS)
    }


@pytest.mark.parametrize(
    "answer", [Reply(), Reply(status=500), Refuse(), Events(count=2)]
)
def test_an_endpoint_that_says_it_leaves_gets_no_more_requests(answer):
    """Guards against requests to an endpoint that is about to exit.

    It says so in its answers, whatever these are, and its entry says nothing.
    """

    async def main():
        async with make_world() as world:
            leaving = await world.add_engine("e1", answer, slots=100)
            leaving.is_leaving = True
            await world.add_engine("e2", slots=1)
            await world.start_gateway()
            await world.wait_ready()
            await world.call()
            assert len(leaving.arrived_at) == 1
            assert await ask_often(world) == {200}
            assert len(leaving.arrived_at) == 1

    run(main())


def test_that_an_endpoint_leaves_isnt_forgotten():
    """Guards against an endpoint that is used again after it said that it leaves.

    Its entry lapses and comes back as ready, and the store goes away.
    """

    async def main():
        async with make_world() as world:
            leaving = await world.add_engine("e1", slots=100)
            leaving.is_leaving = True
            await world.add_engine("e2", slots=1)
            gateway = await world.start_gateway()
            await world.wait_ready()
            await world.call()
            world.store.remove(kind=Kinds.ENDPOINTS, name="e1")
            await wait_for(lambda: gateway.fleet.find("e1") is None)
            world.list_engine("e1", slots=100)
            await wait_for(lambda: gateway.fleet.find("e1"))
            world.store.fault = Fault.SILENT
            assert await ask_often(world) == {200}
            assert len(leaving.arrived_at) == 1

    run(main())


def test_an_endpoint_that_starts_again_is_used_again():
    """Guards against an endpoint that is lost for good after a restart."""

    async def main():
        async with make_world() as world:
            engine = await world.add_engine("e1")
            engine.is_leaving = True
            gateway = await world.start_gateway()
            await world.wait_ready()
            await world.call()
            assert (await world.call()).status == 503
            engine.is_leaving = False
            world.list_engine("e1", born=2_000)
            await wait_for(lambda: gateway.fleet.find("e1").endpoint.born == 2_000)
            assert (await world.call()).status == 200

    run(main())


def test_a_stream_of_an_endpoint_that_leaves_goes_on():
    """Guards against streams that are cut because their endpoint leaves."""

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            leaving = await world.add_engine(
                "e1", Events(count=6, gap=0.05), slots=100, **rest
            )
            leaving.is_leaving = True
            other = await world.add_engine("e2", Events(count=6), slots=1, **rest)
            await world.start_gateway()
            await world.wait_ready()
            got = await world.call("/chat/1")
            assert got.is_whole
            assert len(leaving.runs) == 1
            assert not other.runs

    run(main())


def test_a_retry_doesnt_go_to_an_endpoint_that_left_meanwhile():
    """Guards against a second attempt at an endpoint that said that it leaves.

    A request waits for its first endpoint, while another answers that it leaves.
    """

    async def main():
        async with make_world() as world:
            slow = await world.add_engine("e1", Refuse(delay=0.5), slots=100)
            await world.start_gateway()
            await world.wait_ready()
            waiting = asyncio.ensure_future(world.call("/issue/1", attempt="a1"))
            await wait_for(lambda: slow.arrived_at)
            leaving = await world.add_engine("e2", slots=100)
            leaving.is_leaving = True
            await asyncio.sleep(0.1)
            await wait_for(lambda: world.gateways[0].fleet.find("e2"))
            await world.call("/issue/2", attempt="a2")
            assert len(leaving.arrived_at) == 1
            assert (await waiting).status == 503
            assert len(leaving.arrived_at) == 1

    run(main())


def test_an_answer_of_another_endpoint_says_nothing_of_the_one_that_was_meant():
    """Guards against a sound endpoint that is given up for another's leaving.

    Its address belongs to an endpoint that leaves, until its entry is written anew.
    """

    async def main():
        async with make_world() as world:
            engine = await world.add_engine("e1")
            stranger = await world.add_engine("e2", service="other")
            stranger.is_leaving = True
            sound = engine.address
            engine.address = stranger.address
            world.list_engine("e1")
            gateway = await world.start_gateway()
            await world.wait_ready()
            await world.call()
            assert not engine.runs
            await world.engines.pop("e2").stop()
            engine.address = sound
            world.list_engine("e1")
            address = tuple(sound.split(":"))
            await wait_for(
                lambda: gateway.fleet.find("e1").endpoint.address[1] == int(address[1])
            )
            await asyncio.sleep(0.4)
            assert (await world.call()).status == 200

    run(main())


def test_if_a_whole_version_leaves_the_other_one_is_used():
    """Guards against callers that are refused although another version is ready.

    After a roll-out the only endpoint of the new version says that it leaves.
    """

    async def main():
        async with make_world() as world:
            await world.add_engine("old0")
            new = await world.add_engine("new0", version="v2")
            await world.start_gateway()
            await world.wait_ready()
            order(world, seconds=1.0)
            await wait_for(lambda: world.status_of("plain") == "done")
            new.is_leaving = True
            assert await ask_often(world) == {200}

    run(main())


def test_an_endpoint_that_was_draining_isnt_used_when_its_entry_comes_back():
    """Guards against work for an endpoint that drains.

    Its entry lapses and comes back as ready.
    """

    async def main():
        async with make_world() as world:
            draining = await world.add_engine("e1", slots=100)
            await world.add_engine("e2", slots=1)
            gateway = await world.start_gateway()
            await world.wait_ready()
            world.list_engine("e1", slots=100, state="draining")
            await wait_for(lambda: gateway.fleet.find("e1").endpoint.is_draining)
            world.store.remove(kind=Kinds.ENDPOINTS, name="e1")
            await wait_for(lambda: gateway.fleet.find("e1") is None)
            world.list_engine("e1", slots=100)
            await wait_for(lambda: gateway.fleet.find("e1"))
            assert await ask_often(world) == {200}
            assert not draining.arrived_at

    run(main())


def test_an_unsure_answer_of_an_endpoint_that_leaves_isnt_dropped_for_nothing():
    """Guards against an answer that is dropped although no other one can come.

    A model is unsure, its endpoint leaves, and the other one has refused.
    """

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            sure = Events(count=2, confidence=100)
            await world.add_engine("e1", Refuse(), sure, slots=100, **rest)
            unsure = Events(count=2, confidence=5)
            leaving = await world.add_engine("e2", unsure, slots=1, **rest)
            leaving.is_leaving = True
            await world.start_gateway()
            await world.wait_ready()
            await asyncio.sleep(0.3)
            got = await world.call("/chat/1", headers=ANY_MODEL_HEADERS)
            assert got.status == 200
            assert got.is_whole

    run(main())
