"""A leaving endpoint gets no new work, under failure."""

import pytest
from pytest_bdd import scenario, scenarios, then, when

from eelgrassrack.agent.admission import AgentState

from .guards import breaks_promise
from .world import check

scenarios("leaving.feature")

LAG_SECONDS = 0.3


@pytest.fixture
def admission_unchecked(monkeypatch, world):
    world.knows_leaving = False
    monkeypatch.setattr(AgentState, "is_leaving", lambda state: False)


@breaks_promise
@pytest.mark.usefixtures("admission_unchecked")
@scenario("leaving.feature", "An agent is told to stop while requests wait at it")
def test_admission_check_is_needed_at_a_stop():
    pass


@breaks_promise
@pytest.mark.usefixtures("admission_unchecked")
@scenario(
    "leaving.feature",
    "The instance list lags, and an entry is killed",
)
def test_admission_check_is_needed_after_a_notice():
    pass


@breaks_promise
@pytest.mark.usefixtures("admission_unchecked")
@scenario(
    "leaving.feature",
    "An operator drains an endpoint and the object API goes down",
)
def test_admission_check_is_needed_at_a_drain():
    pass


@when("requests run and wait at both engines")
def fill(world):
    world.hold_engines()
    world.fill([world.agent("tutor-east"), world.agent("tutor-west")])


@when("the agent in the east is told to stop")
def stop_agent(world):
    world.stopping = world.loop.create_task(world.system.stop_agent("tutor-east"))
    world.run(run_due_tasks())


async def run_due_tasks():
    """Let the event loop run the tasks that are due."""


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


@when("the engines resume")
def resume(world):
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
    starts = len(world.standin("tutor-east").started)
    check(starts == 1, f"the east was given {starts}")
