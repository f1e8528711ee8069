"""Limits on requests to endpoints in a cold start, shared by all gateways."""

import asyncio
import time

from eelgrassrack.gateway import daemon
from eelgrassrack.gateway.endpoints import pool
from eelgrassrack.gateway.endpoints.connection import open_connection
from eelgrassrack.gateway.endpoints.placing import Placer
from eelgrassrack.platform.store import PlatformStore

from .world import make_world, run, wait_for

GATEWAYS = 3

# A cold endpoint of the test's configuration handles 20 requests a second, and the
# gateways together may send this share of them.
COLD_OVERAGE = 0.1
MOST_A_SECOND = 20 * COLD_OVERAGE


def find_busiest(times):
    """Return the largest number of requests within any one second."""
    return max(
        sum(start <= at < start + 1.0 for at in times) for start in times or [0.0]
    )


def record_sends(monkeypatch):
    """Return a dictionary that records when gateways send requests, by their ids.

    The times of arrival aren't exact enough: a request delayed on its way arrives
    closer to the next one than it was sent.
    """
    times = {}
    note_sent = Placer.note_sent

    def note(placing, job, endpoint):
        times[job.arrival.id] = time.monotonic()
        note_sent(placing, job, endpoint)

    monkeypatch.setattr(Placer, "note_sent", note)
    return times


def list_cold_runs(world, engine):
    """Return the requests that an endpoint ran while all gateways saw it as cold."""
    until = min(
        gateway.fleet.find(engine.name).cold_until for gateway in world.gateways
    )
    return [run for run in engine.runs if run.at < until]


def list_cold_times(world, engine):
    """Return the times at which those requests arrived."""
    return [run.at for run in list_cold_runs(world, engine)]


async def call_all(world):
    """Send two requests to each gateway at once; return the answers."""
    calls = (
        world.call("/chat/1", number=number % GATEWAYS, attempt=f"a{number}")
        for number in range(GATEWAYS * 2)
    )
    return await asyncio.gather(*calls)


def isolate_gateways(monkeypatch):
    """Keep gateways from listing each other and from sending updates."""

    async def write_late(store, **rest):
        await asyncio.sleep(30.0)

    monkeypatch.setattr(PlatformStore, "write_peer", write_late)
    monkeypatch.setattr(daemon, "find_seeds", lambda settings: ())


async def start_gateways(world):
    for number in range(1, GATEWAYS + 1):
        await world.start_gateway(number=number, cold_overage=COLD_OVERAGE)
    for number, gateway in enumerate(world.gateways):
        await world.wait_ready(number)
        await wait_for(lambda one=gateway: one.gateway_count == GATEWAYS)


def test_more_gateways_than_requests_a_second_at_a_cold_endpoint():
    """Three gateways share a limit of two requests a second, and each has requests.

    One from each would be more than the endpoint can handle, and it would crash.
    """

    async def main():
        async with make_world() as world:
            engine = await world.add_engine(
                "e1", service="models", coldRemainingMs=3_000
            )
            await start_gateways(world)
            answers = await asyncio.gather(
                *(
                    world.call(
                        "/chat/1", number=number % GATEWAYS, attempt=f"a{number}"
                    )
                    for number in range(GATEWAYS * 2)
                )
            )
            assert [answer.status for answer in answers] == [200] * GATEWAYS * 2
            times = sorted(run.at for run in engine.runs)
            cold = [at for at in times if at < times[0] + 1.5]
            assert find_busiest(cold) <= MOST_A_SECOND

    run(main())


def test_gateways_that_havent_found_each_other_yet(monkeypatch):
    """Gateways begin to serve before the slow store lists the others.

    Each would assume that it is the only one and use the whole limit.
    """
    isolate_gateways(monkeypatch)

    async def main():
        async with make_world() as world:
            engine = await world.add_engine(
                "e1", service="models", coldRemainingMs=3_000
            )
            for number in range(1, GATEWAYS + 1):
                await world.start_gateway(number=number, cold_overage=COLD_OVERAGE)
            for number in range(GATEWAYS):
                await world.wait_ready(number)
            answers = await call_all(world)
            assert [answer.status for answer in answers] == [200] * len(answers)
            assert find_busiest(list_cold_times(world, engine)) <= MOST_A_SECOND

    run(main())


def test_a_slow_connection_doesnt_bring_two_shares_into_one_second(monkeypatch):
    """A cold endpoint accepts its first connection half a second late.

    If requests counted from when they were placed, the delayed one and one placed a
    second later would both be sent within the same second.
    """
    pauses = iter([0.5])
    sent = record_sends(monkeypatch)

    async def open_late(**rest):
        await asyncio.sleep(next(pauses, 0.0))
        return await open_connection(**rest)

    monkeypatch.setattr(pool, "open_connection", open_late)

    async def main():
        async with make_world() as world:
            engine = await world.add_engine(
                "e1", service="models", coldRemainingMs=4_000
            )
            await world.start_gateway(cold_overage=1 / 20)
            await world.wait_ready()
            await asyncio.gather(
                *(world.call("/chat/1", attempt=f"a{number}") for number in range(3))
            )
            runs = list_cold_runs(world, engine)
            assert len(runs) > 1
            assert find_busiest([sent[run.attempt] for run in runs]) == 1

    run(main())
