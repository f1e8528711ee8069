"""Endpoints that turn a request away and ask for rest."""

import asyncio

from eelgrassrack.gateway.endpoints import pool
from eelgrassrack.gateway.endpoints.connection import open_connection
from eelgrassrack.platform.store import Kinds
from eelgrassrack.standins.directengine import Events, Refuse, Reply

from .world import ROUTES, make_world, run, wait_for

REST_SECONDS = 1.2
SHORT_REST_SECONDS = 0.25
# The platform's bound: requests that reach an endpoint during its rest.
MOST_REQUESTS = 2


async def ask_for(world, seconds, path="/look/1"):
    """Ask one request after the other for a while; return the answers."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    answers = []
    while loop.time() < until:
        answers.append(await world.call(path, attempt=f"a{len(answers)}"))
        await asyncio.sleep(0.01)
    return answers


def count_during_rest(engine):
    """Return how many requests arrived in a rest, after the one turned away."""
    first = engine.arrived_at[0]
    return sum(first < at < first + REST_SECONDS for at in engine.arrived_at)


def test_an_endpoint_that_asks_for_rest_gets_no_requests_meanwhile():
    """Guards against requests to an endpoint that asked this gateway for rest."""

    async def main():
        async with make_world() as world:
            resting = await world.add_engine(
                "e1", Refuse(rest=REST_SECONDS), Reply(), slots=100
            )
            await world.add_engine("e2", slots=1)
            await world.start_gateway()
            await world.wait_ready()
            answers = await ask_for(world, 2 * REST_SECONDS)
            assert {answer.status for answer in answers} == {200}
            assert count_during_rest(resting) == 0
            assert resting.runs

    run(main())


def test_a_rest_outlasts_whatever_else_changes():
    """Guards against a wish that a new list or configuration forgets.

    The resting endpoint's entry lapses and comes back, and a configuration arrives.
    """

    async def main():
        async with make_world() as world:
            resting = await world.add_engine(
                "e1", Refuse(rest=REST_SECONDS), Reply(), slots=100
            )
            await world.add_engine("e2", slots=1)
            gateway = await world.start_gateway()
            await world.wait_ready()
            assert (await world.call()).status == 200
            world.store.remove(kind=Kinds.ENDPOINTS, name="e1")
            await wait_for(lambda: gateway.fleet.find("e1") is None)
            world.configure(version=2)
            world.list_engine("e1", slots=100)
            await wait_for(lambda: gateway.fleet.find("e1"))
            await ask_for(world, 0.4)
            assert count_during_rest(resting) == 0

    run(main())


def test_a_request_is_refused_at_once_if_all_endpoints_rest_for_long():
    """Guards against callers that wait for what can't be served in time."""

    async def main():
        async with make_world() as world:
            engines = [
                await world.add_engine(f"e{number}", Refuse(rest=REST_SECONDS))
                for number in range(2)
            ]
            await world.start_gateway()
            await world.wait_ready()
            await world.call("/issue/1", attempt="a1")
            loop = asyncio.get_running_loop()
            began = loop.time()
            got = await world.call("/issue/1", attempt="a2")
            assert loop.time() - began < 0.2
            assert got.status == 503
            assert 0.5 < float(got.headers["retry-after"]) <= REST_SECONDS
            assert sum(len(engine.arrived_at) for engine in engines) == 2

    run(main())


def test_a_request_waits_for_a_short_rest():
    """Guards against refusals of what can still be answered in time."""

    async def main():
        async with make_world() as world:
            engine = await world.add_engine(
                "e1", Refuse(rest=SHORT_REST_SECONDS), Reply()
            )
            await world.start_gateway()
            await world.wait_ready()
            assert (await world.call("/issue/1")).status == 200
            turned_away, ran = engine.arrived_at
            assert ran - turned_away >= SHORT_REST_SECONDS

    run(main())


def test_a_begun_stream_waits_for_a_rest():
    """Guards against a stream that is broken off because endpoints rest.

    Its endpoint crashes, and the other one has asked for rest.
    """

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            resting = await world.add_engine(
                "e2", Refuse(rest=REST_SECONDS), Events(count=6), slots=100, **rest
            )
            breaking = Events(count=6, gap=0.02, breaks_after=2)
            await world.add_engine("e1", breaking, slots=1, **rest)
            await world.start_gateway()
            await world.wait_ready()
            got = await world.call("/chat/1")
            assert got.is_whole
            assert got.body.count(b"\n\n") == 6
            assert count_during_rest(resting) == 0

    run(main())


def test_a_request_isnt_sent_to_an_endpoint_that_asked_for_rest_meanwhile(
    monkeypatch,
):
    """Guards against a request that was placed before its endpoint asked for rest.

    Its connection opens late.
    """

    async def main():
        async with make_world() as world:
            engine = await world.add_engine(
                "e1", Refuse(rest=REST_SECONDS, delay=0.2), Reply(), slots=100
            )
            await world.start_gateway()
            await world.wait_ready()
            first = asyncio.ensure_future(world.call("/issue/1", attempt="a1"))
            await wait_for(lambda: engine.arrived_at)

            async def open_late(*, address, timeout):
                await asyncio.sleep(0.5)
                return await open_connection(address=address, timeout=timeout)

            monkeypatch.setattr(pool, "open_connection", open_late)
            routes = [{**route, "targetLatencyMs": 100} for route in ROUTES]
            world.configure(version=2, routes=routes)
            second = asyncio.ensure_future(world.call("/issue/1", attempt="a2"))
            assert (await first).status == 503
            assert (await second).status == 503
            assert count_during_rest(engine) <= MOST_REQUESTS
            assert not engine.runs

    run(main())


def test_a_request_isnt_held_beyond_its_own_deadline_for_a_rest():
    """Guards against callers that wait for what can't be served in time.

    The rest ends before the route's objective and after the caller's deadline.
    """

    async def main():
        async with make_world() as world:
            engine = await world.add_engine("e1", Refuse(rest=0.45), Reply())
            await world.start_gateway()
            await world.wait_ready()
            first = asyncio.ensure_future(world.call("/issue/1", attempt="a1"))
            await wait_for(lambda: engine.arrived_at)
            await asyncio.sleep(0.05)
            loop = asyncio.get_running_loop()
            began = loop.time()
            got = await world.call("/issue/2", attempt="a2", timeout_ms=300)
            assert got.status == 503
            assert loop.time() - began < 0.15
            await first

    run(main())


def test_an_endpoint_that_rests_when_its_connection_opens_may_be_used_later(
    monkeypatch,
):
    """Guards against callers that are refused although a short rest ends in time.

    The endpoint asked for rest while a connection to it was being opened.
    """

    async def main():
        async with make_world() as world:
            engine = await world.add_engine(
                "e1", Refuse(rest=0.6, delay=0.2), Reply(), slots=100
            )
            await world.start_gateway()
            await world.wait_ready()
            routes = [{**route, "targetLatencyMs": 1_900} for route in ROUTES]
            world.configure(version=2, routes=routes)
            await asyncio.sleep(0.5)
            first = asyncio.ensure_future(world.call("/issue/1", attempt="a1"))
            await wait_for(lambda: engine.arrived_at)

            async def open_late(*, address, timeout):
                await asyncio.sleep(0.3)
                return await open_connection(address=address, timeout=timeout)

            monkeypatch.setattr(pool, "open_connection", open_late)
            assert (await world.call("/issue/1", attempt="a2")).status == 200
            await first

    run(main())


def test_a_refusal_says_when_the_first_rest_ends():
    """Guards against callers that come back while all endpoints still rest.

    Each of a request's attempts was turned away.
    """

    async def main():
        async with make_world() as world:
            for number in range(3):
                await world.add_engine(f"e{number}", Refuse(rest=3.0))
            await world.start_gateway()
            await world.wait_ready()
            got = await world.call("/issue/1")
            assert got.status == 503
            assert 2.5 < float(got.headers["retry-after"]) <= 3.0

    run(main())


def test_retries_that_waited_for_a_rest_keep_to_the_budget():
    """Guards against retries that wait together and are sent together.

    Requests fail at one endpoint and wait until the other has rested.
    """

    async def main():
        async with make_world() as world:
            rested = await world.add_engine(
                "e2", Refuse(rest=1.8), Reply(status=500), slots=1_000
            )
            await world.add_engine("e1", Reply(status=500), slots=1)
            await world.start_gateway(
                retry_ratio=0.0, retry_slack=10.0, retry_window_seconds=0.5
            )
            await world.wait_ready()
            calling = []
            for number in range(120):
                asked = world.call(f"/look/{number}", attempt=f"a{number}")
                calling.append(asyncio.ensure_future(asked))
                await asyncio.sleep(0.012)
            await asyncio.gather(*calling)
            times = rested.arrived_at[1:]
            most = max(sum(at <= one < at + 0.5 for one in times) for at in times)
            assert most <= 10

    run(main())
