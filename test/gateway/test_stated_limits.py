"""Endpoints that name the requests a second that they take from all gateways."""

import asyncio
import itertools

import pytest

from eelgrassrack.gateway.endpoints.placing import Placer
from eelgrassrack.standins.directengine import Reply

from .virtualtime import run_in_virtual_time
from .world import make_route, make_world, wait_for

GATEWAYS = 3

# The platform's bound: from `CONTACT_SECONDS` after an endpoint first named its limit,
# at most `OVERAGE` times what that allows and `SLACK` more requests in any window, of
# gateways that had its answer `TOLD_SECONDS` before.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
TOLD_SECONDS = 0.5
OVERAGE = 1.5
SLACK = 5

LIMIT = 1.5
MOST_REQUESTS = OVERAGE * LIMIT * WINDOW_SECONDS + SLACK

# Requests a second of all callers, far more than the limit.
DEMAND = 40.0
SECONDS = 12.0


def record_sends(monkeypatch):
    """Return a list of when which gateway sent to which endpoint, as it grows."""
    sends = []
    note_sent = Placer.note_sent

    def note(placer, job, endpoint):
        now = asyncio.get_running_loop().time()
        sends.append((now, placer, endpoint.name))
        note_sent(placer, job, endpoint)

    monkeypatch.setattr(Placer, "note_sent", note)
    return sends


async def start_gateways(world):
    for number in range(1, GATEWAYS + 1):
        await world.start_gateway(number=number)
    for number in range(GATEWAYS):
        await world.wait_ready(number)
        await wait_for(
            lambda number=number: world.gateways[number].gateway_count == GATEWAYS
        )


async def ask(world, seconds, path="/look/1", gateways=GATEWAYS):
    """Send requests to the gateways in turn for a while; return their answers."""
    calls = []
    for number in range(int(seconds * DEMAND)):
        call = world.call(path, number=number % gateways, attempt=f"a{number}")
        calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(1.0 / DEMAND)
    return await asyncio.gather(*calls)


def list_counted(sends, name, *, named_at):
    """Return the times of the sends that the platform's bound counts.

    A gateway counts from half a second after its first send, by when it was answered.
    """
    told = {}
    counted = []
    for at, placer, endpoint in sends:
        if endpoint != name or at < named_at:
            continue
        if at >= told.setdefault(placer, at) + TOLD_SECONDS:
            counted.append(at)
    return counted


def find_most(times, *, named_at):
    """Return the most counted sends of a window that ends when the bound holds."""
    ends = (at for at in times if at >= named_at + CONTACT_SECONDS)
    windows = (sum(end - WINDOW_SECONDS < at <= end for at in times) for end in ends)
    return max(windows, default=0)


def test_gateways_together_keep_to_the_limit_that_an_endpoint_names(monkeypatch):
    """Guards against more requests than an endpoint in need said that it takes.

    It has far more slots than the other one, so that all gateways prefer it.
    """
    sends = record_sends(monkeypatch)

    async def main():
        async with make_world() as world:
            needy = await world.add_engine("e1", Reply(), slots=100)
            await world.add_engine("e2", Reply(), slots=2)
            await start_gateways(world)
            await ask(world, 1.0)
            needy.limit = str(LIMIT)
            named_at = asyncio.get_running_loop().time()
            answers = await ask(world, SECONDS)
            assert {answer.status for answer in answers} == {200}
            times = list_counted(sends, "e1", named_at=named_at)
            assert find_most(times, named_at=named_at) <= MOST_REQUESTS

    run_in_virtual_time(main())


def test_an_endpoint_is_used_up_to_the_limit_that_it_names(monkeypatch):
    """Guards against an endpoint that stands idle because its limit is shared.

    There is no other one, so that what has no room is refused.
    """
    sends = record_sends(monkeypatch)

    async def main():
        async with make_world() as world:
            needy = await world.add_engine("e1", Reply(), slots=100)
            needy.limit = str(LIMIT)
            await start_gateways(world)
            named_at = asyncio.get_running_loop().time()
            await ask(world, SECONDS)
            times = list_counted(sends, "e1", named_at=named_at)
            assert len(times) >= 0.7 * LIMIT * (SECONDS - TOLD_SECONDS)

    run_in_virtual_time(main())


def test_an_answer_without_a_limit_ends_it():
    """Guards against an endpoint that stays limited after it has recovered."""

    async def main():
        async with make_world() as world:
            needy = await world.add_engine("e1", Reply(), slots=100)
            needy.limit = str(LIMIT)
            await start_gateways(world)
            await ask(world, 3.0)
            needy.limit = ""
            await ask(world, 3.0)
            answers = await ask(world, 2.0)
            assert {answer.status for answer in answers} == {200}

    run_in_virtual_time(main())


def test_what_has_no_room_is_refused_at_once_with_a_time_to_come_again():
    """Guards against callers that wait in vain for a limit that others use up."""

    async def main():
        async with make_world() as world:
            needy = await world.add_engine("e1", Reply(), slots=100)
            needy.limit = "0.2"
            await world.start_gateway()
            await world.wait_ready()
            loop = asyncio.get_running_loop()
            assert (await world.call("/issue/1", attempt="a1")).status == 200
            began = loop.time()
            got = await world.call("/issue/1", attempt="a2")
            assert loop.time() - began < 0.3
            assert got.status == 503
            assert 3.0 < float(got.headers["retry-after"]) <= 5.0
            await asyncio.sleep(float(got.headers["retry-after"]))
            assert (await world.call("/issue/1", attempt="a3")).status == 200

    run_in_virtual_time(main())


def test_a_retry_keeps_to_the_limit_too():
    """Guards against retries that an endpoint in need gets on top of its limit."""

    async def main():
        async with make_world() as world:
            failing = itertools.repeat(Reply(status=500), 50)
            needy = await world.add_engine("e1", *failing, slots=100)
            needy.limit = str(LIMIT)
            await world.add_engine("e2", Reply(status=500), slots=1)
            await world.start_gateway(retry_ratio=10.0, retry_slack=1000.0)
            await world.wait_ready()
            await ask(world, 6.0, gateways=1)
            assert len(needy.runs) <= 6.0 * LIMIT * OVERAGE + SLACK

    run_in_virtual_time(main())


def test_the_most_urgent_of_those_that_wait_go_first():
    """Guards against urgent requests that wait behind others for a limit."""

    async def main():
        async with make_world() as world:
            routes = [
                make_route(name, f"/{name}/", targetLatencyMs=4_000, priority=priority)
                for name, priority in (("urgent", 0), ("later", 2))
            ]
            world.configure(version=2, routes=routes, priority=None)
            needy = await world.add_engine("e1", Reply(), slots=100)
            needy.limit = "5"
            await world.start_gateway()
            await world.wait_ready()
            await world.call("/later/1", attempt="a0")
            calls = [
                asyncio.ensure_future(world.call(f"/{name}/1", attempt=name + number))
                for name, number in itertools.product(("later", "urgent"), "123")
            ]
            answers = await asyncio.gather(*calls)
            assert {answer.status for answer in answers} == {200}
            order = [run.attempt[:-1] for run in needy.runs[1:]]
            assert order == ["urgent"] * 3 + ["later"] * 3

    run_in_virtual_time(main())


def test_a_gateway_that_starts_keeps_to_a_limit_of_which_peers_have_told():
    """Guards against a burst of each gateway that starts while a limit holds."""

    async def main():
        async with make_world() as world:
            needy = await world.add_engine("e1", Reply(), slots=100)
            needy.limit = "0.5"
            await world.start_gateway(number=1)
            await world.wait_ready()
            await world.call("/issue/1", attempt="a1")
            await world.start_gateway(number=2)
            await world.wait_ready(1)
            await wait_for(lambda: world.gateways[1].gateway_count == 2)
            await asyncio.sleep(1.0)
            answers = [
                await world.call("/issue/1", number=1, attempt=f"b{number}")
                for number in range(4)
            ]
            assert [answer.status for answer in answers] == [200, 503, 503, 503]

    run_in_virtual_time(main())


def test_a_gateway_that_doesn_t_know_the_others_sends_nothing_within_a_limit():
    """Guards against gateways that each take the whole limit for their own."""

    async def main():
        async with make_world() as world:
            needy = await world.add_engine("e1", Reply(), slots=100)
            needy.limit = "1.5"
            gateway = await world.start_gateway()
            await world.wait_ready()
            gateway._placer.limits._list_sharers = lambda: None
            await world.call("/issue/1", attempt="a1")
            got = await world.call("/issue/1", attempt="a2")
            assert got.status == 503
            assert float(got.headers["retry-after"]) > 0.0

    run_in_virtual_time(main())


@pytest.mark.parametrize("odd", ("", "-1", "0", "1e9", "nan", "many", "1,2"))
def test_a_value_that_is_no_limit_leaves_the_one_in_force(odd):
    """Guards against a garbled header that ends a limit, or stops all requests."""

    async def main():
        async with make_world() as world:
            needy = await world.add_engine("e1", Reply(), slots=100)
            needy.limit = "0.2"
            await world.start_gateway()
            await world.wait_ready()
            await world.call("/issue/1", attempt="a1")
            needy.limit = odd
            needy.names_limit = True
            await asyncio.sleep(6.0)
            assert (await world.call("/issue/1", attempt="a2")).status == 200
            assert (await world.call("/issue/1", attempt="a3")).status == 503

    run_in_virtual_time(main())
