"""Long prompts beside short ones.

Pattern: a few prompts are a hundred times as long as most.  While an engine reads one,
the first token of a short prompt that comes to it takes as long as its objective.
"""

import asyncio

import pytest

from eelgrassrack.gateway.peers import peerupdates
from eelgrassrack.standins.directengine import Hang

from .world import make_world, run, wait_for

# No update is due during the test, and only urgent ones are sent.
NEVER_SECONDS = 600.0


async def ask(world, tokens):
    headers = [("X-Model", "small"), ("X-Token-Usage", f"{tokens},50")]
    await world.call("/chat/1", headers=headers)


@pytest.mark.parametrize(("tokens", "is_told"), [(100_000, True), (1_000, False)])
def test_peers_learn_at_once_of_a_long_prompt(monkeypatch, tokens, is_told):
    """Otherwise they send short prompts to its endpoint for another quarter second."""

    async def main():
        async with make_world() as world:
            await world.add_engine("e1", Hang(), service="models")
            for number in (1, 2):
                await world.start_gateway(number=number)
                await world.wait_ready(number - 1)
            first, second = world.gateways
            await wait_for(lambda: first.gateway_count == second.gateway_count == 2)
            await wait_for(lambda: first._update_exchange.latest)
            monkeypatch.setattr(peerupdates, "UPDATE_SECONDS", NEVER_SECONDS)
            # The pause that has begun ends.
            await asyncio.sleep(0.5)
            asking = asyncio.ensure_future(ask(world, tokens))
            engine = world.engines["e1"]
            await wait_for(lambda: engine.runs)
            await asyncio.sleep(0.3)
            second._placer.detect_outliers()
            assert (second.fleet.find("e1").peer_backlog.whole > 0.5) is is_told
            asking.cancel()

    run(main())
