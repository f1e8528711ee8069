"""Tests of exceptions that nobody expected."""

import asyncio
import math
import socket

import msgspec
import pytest

from eelgrassrack.gateway.peers.updatemessages import PeerUpdate, TrialReport
from eelgrassrack.platform import store as platform_store
from eelgrassrack.platform.store import Kinds
from eelgrassrack.supervisor import MAX_FAILURES

from .virtualtime import run_in_virtual_time
from .world import make_world, run, wait_for

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


# What a report of a peer may hold in place of a rate.
ODD_RATES = (math.nan, math.inf, -math.inf, 1e308, -1e308)


@pytest.mark.parametrize("rate", ODD_RATES)
def test_an_odd_rate_of_a_peer_doesnt_end_a_roll_out(rate):
    """The task that judges versions would fail while the report counts."""

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first")
            await world.add_engine("second", version="v2")
            gateway = await world.start_gateway()
            await world.wait_ready()
            order = {"service": "plain", "to": "v2", "durationS": 20}
            world.store.put(kind=Kinds.ROLLOUTS, name="plain", spec=order)
            await wait_for(lambda: gateway.rollouts.orders)
            send_report(world, gateway.rollouts.orders[0].created, rate)
            await asyncio.sleep(1.0)
            assert not gateway._supervisor.failures
            assert (await world.call()).status == 200

    run(scenario())


def send_report(world, created, rate):
    """Send a peer's report of a trial to the first gateway."""
    report = TrialReport(
        service="plain",
        version="v2",
        created=created,
        elapsed=0.1,
        is_bad=False,
        tallies=(),
        mean_rate=rate,
        latest_rate=rate,
        left=rate,
    )
    update = PeerUpdate(
        name="odd",
        lifetime="a",
        port=world.news_port,
        number=1,
        configuration=1,
        knows_store=False,
        trials=(report,),
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind(("127.0.0.9", 0))
        address = (world.settings[0].address, world.news_port)
        sender.sendto(msgspec.msgpack.encode(update), address)
