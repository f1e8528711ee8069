"""Tests of exceptions that nobody expected."""

import pytest

from eelgrassrack.platform import store as platform_store
from eelgrassrack.platform.store import Kinds
from eelgrassrack.supervisor import MAX_FAILURES

from .virtualtime import run_in_virtual_time
from .world import make_world, wait_for

# Failures in a row, more than a supervisor takes.
FAILURES = MAX_FAILURES + 4


@pytest.mark.parametrize(
    "kind",
    (Kinds.CONFIGURATION, Kinds.ENDPOINTS, Kinds.ROLLOUTS, Kinds.EVACUATIONS),
)
def test_an_unexpected_exception_ends_no_follower(kind, monkeypatch):
    """A gateway would serve on with what it knew, and follow no change any more."""
    failures = []
    decode = platform_store.DECODERS[kind]

    def fail(wire):
        if wire.metadata.name == "odd":
            failures.append(wire)
            raise RuntimeError("unexpected")
        return decode(wire)

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first")
            gateway = await world.start_gateway()
            await world.wait_ready()
            monkeypatch.setitem(platform_store.DECODERS, kind, fail)
            world.store.put(kind=kind, name="odd", spec={})
            await wait_for(lambda: len(failures) >= FAILURES, seconds=25.0)
            assert (await world.call()).status == 200
            world.store.remove(kind=kind, name="odd")
            await check_followed(world, gateway, kind)

    run_in_virtual_time(scenario())


async def check_followed(world, gateway, kind):
    """Check that the next change of a kind comes into force."""
    match kind:
        case Kinds.CONFIGURATION:
            world.configure(version=2)
            await wait_for(lambda: gateway.router.version == 2)
        case Kinds.ENDPOINTS:
            await world.add_engine("second")
            await wait_for(lambda: gateway.fleet.find("second"))
        case Kinds.ROLLOUTS:
            order = {"service": "plain", "to": "v2", "durationS": 20}
            world.store.put(kind=kind, name="plain", spec=order)
            await wait_for(lambda: gateway.rollouts.orders)
        case Kinds.EVACUATIONS:
            world.store.put(kind=kind, name="south", spec={})
            await wait_for(lambda: "south" in gateway.fleet.evacuated)
