"""Roll-outs with gateways, endpoints of two versions and the store."""

import asyncio
import itertools
import time
import types

from eelgrassrack.gateway.versions import rollouts
from eelgrassrack.platform.store import Kinds
from eelgrassrack.standins.directengine import Events, Reply
from eelgrassrack.standins.metadatastore import Fault

from .world import make_world, run, wait_for


def order(world, *, seconds, version="v2", service="plain"):
    world.store.put(
        kind=Kinds.ROLLOUTS,
        name=service,
        spec={"service": service, "to": version, "durationS": seconds},
    )


async def add_versions(world, *, bad=False):
    old = [await world.add_engine(f"old{number}") for number in range(2)]
    script = [Reply(status=500), Reply()] * 200 if bad else [Reply()]
    new = [
        await world.add_engine(f"new{number}", *script, version="v2")
        for number in range(2)
    ]
    return old, new


async def call_until(world, *, until, number=0, session=None):
    """Send requests until a condition holds; return how many were sent."""
    count = 0
    try:
        async with asyncio.timeout(15):
            while not until():
                count += 1
                headers = [("Session", session)] if session else []
                await world.call(
                    "/issue/1",
                    number=number,
                    attempt=f"a{number}-{count}",
                    headers=headers,
                )
    except TimeoutError as error:
        status = world.status_of("plain")
        raise AssertionError(f"{status} after {count} requests") from error
    return count


def test_a_good_version_is_taken_over_in_time():
    async def main():
        async with make_world() as world:
            old, new = await add_versions(world)
            await world.start_gateway()
            await world.wait_ready()
            order(world, seconds=3.0)
            await call_until(world, until=lambda: world.status_of("plain") == "running")
            await call_until(world, until=lambda: world.status_of("plain") == "done")
            before = sum(len(engine.runs) for engine in old)
            for number in range(10):
                await world.call(attempt=f"b{number}")
            assert sum(len(engine.runs) for engine in old) == before
            assert sum(len(engine.runs) for engine in new) > 10

    run(main())


def test_a_bad_version_is_rolled_back_before_many_have_met_it():
    """Half of the new version's answers are failures, on all its endpoints."""

    async def main():
        async with make_world() as world:
            _, new = await add_versions(world, bad=True)
            await world.start_gateway()
            await world.wait_ready()
            order(world, seconds=60.0)
            total = await call_until(
                world, until=lambda: world.status_of("plain") == "rolled_back"
            )
            met = sum(len(engine.runs) for engine in new)
            assert met < total * 0.15 + 30
            await call_until(world, until=lambda: total)
            after = sum(len(engine.runs) for engine in new)
            for number in range(50):
                await world.call(attempt=f"c{number}")
            assert sum(len(engine.runs) for engine in new) == after

    run(main())


def test_tallies_of_all_gateways_count_together():
    """Each gateway sees too few bad answers; only all of them together suffice."""

    async def main():
        async with make_world() as world:
            await add_versions(world, bad=True)
            for number in (1, 2):
                await world.start_gateway(number=number)
            await world.wait_ready(0)
            await world.wait_ready(1)
            order(world, seconds=60.0)
            await asyncio.gather(
                *(
                    call_until(
                        world,
                        until=lambda: world.status_of("plain") == "rolled_back",
                        number=number,
                    )
                    for number in (0, 1)
                )
            )

    run(main())


def test_a_session_stays_on_its_version():
    """A caller's session is on the old version when a roll-out begins."""

    async def main():
        async with make_world() as world:
            _, new = await add_versions(world)
            gateway = await world.start_gateway()
            await world.wait_ready()
            order(world, seconds=60.0)
            await wait_for(lambda: gateway.rollouts.orders)
            for number in range(60):
                for _ in range(2):
                    await world.call(
                        attempt=f"a{number}", headers=[("Session", f"s{number}")]
                    )
            assert not any(engine.runs for engine in new)

    run(main())


def test_a_status_is_right_though_the_store_s_answer_is_lost():
    """The store writes a status, but its answer is lost.

    If the gateway wrote it again as a new change, it could overwrite a later one.
    """

    async def main():
        async with make_world() as world:
            await add_versions(world)
            await world.start_gateway()
            await world.wait_ready()
            order(world, seconds=3.0)
            world.store.fault = Fault.LOSES_WRITE_ANSWERS
            await call_until(world, until=lambda: world.status_of("plain") == "running")
            await asyncio.sleep(0.5)
            world.store.fault = Fault.NONE
            await call_until(world, until=lambda: world.status_of("plain") == "done")

    run(main())


PROMPT = (("X-Model", "small"), ("X-Token-Usage", "100,50"))


def test_a_version_whose_pieces_come_slowly_is_rolled_back():
    """First pieces come in time, but half of the answers go on at a tenth of the pace.

    Two gateways with four callers each see too little to judge by alone.
    """
    usual = Events(count=6, gap=0.02)
    slow = Events(count=6, gap=0.2)

    async def call_again(world, number, caller):
        for count in itertools.count():
            attempt = f"c{number}-{caller}-{count}"
            await world.call("/chat/1", number=number, attempt=attempt, headers=PROMPT)

    async def main():
        async with make_world() as world:
            for number in range(4):
                await world.add_engine(f"old{number}", usual, service="models")
            new = [
                await world.add_engine(
                    f"new{number}",
                    *(usual, slow) * 100,
                    service="models",
                    version="v2",
                )
                for number in range(4)
            ]
            for number in (0, 1):
                await world.start_gateway(number=number + 1, exposure_slack=30.0)
                await world.wait_ready(number)
            callers = [
                asyncio.create_task(call_again(world, number, caller))
                for number in (0, 1)
                for caller in range(4)
            ]
            order(world, seconds=6.0, service="models")
            await wait_for(
                lambda: world.status_of("models") in {"rolled_back", "done"}, 10.0
            )
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            assert world.status_of("models") == "rolled_back"
            assert sum(len(engine.runs) for engine in new) < 100

    run(main())


async def count_new(world, new, *, number, asked=60):
    """Return how many of `asked` requests go to the new version."""
    before = sum(len(engine.runs) for engine in new)
    calls = (
        world.call(number=number, attempt=f"n{number}-{one}") for one in range(asked)
    )
    await asyncio.gather(*calls)
    return sum(len(engine.runs) for engine in new) - before


def test_a_clock_that_jumped_doesnt_hurry_a_roll_out(monkeypatch):
    """A gateway starts during a roll-out with a clock that is 50 seconds ahead.

    If the clock were trusted, the trial's first half would be over at all gateways,
    and all callers would get a version that hasn't been judged.
    """
    ahead = 0.0
    clock = types.SimpleNamespace(time=lambda: time.time() + ahead)
    monkeypatch.setattr(rollouts, "time", clock)

    async def main():
        nonlocal ahead
        async with make_world() as world:
            _, new = await add_versions(world)
            await world.start_gateway(number=1)
            await world.wait_ready(0)
            order(world, seconds=60.0)
            await wait_for(lambda: world.status_of("plain") == "running")
            ahead = 50.0
            second = await world.start_gateway(number=2)
            await world.wait_ready(1)
            await wait_for(lambda: second.rollouts.orders)
            assert await count_new(world, new, number=1) < 15
            await asyncio.sleep(1.0)
            assert await count_new(world, new, number=0) < 15
            assert await count_new(world, new, number=1) < 15

    run(main())


def test_a_second_roll_out_doesnt_use_the_first_one_s_start():
    """Operators order the next version after a roll-out has finished.

    The order still holds the status of the previous one, which began long ago.
    """

    async def main():
        async with make_world() as world:
            await add_versions(world)
            gateway = await world.start_gateway()
            await world.wait_ready()
            order(world, seconds=2.0)
            await wait_for(lambda: world.status_of("plain") == "done")
            new = [
                await world.add_engine(f"newest{number}", version="v3")
                for number in range(2)
            ]
            order(world, seconds=2.5, version="v3")
            await wait_for(lambda: gateway.rollouts.orders[0].version == "v3")
            assert await count_new(world, new, number=0) < 15

    run(main())


def test_a_roll_out_continues_after_all_gateways_restart():
    """No gateway is left that saw it begin, so its start comes from its status."""

    async def main():
        async with make_world() as world:
            _, new = await add_versions(world)
            first = await world.start_gateway(number=1)
            await world.wait_ready(0)
            order(world, seconds=8.0)
            await wait_for(lambda: world.status_of("plain") == "running")
            await asyncio.sleep(2.0)
            await first.close()
            await world.start_gateway(number=2)
            await world.wait_ready(1)
            began = asyncio.get_running_loop().time()
            await wait_for(lambda: world.status_of("plain") == "done")
            assert asyncio.get_running_loop().time() - began < 6.5

    run(main())
