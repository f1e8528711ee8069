"""A withdrawn version gets no new work, under failure."""

import pytest
from pytest_bdd import parsers, scenario, scenarios, then, when

from eelgrassrack.agent.admission import AgentState
from eelgrassrack.agent.pause import PauseDetector
from eelgrassrack.mailbox.messages import Start

from .guards import breaks
from .world import NOT_RUN, check

scenarios("withdrawn.feature")

FROZEN_SECONDS = 3.0


@pytest.fixture
def gate_open(monkeypatch):
    monkeypatch.setattr(AgentState, "is_withdrawn", lambda standing, start: False)


@pytest.fixture
def pause_unnoticed(monkeypatch):
    monkeypatch.setattr(PauseDetector, "detect_pause", lambda watch: None)


@breaks
@pytest.mark.usefixtures("gate_open")
@scenario(
    "withdrawn.feature",
    "A version is withdrawn while requests for it wait at an agent",
)
def test_gate_is_needed():
    pass


@breaks
@pytest.mark.usefixtures("pause_unnoticed")
@scenario("withdrawn.feature", "An agent is frozen while the version is withdrawn")
def test_pause_watch_is_needed():
    pass


@when("a request for tutor/2 runs and three more wait")
def fill(world):
    engine = world.standin("tutor-east")
    engine.never_answer = True
    world.ask("first", model="tutor/2", fields={"Eelgrassrack-Deadline": "15"})
    world.wait(lambda: engine.running == 1)
    for number in range(3):
        world.ask(f"waiting {number}", model="tutor/2", entry=number % 2)
    agent = world.agent("tutor-east")
    world.wait(lambda: len(agent._core.queue) == 3)


@when(parsers.parse("{version} is withdrawn"))
def withdraw(world, version):
    world.withdraw(version, team="releases", pattern="version *")


@when("the engine goes on")
def go_on(world):
    world.standin("tutor-east").never_answer = False
    world.finish()


@when("the agent freezes")
def freeze(world):
    world.links.fault(world.agent("tutor-east").address, holds=lambda message: True)


@when("the agent wakes, reads no message yet, and the engine goes on")
def wake(world):
    agent = world.agent("tutor-east")
    world.clocks["tutor-east"].ahead += FROZEN_SECONDS
    world.standin("tutor-east").never_answer = False
    world.wait(lambda: world.standin("tutor-east").whole >= 1)
    world.wait(lambda: not agent._core.slots)


@when("the agent wakes, reads requests only, and the engine goes on")
def wake_in_doubt(world):
    agent = world.agent("tutor-east")
    world.links.find(agent.address).holds = lambda message: (
        not isinstance(message, Start)
    )
    world.clocks["tutor-east"].ahead += FROZEN_SECONDS
    world.standin("tutor-east").never_answer = False
    world.wait(lambda: world.standin("tutor-east").whole >= 1)
    world.wait(lambda: all(sent.task.done() for sent in world.sent[1:]))


@then("the agent reads its messages")
@when("the agent reads its messages")
def read_messages(world):
    world.heal(world.agent("tutor-east").address)
    world.finish()


@when("another entry joins as entry 0")
def replace_entry(world):
    world.run(world.system.add_entry("entry-0"))
    world.wait(lambda: world.system.is_ready(revision=2))


@when("eight requests for tutor and one for tutor/2 come to entry 0")
def ask_replacement(world):
    for number in range(8):
        world.ask(f"question {number}")
    world.ask("bad", model="tutor/2")


@then("the three were refused as withdrawn and not run")
def check_refused(world):
    answers = world.finish()[1:]
    told = {(a.status, a.code, a.run) for a in answers}
    check(told == {(410, "version_withdrawn", NOT_RUN)}, str(told))


@then("the engine was given tutor/2 once")
def check_engine(world):
    starts = world.count_starts(version="tutor/2")
    check(starts == 1, f"tutor/2 started {starts} times")


@then("the one for tutor/2 was refused and the others got tutor/1")
def check_versions(world):
    *others, refused = world.finish()
    check((refused.status, refused.run) == (410, NOT_RUN), str(refused))
    check({a.version for a in others} == {"tutor/1"}, str(others))
