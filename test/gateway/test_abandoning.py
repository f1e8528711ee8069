"""Attempts that a gateway abandons because their endpoint seems unreachable."""

import asyncio

from eelgrassrack.gateway.endpoints import pool
from eelgrassrack.gateway.endpoints.coldlimits import ColdLimits
from eelgrassrack.gateway.endpoints.connection import open_connection
from eelgrassrack.gateway.errors import ConnectError
from eelgrassrack.standins.directengine import Break, Events, Reply

from .world import connect, make_world, run, wait_for

EVENTS = 6
# Longer than a probe and its repetition take, shorter than a stream may pause.
PAUSE_SECONDS = 1.1

# Longer than a stream may pause.
LONG_PAUSE_SECONDS = 3.5

LONG_PAUSING = Events(count=EVENTS, gap=0.02, pauses_after=2, pause=LONG_PAUSE_SECONDS)

# More than the buffers between the gateway and a caller hold.
LARGE_BYTES = 16_000_000

PAUSING = Events(count=EVENTS, gap=0.02, pauses_after=2, pause=PAUSE_SECONDS)


async def time_out(*, address, timeout):
    """Fail to connect as over a path on which no packet comes back."""
    await asyncio.sleep(timeout)
    raise ConnectError(f"{address}: no answer")


def list_events(answer):
    lines = answer.body.decode().split("\n")
    return [line for line in lines if line.startswith("id")]


ALL_EVENTS = [f"id: {number}" for number in range(1, EVENTS + 1)]


def test_a_stream_isnt_abandoned_if_the_budget_allows_no_retry():
    """Guards against a stream that is cut for a retry that can't be made.

    An endpoint pauses in a stream and accepts no new connections.
    """

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            pausing = await world.add_engine("e1", PAUSING, slots=100, **rest)
            await world.add_engine("e2", Events(count=EVENTS), slots=1, **rest)
            await world.start_gateway(retry_ratio=0.0, retry_slack=0.0)
            await world.wait_ready()
            calling = asyncio.ensure_future(world.call("/chat/1"))
            await wait_for(lambda: pausing.runs)
            pausing.refuse()
            got = await calling
            assert got.is_whole
            assert list_events(got) == ALL_EVENTS
            assert not pausing.cancelled

    run(main())


def test_streams_abandoned_together_share_the_budget():
    """Guards against several streams being cut for one allowed retry.

    Three streams run at an endpoint that pauses and accepts no new connections.
    """

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            pausing = await world.add_engine("e1", PAUSING, slots=100, **rest)
            gateway = await world.start_gateway(retry_ratio=0.0, retry_slack=2.0)
            await world.wait_ready()
            await wait_for(lambda: gateway._placer.gateway_count is not None)
            calling = [
                asyncio.ensure_future(world.call("/chat/1", attempt=f"a{number}"))
                for number in range(3)
            ]
            await wait_for(lambda: len(pausing.runs) == 3)
            other = await world.add_engine("e2", Events(count=EVENTS), slots=1, **rest)
            pausing.refuse()
            answers = await asyncio.gather(*calling)
            assert [list_events(answer) for answer in answers] == [ALL_EVENTS] * 3
            assert all(answer.is_whole for answer in answers)
            assert len(other.runs) == 1

    run(main())


def test_a_stream_isnt_abandoned_if_no_other_endpoint_is_left():
    """Guards against a stream that is cut though nothing can take it over.

    Its only endpoint pauses and accepts no new connections.
    """

    async def main():
        async with make_world() as world:
            pausing = await world.add_engine("e1", PAUSING, service="models")
            await world.add_engine("e2")
            await world.start_gateway()
            await world.wait_ready()
            calling = asyncio.ensure_future(world.call("/chat/1"))
            await wait_for(lambda: pausing.runs)
            pausing.refuse()
            got = await calling
            assert got.is_whole
            assert list_events(got) == ALL_EVENTS

    run(main())


def test_a_slow_link_of_the_gateway_isnt_taken_for_unreachable_endpoints(monkeypatch):
    """Guards against a gateway that blames its endpoints for its own link.

    A large transfer fills the gateway's link, so that no new connection opens in
    time, whichever endpoint it is to, and the streams pause.
    """

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            pausing = await world.add_engine("e1", PAUSING, slots=100, **rest)
            other = await world.add_engine("e2", Events(count=EVENTS), slots=1, **rest)
            gateway = await world.start_gateway()
            await world.wait_ready()
            calling = asyncio.ensure_future(world.call("/chat/1"))
            await wait_for(lambda: pausing.runs)
            monkeypatch.setattr(pool, "open_connection", time_out)
            got = await calling
            assert got.is_whole
            assert list_events(got) == ALL_EVENTS
            assert not pausing.cancelled
            assert not other.runs
            assert not gateway._placer.health.report_suspected()

    run(main())


def test_an_endpoint_that_alone_is_silent_is_abandoned(monkeypatch):
    """Guards against streams that stay at an endpoint which lost power.

    Connections to it stay unanswered, while another endpoint accepts them.
    """

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            dark = await world.add_engine("e1", PAUSING, slots=100, **rest)
            other = await world.add_engine("e2", Events(count=EVENTS), slots=1, **rest)
            await world.start_gateway()
            await world.wait_ready()

            async def lose(*, address, timeout):
                if dark.address.endswith(f":{address[1]}"):
                    return await time_out(address=address, timeout=timeout)
                return await open_connection(address=address, timeout=timeout)

            calling = asyncio.ensure_future(world.call("/chat/1"))
            await wait_for(lambda: dark.runs)
            monkeypatch.setattr(pool, "open_connection", lose)
            got = await calling
            assert got.is_whole
            assert list_events(got) == ALL_EVENTS
            assert other.runs

    run(main())


def test_a_slow_link_of_the_gateway_makes_no_query_of_death(monkeypatch):
    """Guards against requests that are refused for what the gateway's link did.

    Three endpoints lose a request's answer, and no connection opens in time.
    """

    async def main():
        async with make_world() as world:
            for number in range(3):
                await world.add_engine(f"e{number}", Break(), Events(count=EVENTS))
            await world.start_gateway()
            await world.wait_ready()

            async def open_late(*, address, timeout):
                """Open a request's connection; those of checks take too long."""
                if timeout < pool.CONNECT_TIMEOUT_SECONDS:
                    return await time_out(address=address, timeout=timeout)
                return await open_connection(address=address, timeout=timeout)

            with monkeypatch.context() as patch:
                patch.setattr(pool, "open_connection", open_late)
                assert (await world.call()).status == 502
                await asyncio.sleep(1.0)
            assert (await world.call(attempt="a2")).status == 200

    run(main())


def test_a_slow_caller_doesnt_break_the_next_request_of_its_connection():
    """Guards against a request whose connection its predecessor closes.

    A caller reads a large answer slowly.  The endpoint has sent all of it, and the
    next request goes there meanwhile.
    """

    async def main():
        async with make_world() as world:
            large = Reply(body=bytes(LARGE_BYTES))
            engine = await world.add_engine("e1", large, Reply(delay=1.0))
            await world.start_gateway()
            await world.wait_ready()
            slow = await connect(world.settings[0].listen)
            slow.send("/issue/1", attempt="a1")
            await wait_for(lambda: engine.runs)
            await asyncio.sleep(0.3)
            calling = asyncio.ensure_future(world.call("/issue/2", attempt="a2"))
            await wait_for(lambda: len(engine.runs) == 2)
            assert (await slow.read()).is_whole
            assert (await calling).status == 200
            slow.close()

    run(main())


def test_a_silent_stream_stays_while_the_gateways_link_is_slow(monkeypatch):
    """Guards against streams that are cut for a retry that can't be sent.

    A stream pauses for longer than streams may, and no new connection opens.
    """

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            pausing = await world.add_engine("e1", LONG_PAUSING, slots=100, **rest)
            await world.add_engine("e2", Events(count=EVENTS), slots=1, **rest)
            gateway = await world.start_gateway()
            await world.wait_ready()
            calling = asyncio.ensure_future(world.call("/chat/1"))
            await wait_for(lambda: pausing.runs)
            monkeypatch.setattr(pool, "open_connection", time_out)
            got = await calling
            assert got.is_whole
            assert list_events(got) == ALL_EVENTS
            assert not pausing.cancelled
            assert not gateway._placer.health.report_suspected()

    run(main())


def test_a_stream_isnt_abandoned_for_a_cold_endpoint_at_its_limit(monkeypatch):
    """Guards against a stream that is cut and then waits until its deadline.

    The only other endpoint is cold and gets no more requests for now.
    """

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            pausing = await world.add_engine("e1", LONG_PAUSING, slots=100, **rest)
            gateway = await world.start_gateway(retry_ratio=1.0)
            await world.wait_ready()
            calling = asyncio.ensure_future(world.call("/chat/1"))
            await wait_for(lambda: pausing.runs)
            monkeypatch.setattr(ColdLimits, "_share", lambda *_: 0)
            await world.add_engine("e2", coldRemainingMs=20_000, **rest)
            await wait_for(lambda: gateway.fleet.find("e2"))
            got = await calling
            assert got.is_whole
            assert list_events(got) == ALL_EVENTS

    run(main())


def test_a_stream_tries_again_after_connections_that_failed(monkeypatch):
    """Guards against a stream that ends because no connection opened once.

    Its endpoint crashes, and for half a second no connection to the others opens.
    """

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            breaking = Events(count=EVENTS, gap=0.02, breaks_after=2)
            crashing = await world.add_engine("e1", breaking, slots=100, **rest)
            await world.add_engine("e2", Events(count=EVENTS), slots=1, **rest)
            await world.start_gateway()
            await world.wait_ready()
            calling = asyncio.ensure_future(world.call("/chat/1"))
            await wait_for(lambda: crashing.runs)
            with monkeypatch.context() as patch:
                patch.setattr(pool, "open_connection", time_out)
                await asyncio.sleep(0.8)
            got = await calling
            assert got.is_whole
            assert list_events(got) == ALL_EVENTS

    run(main())


def test_endpoints_that_are_silent_too_are_no_witnesses(monkeypatch):
    """Guards against dark endpoints that hide each other.

    Three endpoints lose power while they stream; a fourth goes on.
    """

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            dark = [
                await world.add_engine(f"e{number}", LONG_PAUSING, slots=1, **rest)
                for number in range(3)
            ]
            gateway = await world.start_gateway(retry_ratio=1.0)
            await world.wait_ready()
            sound = await world.add_engine("e9", Events(count=90, gap=0.05))
            await wait_for(lambda: gateway.fleet.find("e9"))
            streaming = asyncio.ensure_future(world.call("/look/1", attempt="b"))
            await wait_for(lambda: sound.runs)
            calling = [
                asyncio.ensure_future(world.call("/chat/1", attempt=f"a{number}"))
                for number in range(3)
            ]
            await wait_for(lambda: all(engine.runs for engine in dark))
            ports = [int(engine.address.split(":")[1]) for engine in dark]

            async def lose(*, address, timeout):
                if address[1] in ports:
                    return await time_out(address=address, timeout=timeout)
                return await open_connection(address=address, timeout=timeout)

            monkeypatch.setattr(pool, "open_connection", lose)
            health = gateway._placer.health
            await wait_for(lambda: len(health.report_suspected()) == 3, seconds=1.3)
            await asyncio.gather(*calling)
            streaming.cancel()

    run(main())
