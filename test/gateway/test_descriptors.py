"""Requests to a gateway that has as many descriptors as it may."""

from eelgrassrack.standins.directengine import Echo

from .test_stop_orders import read_outcome, use_up_descriptors
from .world import connect, make_world, run


def test_a_request_that_needs_a_new_connection_is_refused():
    """Guards against a close without an answer, and an endpoint that gets the blame."""

    async def main():
        async with make_world() as world:
            engine = await world.add_engine("e1", Echo())
            await world.start_gateway()
            await world.wait_ready()
            caller = await connect(world.settings[0].listen)
            with use_up_descriptors():
                caller.send("/look/1", attempt="a1")
                refused = await read_outcome(caller)
            assert refused == 503
            assert not engine.runs
            caller.send("/look/1", attempt="a2")
            assert await read_outcome(caller) == 200
            caller.close()

    run(main())
