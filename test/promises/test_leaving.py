"""A leaving endpoint gets no new work, under failure."""

import pytest
from pytest_bdd import scenario, scenarios, then, when

from eelgrassrack.agent.admission import AgentState

from .guards import breaks
from .world import check

scenarios("leaving.feature")

LAG_SECONDS = 0.3


@pytest.fixture
def gate_open(monkeypatch, world):
    world.knows_leaving = False
    monkeypatch.setattr(AgentState, "is_leaving", lambda standing: False)


@breaks
@pytest.mark.usefixtures("gate_open")
@scenario("leaving.feature", "An agent is told to stop while requests wait at it")
def test_gate_is_needed_at_a_stop():
    pass


@breaks
@pytest.mark.usefixtures("gate_open")
@scenario(
    "leaving.feature",
    "The instance list says so late, and an entry is killed",
)
def test_gate_is_needed_after_a_notice():
    pass


@breaks
@pytest.mark.usefixtures("gate_open")
@scenario(
    "leaving.feature",
    "An operator drains an endpoint and the object API goes down",
)
def test_gate_is_needed_at_a_drain():
    pass


@when("requests run and wait at both engines")
def fill(world):
    world.hold_engines()
    world.fill([world.agent("tutor-east"), world.agent("tutor-west")])


@when("the engine in the east is told to go")
def tell_to_go(world):
    world.stopping = world.loop.create_task(world.system.stop_agent("tutor-east"))
    world.run(let_run())


async def let_run():
    """Let what is due run once."""


@when("the instance list marks the east as leaving, with a lag")
def mark(world):
    instances = world.system.instances

    async def leave():
        instances.lag = LAG_SECONDS
        instances.leave("tutor-east")
        instances.lag = 0.0

    world.run(leave())
    world.wait(lambda: any(each.leaving for each in instances.shown.instances))
    if world.knows_leaving:
        world.wait(world.agent("tutor-east")._core.state.is_leaving)


@when("an operator drains the engine in the east")
def drain(world):
    revision = world.apply(
        "[domain east]\n",
        "[endpoint tutor-east]\nstate = draining\n[domain east]\n",
        team="traffic",
        pattern="endpoint *",
    )
    world.wait_in_force(revision)


@when("the engines go on")
def go_on(world):
    world.release_engines()
    world.finish()


@when("eight questions come to entry 1")
def ask(world):
    for number in range(8):
        world.ask(f"question {number}", entry=1)
    world.finish()


@then("the engine in the east was given one request")
def check_east(world):
    world.finish()
    given = len(world.standin("tutor-east").started)
    check(given == 1, f"the east was given {given}")
