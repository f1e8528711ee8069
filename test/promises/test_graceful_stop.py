"""A planned stop cuts no request, under failure."""

import asyncio

import pytest
from pytest_bdd import scenario, scenarios, then, when

from eelgrassrack.agent.agent import Agent
from eelgrassrack.entry.entry import EntryDaemon

from .guards import breaks_promise

scenarios("graceful_stop.feature")

SHORT_CALL_SECONDS = 2.0  # for answers that never come
LONG_TOKENS = 60


@pytest.fixture
def entry_closes_at_once(monkeypatch, world):
    async def skip_wait(daemon, extra):
        pass

    monkeypatch.setattr(EntryDaemon, "_may_close", lambda daemon, waited: True)
    monkeypatch.setattr(EntryDaemon, "_wait_idle", skip_wait)
    world.call_seconds = SHORT_CALL_SECONDS


@pytest.fixture
def agent_closes_at_once(monkeypatch, world):
    monkeypatch.setattr(Agent, "_may_close", lambda agent, waited: True)
    world.call_seconds = SHORT_CALL_SECONDS


@breaks_promise
@pytest.mark.usefixtures("entry_closes_at_once")
@scenario("graceful_stop.feature", "An entry is stopped while it streams answers")
def test_draining_of_entries_is_needed():
    pass


@breaks_promise
@pytest.mark.usefixtures("agent_closes_at_once")
@scenario(
    "graceful_stop.feature",
    "An agent is stopped while its engine streams answers",
)
def test_draining_of_agents_is_needed():
    pass


@when("eight long questions are being answered through both entries")
def ask_long(world):
    world.stops = []
    for number in range(8):
        world.ask(f"long {number}", entry=number % 2, tokens=LONG_TOKENS)
    world.wait(lambda: all(engine.running for engine in world.engines))


@when("entry 0 is stopped as planned, just after two more came to it")
def stop_entry(world):
    counts = world.entry().core.meter.counts
    before = counts["requests"]
    for number in range(2):
        world.ask(f"late {number}")
    world.wait(lambda: counts["requests"] == before + 2)
    stop(world, world.system.stop_entry("entry-0"))


@when("the agent in the east is stopped as planned, and two questions come")
def stop_agent(world):
    stop(world, world.system.stop_agent("tutor-east"))
    for number in range(2):
        world.ask(f"late {number}", entry=number)


@when("entry 0 and the agent in the east are stopped as planned")
def stop_both(world):
    stop(world, world.system.stop_entry("entry-0"))
    stop(world, world.system.stop_agent("tutor-east"))


@then("the stop has ended")
def finish_stops(world):
    world.run(asyncio.wait(world.stops))
    for task in world.stops:
        task.result()


def stop(world, work):
    world.stops.append(world.loop.create_task(work))
