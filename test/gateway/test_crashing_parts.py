"""Tests with a prompt part that crashes each endpoint that answers on it."""

import asyncio
import itertools

import pytest

from eelgrassrack.gateway.requests.queryguard import QueryGuard
from eelgrassrack.standins.directengine import Events

from .crashing import GUILTY, SHARED, CrashingFleet, check, play
from .world import make_world, run, wait_for


@pytest.mark.parametrize("seed", [1, 2])
def test_requests_that_share_a_crashing_part_stop(seed):
    """No two are alike; each crashes the endpoints that answer it, one by one."""

    async def main():
        async with make_world() as world:
            check(*await play(world, seed=seed))

    run(main())


def test_a_crashing_part_is_found_though_its_answers_are_dropped():
    """The gateway drops an unsure answer, and its endpoint crashes only then."""

    async def main():
        async with make_world() as world:
            unsure = Events(count=4, gap=0.04, confidence=1)
            check(*await play(world, seed=3, step=unsure))

    run(main())


def test_a_crashing_part_is_found_among_other_crashes():
    """Endpoints also crash of themselves, and a failure domain loses its power."""

    async def main():
        async with make_world() as world:
            numbers = itertools.count(1)

            async def disturb(fleet):
                fleet.crash("z1" if next(numbers) == 3 else None)

            check(*await play(world, seed=4, disturb=disturb))

    run(main())


def make_headers(*parts):
    return (("X-Model", "small"), ("X-Prompt-Prefix", ",".join(parts)))


async def crash_three(world, *, gateways=1):
    """Crash three endpoints by requests with the guilty part, one after the other."""
    fleet = CrashingFleet(world=world, count=4, step=Events(count=3))
    await fleet.start()
    for number in range(1, gateways + 1):
        await world.start_gateway(number=number)
        await world.wait_ready(number - 1)
    for number in range(3):
        headers = make_headers(SHARED, f"{GUILTY}:200", f"{number}:1")
        body = b"%d" % number
        await world.call("/final/1", attempt=f"a{number}", headers=headers, body=body)
        await asyncio.sleep(0.4)
    assert len(fleet.crashes) == 3
    return fleet


def test_a_gateway_that_starts_does_not_send_what_is_blocked():
    """Otherwise each one that starts would crash three endpoints of its own."""

    async def main():
        async with make_world() as world:
            fleet = await crash_three(world)
            await world.start_gateway(number=2)
            headers = make_headers(SHARED, f"{GUILTY}:200", "ff:1")
            refusal = await world.call("/final/1", number=1, headers=headers)
            assert refusal.status == 503
            assert len(fleet.crashes) == 3
            fleet.close()

    run(main())


def test_requests_that_wait_for_a_connection_are_not_sent_once_blocked(monkeypatch):
    """They were placed before the part was known to crash endpoints."""

    async def main():
        async with make_world() as world:
            fleet = await crash_three(world)
            find_refusal = QueryGuard.find_refusal
            placed = iter([None])
            monkeypatch.setattr(QueryGuard, "may_send", lambda guard, job: True)
            monkeypatch.setattr(
                QueryGuard,
                "find_refusal",
                lambda guard, job: next(placed, find_refusal(guard, job)),
            )
            headers = make_headers(SHARED, f"{GUILTY}:200", "ff:1")
            refusal = await world.call("/final/1", headers=headers)
            assert refusal.status == 503
            assert len(fleet.crashes) == 3
            fleet.close()

    run(main())


def test_odd_prompts_are_served():
    """Parts repeat, aren't hexadecimal, come by the thousand or are missing."""

    async def main():
        async with make_world() as world:
            fleet = await crash_three(world)
            many = [f"x{number}:1" for number in range(1_000)]
            for parts in (many, ["zz!:1"] * 5, [f"{GUILTY}:200"], ["no"], []):
                headers = make_headers(*parts)
                answer = await world.call("/final/1", headers=headers)
                # Guilty as its own last part, a request isn't blamed for it before.
                if parts == [f"{GUILTY}:200"]:
                    await wait_for(lambda: len(fleet.crashes) == 4)
                else:
                    assert answer.status == 200
            fleet.close()

    run(main())
