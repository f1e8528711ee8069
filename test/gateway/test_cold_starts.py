"""Endpoints in a cold start, to which all gateways send at once."""

import asyncio

from .world import make_world, run, wait_for

GATEWAYS = 3

# Of the 20 requests a second that an endpoint of the test's configuration bears.
COLD_OVERAGE = 0.1
MOST_A_SECOND = 20 * COLD_OVERAGE


def find_busiest(runs):
    """Return the most requests that began within one second."""
    times = [one.at for one in runs]
    return max(
        sum(start <= at < start + 1.0 for at in times) for start in times or [0.0]
    )


async def start_gateways(world):
    for number in range(1, GATEWAYS + 1):
        await world.start_gateway(number=number, cold_overage=COLD_OVERAGE)
    for number, gateway in enumerate(world.gateways):
        await world.wait_ready(number)
        await wait_for(lambda one=gateway: one.entries == GATEWAYS)


def test_more_gateways_than_a_cold_endpoint_bears_requests_a_second():
    """Three gateways share a limit of two requests a second, and each has some.

    One from each is more than the endpoint bears, and it would crash.
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
            assert [one.status for one in answers] == [200] * GATEWAYS * 2
            times = sorted(run.at for run in engine.runs)
            cold = [one for one in engine.runs if one.at < times[0] + 1.5]
            assert find_busiest(cold) <= MOST_A_SECOND

    run(main())
