"""Tests of entries that another writer left in the platform's store."""

import asyncio

import msgspec
import pytest

from eelgrassrack.platform.store import Kinds

from .oddentries import (
    ODD_ADDRESSES,
    ODD_NUMBERS,
    make_endpoint,
    make_spec,
    make_unreadable,
)
from .world import make_manifest, make_world, run, wait_for

CALLS = 6

# Nothing listens there.
NOWHERE = "http://127.0.0.1:9"
TIMES = ("before the start", "while running")

UNREADABLE = make_unreadable(make_endpoint(), "address")


def put_odd(world, kind, spec, name="odd"):
    world.store.put_raw(kind=kind, name=name, spec=spec)


async def start_beside(world, kind, spec, when, name="odd"):
    """Start a gateway, and put an odd entry before or afterwards."""
    if when == TIMES[0]:
        put_odd(world, kind, spec, name)
    gateway = await world.start_gateway()
    await world.wait_ready()
    if when == TIMES[1]:
        put_odd(world, kind, spec, name)
    return gateway


async def check_served(world):
    for number in range(CALLS):
        got = await world.call(attempt=f"a{number}", path=f"/look/{number}")
        assert (got.status, got.body) == (200, b"done")


async def check_endpoints_followed(world, gateway):
    """Check that a new endpoint comes into use and that old ones go."""
    await check_served(world)
    third = await world.add_engine("third")
    world.store.remove(kind=Kinds.ENDPOINTS, name="first")
    world.store.remove(kind=Kinds.ENDPOINTS, name="second")
    await wait_for(
        lambda: [state.endpoint.name for state in gateway.fleet] == ["third"]
    )
    await check_served(world)
    assert third.runs


@pytest.mark.parametrize("when", TIMES)
@pytest.mark.parametrize("odd", UNREADABLE)
def test_an_unreadable_endpoint_doesnt_hide_the_others(odd, when):
    """No endpoint would be known, or no later change of any would arrive."""

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first")
            await world.add_engine("second")
            gateway = await start_beside(world, Kinds.ENDPOINTS, UNREADABLE[odd], when)
            await check_endpoints_followed(world, gateway)

    run(scenario())


@pytest.mark.parametrize("when", TIMES)
@pytest.mark.parametrize("odd", UNREADABLE)
def test_an_unreadable_configuration_doesnt_hide_the_manifest(odd, when):
    """Later manifests wouldn't come into force."""

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first")
            spec = make_unreadable(make_manifest(version=9), "routes")[odd]
            gateway = await start_beside(world, Kinds.CONFIGURATION, spec, when)
            await check_served(world)
            world.configure(version=2)
            await wait_for(lambda: gateway.router.version == 2)
            await check_served(world)

    run(scenario())


@pytest.mark.parametrize("when", TIMES)
@pytest.mark.parametrize("odd", UNREADABLE)
def test_an_unreadable_order_doesnt_hide_the_others(odd, when):
    """A roll-out would never begin."""

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first")
            order = {"service": "odd", "to": "v2", "durationS": 20}
            spec = make_unreadable(order, "to")[odd]
            gateway = await start_beside(world, Kinds.ROLLOUTS, spec, when)
            order = {"service": "plain", "to": "v2", "durationS": 20}
            world.store.put(kind=Kinds.ROLLOUTS, name="plain", spec=order)
            await wait_for(
                lambda: [one.service for one in gateway.rollouts.orders] == ["plain"]
            )
            await check_served(world)

    run(scenario())


@pytest.mark.parametrize("when", TIMES)
@pytest.mark.parametrize("odd", UNREADABLE)
def test_an_unreadable_evacuation_doesnt_hide_the_others(odd, when):
    """A domain that operators take out would still get work."""

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first")
            spec = make_unreadable({"why": "test"}, "why")[odd]
            gateway = await start_beside(world, Kinds.EVACUATIONS, spec, when)
            world.store.put(kind=Kinds.EVACUATIONS, name="south", spec={})
            await wait_for(lambda: "south" in gateway.fleet.evacuated)
            world.store.remove(kind=Kinds.EVACUATIONS, name="south")
            await wait_for(lambda: "south" not in gateway.fleet.evacuated)
            await check_served(world)

    run(scenario())


@pytest.mark.parametrize("odd", UNREADABLE)
def test_an_unreadable_gateway_doesnt_hide_the_others(odd):
    """Gateways would not find each other, and each would use all shared limits."""

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first")
            spec = make_unreadable({"address": "127.0.0.9:1"}, "address")[odd]
            put_odd(world, Kinds.PEERS, spec)
            await world.start_gateway(number=1)
            await world.start_gateway(number=2)
            for gateway in world.gateways:
                await wait_for(lambda found=gateway: found.gateway_count == 2)
                exchange = gateway._update_exchange
                await wait_for(lambda found=exchange: found.is_listed)
            await check_served(world)

    run(scenario())


def test_a_status_that_cant_be_read_doesnt_hide_its_order():
    """Another writer's status would end a roll-out that operators ordered."""

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first")
            order = {"service": "plain", "to": "v2", "durationS": 20}
            world.store.put(kind=Kinds.ROLLOUTS, name="plain", spec=order)
            status = msgspec.Raw(UNREADABLE["a deep field that nobody reads"])
            world.store.write(Kinds.ROLLOUTS, "plain", status=status)
            gateway = await world.start_gateway()
            await world.wait_ready()
            await wait_for(lambda: len(gateway.rollouts.orders) == 1)

    run(scenario())


@pytest.mark.parametrize("when", TIMES)
@pytest.mark.parametrize("odd", ODD_ADDRESSES)
def test_an_odd_address_is_no_endpoint(odd, when):
    """Requests that chose it would end without an answer, though others are free."""

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first", slots=1)
            await world.add_engine("second", slots=1)
            spec = msgspec.json.encode(make_endpoint(ODD_ADDRESSES[odd], slots=100))
            gateway = await start_beside(world, Kinds.ENDPOINTS, spec, when)
            await check_endpoints_followed(world, gateway)

    run(scenario())


@pytest.mark.parametrize("odd", ODD_ADDRESSES)
def test_an_odd_address_is_no_gateway(odd):
    """The socket for updates would close, and no gateway would hear another."""

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first")
            spec = msgspec.json.encode({"address": ODD_ADDRESSES[odd]})
            put_odd(world, Kinds.PEERS, spec)
            await world.start_gateway(number=1)
            await world.start_gateway(number=2)
            await world.wait_ready()
            await asyncio.sleep(1.0)
            for gateway in world.gateways:
                exchange = gateway._update_exchange
                assert exchange.is_listed
                assert "odd" not in exchange._peers
                assert len(exchange.latest) == 1
            await check_served(world)

    run(scenario())


@pytest.mark.parametrize("when", TIMES)
def test_only_the_operators_object_holds_the_manifest(when):
    """All callers would get 404 by what another writer left beside it."""

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first")
            spec = msgspec.json.encode({**make_manifest(version=9), "routes": []})
            gateway = await start_beside(world, Kinds.CONFIGURATION, spec, when)
            await check_served(world)
            world.configure(version=2)
            await wait_for(lambda: gateway.router.version == 2)
            await check_served(world)

    run(scenario())


@pytest.mark.parametrize("when", TIMES)
def test_only_the_operators_object_holds_a_service_s_order(when):
    """Another writer's entry would move all requests to a version of its choice."""

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first")
            order = {"service": "plain", "to": "v9", "durationS": 20}
            spec = msgspec.json.encode(order)
            gateway = await start_beside(world, Kinds.ROLLOUTS, spec, when)
            world.store.put(
                kind=Kinds.ROLLOUTS, name="plain", spec={**order, "to": "v2"}
            )
            await wait_for(lambda: gateway.rollouts.orders)
            assert [one.version for one in gateway.rollouts.orders] == ["v2"]
            await check_served(world)

    run(scenario())


@pytest.mark.parametrize("odd", ODD_NUMBERS)
def test_an_endpoint_with_a_number_out_of_range_is_none(odd):
    """Gateways couldn't tell each other of it, nor add it to a time."""

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first")
            spec = make_spec(make_endpoint(), **ODD_NUMBERS[odd])
            gateway = await start_beside(world, Kinds.ENDPOINTS, spec, TIMES[0])
            await check_served(world)
            assert gateway.fleet.find("odd") is None
            second = await world.start_gateway(number=2, objects_url=NOWHERE)
            await wait_for(lambda: second.is_ready)
            await check_served(world)

    run(scenario())


@pytest.mark.parametrize("seconds", (b"1e308", b"-1", b"1e12", b"9" * 400))
@pytest.mark.parametrize("when", TIMES)
def test_an_order_whose_time_is_out_of_range_is_none(when, seconds):
    """Roll-outs would no longer be followed."""

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first")
            order = {"service": "plain", "to": "v9"}
            odd = make_spec({**order, "service": "models"}, durationS=seconds)
            gateway = await start_beside(world, Kinds.ROLLOUTS, odd, when, "models")
            world.store.put(
                kind=Kinds.ROLLOUTS, name="plain", spec={**order, "durationS": 20}
            )
            await wait_for(lambda: gateway.rollouts.orders)
            await check_served(world)
            assert [one.service for one in gateway.rollouts.orders] == ["plain"]

    run(scenario())
