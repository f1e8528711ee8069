"""Connections that a gateway leaves unread while its event loop can't keep up."""

import asyncio
import contextlib

import pytest

from eelgrassrack.decisions.acceptrate import (
    LONG_SECONDS,
    LONG_TURN_SECONDS,
    AcceptRate,
)
from eelgrassrack.gateway.requests.admission import START_SECONDS
from eelgrassrack.standins.directengine import Reply

from .virtualtime import run_in_virtual_time
from .world import call, connect, make_world, wait_for


class LongTurns(AcceptRate):
    """The rate of a gateway all of whose turns are long."""

    def note_turn(self, seconds, now):
        super().note_turn(LONG_TURN_SECONDS, now)


def overload(gateway):
    """Let a gateway believe that all turns of its event loop are long."""
    rate = gateway._admission._accept_rate = LongTurns()
    now = asyncio.get_running_loop().time()
    rate.note_turn(0.0, now - 2 * LONG_SECONDS)
    rate.note_turn(0.0, now)


@contextlib.asynccontextmanager
async def make_gateways(count):
    async with make_world() as world:
        await world.add_engine("e1", Reply(), slots=100)
        for number in range(1, count + 1):
            await world.start_gateway(number=number)
        for number in range(count):
            await world.wait_ready(number)
        known = world.gateways[0]._update_exchange
        await wait_for(lambda: sum(peer.is_ready for peer in known.latest) == count - 1)
        await asyncio.sleep(START_SECONDS)
        yield world


async def is_left_unread(world):
    """Return whether the first gateway closes one of two new connections unread."""
    results = await asyncio.gather(
        *(world.call(attempt=f"a{number}") for number in range(2)),
        return_exceptions=True,
    )
    return any(isinstance(result, Exception) for result in results)


def test_a_gateway_that_can_t_keep_up_leaves_connections_to_others():
    """Guards against requests that are read and not served though others have room."""

    async def main():
        async with make_gateways(3) as world:
            overload(world.gateways[0])
            assert await is_left_unread(world)
            runs = {run.attempt for run in world.engines["e1"].runs}
            assert len(runs) <= 1
            assert (await world.call(number=1)).status == 200

    run_in_virtual_time(main())


def test_a_gateway_reads_all_connections_if_others_can_t_keep_up_either():
    """Guards against callers who go round while all gateways are full."""

    async def main():
        async with make_gateways(3) as world:
            for gateway in world.gateways:
                overload(gateway)
            await asyncio.sleep(1.0)
            assert not await is_left_unread(world)

    run_in_virtual_time(main())


def test_a_gateway_without_others_reads_all_connections():
    """Guards against callers who are sent away from the only gateway."""

    async def main():
        async with make_gateways(1) as world:
            overload(world.gateways[0])
            assert not await is_left_unread(world)

    run_in_virtual_time(main())


def test_a_gateway_that_stops_reads_all_connections_that_wait():
    """Guards against callers whose connections a stop cuts off though it could serve.

    They may have sent requests that nobody may repeat without knowing their fate.
    """

    async def main():
        async with make_gateways(2) as world:
            gateway = world.gateways[0]
            overload(gateway)
            stopping = asyncio.ensure_future(gateway.stop())
            await asyncio.sleep(0)
            assert not await is_left_unread(world)
            await stopping

    run_in_virtual_time(main())


def test_a_kept_connection_ends_after_its_answer_while_others_have_room():
    """Guards against callers who keep using a gateway that can't keep up."""

    async def main():
        async with make_gateways(2) as world:
            caller = await connect(world.settings[0].listen)
            caller.send("/look/1", attempt="a1")
            assert "connection" not in (await caller.read()).headers
            overload(world.gateways[0])
            caller.send("/look/1", attempt="a2")
            answer = await caller.read()
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            caller.close()

    run_in_virtual_time(main())


@pytest.mark.parametrize("count", (1, 2))
def test_a_start_serves_the_connections_that_came_before(count):
    """Guards against callers sent away by a gateway that only loads for long."""

    async def main():
        async with make_gateways(count) as world:
            overload(world.gateways[0])
            world.gateways[0]._admission.begin()
            listen = world.settings[0].listen
            calls = [call(listen, "/look/1", attempt=f"b{n}") for n in range(20)]
            assert {one.status for one in await asyncio.gather(*calls)} == {200}

    run_in_virtual_time(main())
