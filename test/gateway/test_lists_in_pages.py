"""Gateways that read long lists of endpoints in pages while the endpoints change."""

import asyncio

import pytest

from eelgrassrack.platform.store import Kinds
from eelgrassrack.standins.metadatastore import Fault

from .world import make_world, run, wait_for

NAMES = ("e1", "e2", "e3", "e4", "e5")
PAGE_OBJECTS = 2

# A change must be in force this long after it.
IN_FORCE_SECONDS = 2.0

# The store's trouble is over before, with the time in which it is asked again.
TROUBLE_SECONDS = 6.0


def list_endpoint(world, name, **rest):
    """Register an endpoint that gets no requests."""
    entry = {
        "service": "plain",
        "address": "127.0.0.1:9",
        "zone": "north",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "born": 1_000,
        **rest,
    }
    world.store.put(kind=Kinds.ENDPOINTS, name=name, spec=entry)


def drain(world):
    list_endpoint(world, "e1", state="draining")
    return lambda fleet: fleet.find("e1").endpoint.is_draining


def remove(world):
    world.store.remove(kind=Kinds.ENDPOINTS, name="e1")
    return lambda fleet: fleet.find("e1") is None


def replace(world):
    world.store.remove(kind=Kinds.ENDPOINTS, name="e1")
    list_endpoint(world, "e1", born=2_000)
    return lambda fleet: fleet.find("e1").endpoint.born == 2_000


def add(world):
    list_endpoint(world, "e0")
    return lambda fleet: fleet.find("e0") is not None


def remove_on_a_later_page(world):
    world.store.remove(kind=Kinds.ENDPOINTS, name="e4")
    return lambda fleet: fleet.find("e4") is None


def fill(world):
    """Register endpoints whose list takes several pages."""
    world.store.page_objects = PAGE_OBJECTS
    for name in NAMES:
        list_endpoint(world, name)


def act_between_pages(world, act):
    """Call `act` once, when the first page of the next list was answered.

    Returns a list that gets what it returns.
    """
    results = []

    def after_page(kind, page):
        is_first = page.has_more and page.items[0].metadata.name == "e1"
        if kind == Kinds.ENDPOINTS and is_first and not results:
            results.append(act())

    world.store.after_page = after_page
    return results


async def start(world):
    return await world.start_gateway()


async def lose_history(world):
    gateway = await world.start_gateway()
    await world.wait_ready()
    world.store.forget_history()
    return gateway


async def lose_store(world):
    gateway = await world.start_gateway()
    await world.wait_ready()
    world.store.fault = Fault.BUSY
    await wait_for(lambda: not gateway.has_store)
    world.store.forget_history()
    world.store.fault = Fault.NONE
    return gateway


async def miss_a_watch(world):
    gateway = await world.start_gateway()
    await world.wait_ready()
    world.store.fault = Fault.HANGS_WATCHES
    await asyncio.sleep(0.3)
    return gateway


def lose_answers(store):
    """Let the store be silent for longer than a call may take."""
    store.fault = Fault.SILENT
    asyncio.get_running_loop().call_later(1.5, setattr, store, "fault", Fault.NONE)


def slow_down(store):
    """Let each call take nearly as long as it may."""
    store.delay = 0.9
    asyncio.get_running_loop().call_later(2.5, setattr, store, "delay", 0.0)


def forget_history(store):
    """Let watches from before be refused."""
    store.forget_history()


@pytest.mark.parametrize("trouble", [lose_answers, slow_down, forget_history])
@pytest.mark.parametrize("change", [drain, remove])
def test_what_changes_while_a_list_breaks_off_is_in_force(change, trouble):
    """Guards against a list that is read anew, or followed, from the wrong moment.

    The store is silent, slow or has dropped its history between two pages.
    """

    async def main():
        async with make_world() as world:

            def act():
                trouble(world.store)
                return change(world)

            fill(world)
            changed = act_between_pages(world, act)
            gateway = await world.start_gateway()
            await wait_for(lambda: gateway.fleet.is_loaded, TROUBLE_SECONDS)
            (is_in_force,) = changed
            await wait_for(lambda: is_in_force(gateway.fleet), TROUBLE_SECONDS)
            await asyncio.sleep(0.5)
            assert is_in_force(gateway.fleet)

    run(main())


@pytest.mark.parametrize("reason", [start, lose_history, lose_store, miss_a_watch])
@pytest.mark.parametrize(
    "change", [drain, remove, replace, add, remove_on_a_later_page]
)
def test_what_changes_between_two_pages_is_in_force_in_time(change, reason):
    """Guards against requests to an endpoint that left while the list was read."""

    async def main():
        async with make_world() as world:

            def act():
                world.store.fault = Fault.NONE
                return change(world)

            fill(world)
            if reason is start:
                changed = act_between_pages(world, act)
                gateway = await reason(world)
            else:
                gateway = await reason(world)
                changed = act_between_pages(world, act)
            await wait_for(lambda: changed and gateway.fleet.is_loaded)
            (is_in_force,) = changed
            await wait_for(lambda: is_in_force(gateway.fleet), IN_FORCE_SECONDS)
            # An older change must not come back.
            await asyncio.sleep(0.5)
            assert is_in_force(gateway.fleet)

    run(main())


@pytest.mark.parametrize("change", [drain, remove, replace, add])
def test_a_peer_without_the_store_learns_of_it_too(change):
    """Guards against requests of gateways that only know what others have read.

    A change on the last page is seen at once, the one before it by the watch only.
    """

    async def main():
        async with make_world() as world:

            def act():
                is_in_force = change(world)
                list_endpoint(world, "e5", slots=9)
                return is_in_force

            fill(world)
            changed = act_between_pages(world, act)
            await world.start_gateway(number=1)
            away = await world.start_gateway(number=2, objects_url="http://127.0.0.9:9")
            await wait_for(lambda: changed and away.fleet.is_loaded)
            (is_in_force,) = changed
            await wait_for(lambda: is_in_force(away.fleet), IN_FORCE_SECONDS)
            assert away.fleet.find("e5").endpoint.slots == 9
            await asyncio.sleep(0.5)
            assert is_in_force(away.fleet)

    run(main())
