"""Tests of an entry that hears nobody because it is late itself."""

import asyncio
import time

import pytest

from ..promises.world import REGISTRY, TUTOR_EAST, TUTOR_WEST, World

# Longer than an agent may be silent before it counts as gone.
LATE_SECONDS = 7.0

# Tokens of a stream that lasts longer than that, at the stand-in's 200 a second.
TOKENS = 1_700


@pytest.fixture
def world(monkeypatch):
    world = World(monkeypatch)
    try:
        yield world
    finally:
        world.close()


def start(world):
    world.start(plans=[TUTOR_EAST, TUTOR_WEST, REGISTRY])


def begin_stream(world):
    """Send a request for a long stream, and wait until its caller has a part of it."""
    start(world)
    sent = world.ask("streams", tokens=TOKENS)
    channels = world.entry().channels
    world.wait(lambda: any(each.has_delivered for each in list_channels(channels)))
    return sent


def list_channels(channels):
    return channels._by_attempt.values()


def cut_link(world):
    """Hold all messages to entry 0 for a while, then deliver them."""
    address = world.entry().address
    world.links.fault(address, holds=lambda message: True)
    world.run(asyncio.sleep(LATE_SECONDS))
    world.links.heal(address)


def hold_up_loop(world):
    """Hold up the event loop, as if the instance were frozen."""

    async def block():
        time.sleep(LATE_SECONDS)

    world.run(block())


@pytest.mark.parametrize("come_late", [cut_link, hold_up_loop])
def test_a_stream_outlasts_the_lateness_of_its_entry(world, come_late):
    """Guards against an entry that cuts streams because it hears nobody.

    Its link, or its event loop, is held up, so that all agents seem silent at once.
    """
    sent = begin_stream(world)
    come_late(world)
    (answer,) = world.finish(sent)
    assert (answer.status, answer.code) == (200, "")
    assert world.count_starts(prompt="streams") == 1
    world.check_all()


def test_a_run_that_isnt_repeatable_outlasts_the_lateness_of_its_entry(world):
    """Guards against an entry that calls an outcome unknown because it hears nobody.

    The entry's link is cut just before it sends the attempt, and the agent's reply
    arrives late.
    """
    start(world)
    sent = world.issue("key")
    address = world.entry().address
    world.links.fault(address, holds=lambda message: True)
    world.wait(lambda: world.count_effects("key"))
    world.run(asyncio.sleep(LATE_SECONDS))
    world.links.heal(address)
    (answer,) = world.finish(sent)
    assert (answer.status, answer.code) == (200, "")
    assert world.count_effects("key") == 1


def test_a_dead_agent_is_noticed_while_others_are_heard(world):
    """Guards against callers that wait for a dead agent until their deadline."""
    sent = begin_stream(world)
    (channel,) = list_channels(world.entry().channels)
    world.links.fault(world.entry().address, cut_from=channel.address)
    before = world.loop.time()
    (answer,) = world.finish(sent)
    assert world.loop.time() - before < LATE_SECONDS + 1.0
    assert not answer.is_whole
