"""Tests with endpoints that are down, silent, slow, or lose answers."""

import asyncio
import itertools

import pytest

from eelgrassrack.gateway.endpoints import pool
from eelgrassrack.gateway.endpoints.connection import open_connection
from eelgrassrack.gateway.errors import ConnectError
from eelgrassrack.platform.store import Kinds
from eelgrassrack.standins.directengine import (
    Break,
    Echo,
    Events,
    Hang,
    Refuse,
    Reply,
)

from .world import connect, make_world, run, wait_for


def test_all_gateways_avoid_an_endpoint_after_one_lost_answer():
    """An endpoint that looks healthy resets each connection for some seconds.

    If gateways didn't tell each other, each would lose a request that may not be
    repeated, and another when it tries the endpoint again.
    """

    async def main():
        async with make_world() as world:
            bad = await world.add_engine("bad", Break(), slots=100)
            for name in ("e1", "e2"):
                await world.add_engine(name, slots=1)
            first = await world.start_gateway(number=1)
            second = await world.start_gateway(number=2)
            await world.wait_ready(0)
            await world.wait_ready(1)
            await wait_for(lambda: first.gateway_count == second.gateway_count == 2)
            got = await world.call("/issue/1")
            assert got.status == 502
            await asyncio.sleep(0.6)
            for number in range(20):
                got = await world.call(
                    "/issue/2", number=number % 2, attempt=f"b{number}"
                )
                assert got.status == 200
            assert len(bad.runs) == 1

    run(main())


def test_an_endpoint_that_never_answers_gets_one_non_idempotent_request():
    """An endpoint accepts non-idempotent requests and never answers.

    It passes its health checks and accepts new connections.  If the gateway kept
    using it, each caller would wait in vain until its timeout.
    """

    async def main():
        async with make_world() as world:
            mute = await world.add_engine("mute", Hang(), slots=100)
            await world.add_engine("e1", slots=1)
            await world.start_gateway()
            await world.wait_ready()
            got = await world.call("/issue/1", timeout_ms=900)
            assert got.status == 504
            for number in range(4):
                got = await world.call("/issue/2", attempt=f"b{number}")
                assert got.status == 200
            assert len(mute.runs) == 1

    run(main())


@pytest.mark.parametrize("alive", range(5))
def test_endpoints_that_are_down_dont_use_up_attempts(alive):
    """Four endpoints have crashed and are still listed; a fifth is idle.

    A request may be sent to three endpoints.  Endpoints that refuse the connection
    don't count, so the fifth serves it, whichever is tried first.
    """

    async def main():
        async with make_world() as world:
            for number in range(5):
                await world.add_engine(f"e{number}")
            await world.start_gateway()
            await world.wait_ready()
            for number in set(range(5)) - {alive}:
                await world.engines[f"e{number}"].stop()
            assert (await world.call("/look/1")).status == 200
            assert (await world.call("/issue/1")).status == 200

    run(main())


def test_all_gateways_learn_which_endpoint_is_slow():
    """One of five endpoints answers correctly, but takes twenty times as long.

    Health checks don't show it.  The gateway that notices it tells the others, so
    that their callers avoid it.
    """

    async def main():
        async with make_world() as world:
            for number in range(4):
                await world.add_engine(f"e{number}", Echo(delay=0.02))
            await world.add_engine("slow", Echo(delay=0.4))
            for number in (1, 2):
                await world.start_gateway(number=number)
                await world.wait_ready(number - 1)
            other = world.gateways[1].fleet
            names = itertools.count()

            async def ask():
                while other.find("slow").slowness < 1.8:
                    await world.call(attempt=f"a{next(names)}")

            async with asyncio.timeout(8.0):
                await asyncio.gather(*(ask() for _ in range(10)))
            assert all(other.find(f"e{n}").slowness == 1.0 for n in range(4))

    run(main())


@pytest.mark.parametrize("step", [Refuse(), Reply(status=500)])
def test_an_endpoint_that_refuses_at_once_doesnt_look_fast(step):
    """A full endpoint refuses within a millisecond what takes others a second.

    If refusals counted as answers, it would attract more and more requests.
    """

    async def main():
        async with make_world() as world:
            await world.add_engine("bad", step)
            await world.add_engine("good", Echo())
            gateway = await world.start_gateway()
            await world.wait_ready()
            for number in range(12):
                assert (await world.call(attempt=f"a{number}")).status == 200
                await asyncio.sleep(0.05)
            assert gateway.fleet.find("good").timing.answers > 1
            assert world.engines["bad"].connections
            assert gateway.fleet.find("bad").timing.answers == 0

    run(main())


def test_requests_leave_an_endpoint_that_lost_power():
    """An endpoint loses power with a lookup in flight, and sends nothing.

    Without a probe its caller would wait seconds for the connection to time out.
    """

    async def main():
        async with make_world() as world:
            unreachable = await world.add_engine("e1", Hang(), slots=100)
            await world.add_engine("e2", slots=1)
            await world.start_gateway()
            await world.wait_ready()
            caller = await connect(world.settings[0].listen)
            caller.send("/look/1")
            await wait_for(lambda: unreachable.runs)
            unreachable.refuse()
            got = await asyncio.wait_for(caller.read(), 1.2)
            assert got.status == 200
            caller.close()

    run(main())


def test_an_abandoned_request_never_arrives_late():
    """A network path is cut with a request in flight, which the gateway abandons.

    After an orderly close the kernel would still send the bytes when the path is
    back, seconds later, to an endpoint that may be leaving by then.
    """

    async def main():
        async with make_world() as world:
            mute = await world.add_engine("e1", Hang(), slots=100)
            await world.add_engine("e2", slots=1)
            await world.start_gateway()
            await world.wait_ready()
            assert (await world.call(attempt="a1")).status == 200
            await wait_for(lambda: mute.resets == ["a1"], seconds=0.5)

    run(main())


def test_a_slow_endpoint_that_accepts_connections_keeps_its_request():
    """An engine reads a long prompt and sends nothing for most of a second."""

    async def main():
        async with make_world() as world:
            slow = await world.add_engine("e1", Reply(delay=0.9), slots=100)
            await world.add_engine("e2", slots=1)
            await world.start_gateway()
            await world.wait_ready()
            got = await world.call("/look/1", headers=[("X-Token-Usage", "20000,10")])
            assert got.status == 200
            assert len(slow.runs) == 1

    run(main())


def test_a_request_that_is_never_answered_goes_elsewhere():
    """An endpoint never answers some requests, and its probes succeed.

    Without a timeout their callers would wait until the deadline.
    """

    async def main():
        async with make_world() as world:
            mute = await world.add_engine("e1", Hang(), slots=100)
            await world.add_engine("e2", slots=1)
            await world.start_gateway()
            await world.wait_ready()
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert (await world.call()).status == 200
            assert loop.time() - began < 1.0
            assert mute.cancelled

    run(main())


def test_a_stream_that_stands_still_goes_on_elsewhere():
    """An engine stalls in the middle of a stream."""

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            await world.add_engine("e1", Events(count=6, gap=30.0), slots=100, **rest)
            await world.add_engine("e2", Events(count=6), slots=1, **rest)
            await world.start_gateway()
            await world.wait_ready()
            got = await asyncio.wait_for(world.call("/chat/1"), 4.0)
            assert got.is_whole
            assert got.body.count(b"\n\n") == 6

    run(main())


def test_a_non_idempotent_request_waits_for_a_silent_endpoint():
    """An endpoint is unreachable for a moment and then answers."""

    async def main():
        async with make_world() as world:
            silent = await world.add_engine("e1", Reply(delay=1.2))
            await world.start_gateway()
            await world.wait_ready()
            caller = await connect(world.settings[0].listen)
            caller.send("/issue/1")
            await wait_for(lambda: silent.runs)
            silent.refuse()
            assert (await caller.read()).status == 200
            caller.close()

    run(main())


def test_the_last_attempt_waits_for_an_endpoint_that_looks_unreachable(monkeypatch):
    """A stream is on its last attempt when probes of its endpoint fail.

    Giving up would break it off for certain, while the endpoint may only be full.
    """

    async def main():
        async with make_world() as world:
            engine = await world.add_engine(
                "e1", Events(count=3, gap=1.2), service="models"
            )
            await world.start_gateway()
            await world.wait_ready()
            calling = asyncio.ensure_future(world.call("/final/1"))
            await wait_for(lambda: engine.runs)
            monkeypatch.setattr(pool, "open_connection", fail_to_connect)
            assert (await calling).is_whole

    run(main())


async def fail_to_connect(*, address, timeout):
    raise ConnectError(f"{address}: no answer")


def test_one_lost_packet_doesnt_make_an_endpoint_unreachable(monkeypatch):
    """A stream pauses, and the first packet of the probe is lost.

    The endpoint is up.  Without a second probe all its streams would be cut and
    restarted.
    """
    tries = []

    async def lose_first(*, address, timeout):
        tries.append(address)
        if len(tries) == 1:
            raise ConnectError(f"{address}: no answer")
        return await open_connection(address=address, timeout=timeout)

    async def main():
        async with make_world() as world:
            engine = await world.add_engine(
                "e1", Events(count=3, gap=0.9), service="models"
            )
            await world.start_gateway()
            await world.wait_ready()
            calling = asyncio.ensure_future(world.call("/chat/1"))
            await wait_for(lambda: engine.runs)
            monkeypatch.setattr(pool, "open_connection", lose_first)
            assert (await calling).is_whole
            assert len(tries) > 1
            assert len(engine.runs) == 1

    run(main())


def leave(world, name):
    world.list_engine(name, state="draining")


def evacuate(world, name):
    world.store.put(kind=Kinds.EVACUATIONS, name="north", spec={})


@pytest.mark.parametrize("take_out", [leave, evacuate])
def test_an_endpoint_that_is_taken_out_during_the_connect_gets_no_request(
    monkeypatch, take_out
):
    """An endpoint is taken out while a request waits for a connection to it."""

    async def main():
        async with make_world() as world:
            gone = await world.add_engine("e1", slots=100)
            await world.add_engine("e2", slots=1, zone="south")
            gateway = await world.start_gateway()
            await world.wait_ready()
            fleet = gateway.fleet

            async def open_late(*, address, timeout):
                if "{}:{}".format(*address) == gone.address:
                    take_out(world, "e1")
                    await wait_for(
                        lambda: fleet.find("e1").endpoint.is_draining or fleet.evacuated
                    )
                return await open_connection(address=address, timeout=timeout)

            monkeypatch.setattr(pool, "open_connection", open_late)
            assert (await world.call("/issue/1")).status == 200
            assert gone.connections
            assert not gone.runs

    run(main())
