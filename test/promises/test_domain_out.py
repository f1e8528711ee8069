"""A failure domain that is out gets no new work, under failure."""

import pytest
from pytest_bdd import parsers, scenario, scenarios, then, when

from eelgrassrack.agent.admission import AgentState
from eelgrassrack.document.snapshot import Snapshot

from .guards import breaks
from .world import NOT_RUN, check

scenarios("domain_out.feature")


@pytest.fixture
def gate_open(monkeypatch):
    monkeypatch.setattr(AgentState, "is_out", lambda standing: False)


@pytest.fixture
def domains_unheeded(monkeypatch, gate_open):
    monkeypatch.setattr(Snapshot, "is_domain_in", lambda snapshot, *, domain: True)


@breaks
@pytest.mark.usefixtures("gate_open")
@scenario(
    "domain_out.feature",
    "A domain is taken out while requests wait at its agent",
)
def test_gate_is_needed():
    pass


@breaks
@pytest.mark.usefixtures("domains_unheeded")
@scenario("domain_out.feature", "The last domain is taken out, and one comes back")
def test_domain_states_are_needed():
    pass


@when("requests run and wait at both engines")
def fill(world):
    world.hold_engines()
    agents = [world.agent("tutor-east"), world.agent("tutor-west")]
    world.fill(agents)


@when(parsers.parse("the domain {name} is taken out"))
def take_out(world, name):
    revision = world.take_out(name, team="traffic", pattern="domain *")
    world.wait_in_force(revision)


@when(parsers.parse("the domain {name} is brought back"))
def bring_back(world, name):
    header = f"[domain {name}]\n"
    revision = world.apply(
        f"{header}state = out\n", header, team="traffic", pattern="domain *"
    )
    world.wait_in_force(revision)


@when("the engines go on")
def go_on(world):
    world.release_engines()
    world.finish()


@when("eight questions come to entry 1")
def ask(world):
    for _ in range(8):
        world.ask(f"question {len(world.sent)}", entry=1)
    world.finish()


@then("the engine in the east was given one request")
def check_east(world):
    given = len(world.standin("tutor-east").started)
    check(given == 1, f"the east was given {given}")


@then("the engines in the east were given nothing")
def check_nothing(world):
    world.finish()
    given = len(world.standin("tutor-east").started)
    check(given == 0, f"the east was given {given}")


@then("each was refused because the domains are out, not run")
def check_refused(world):
    told = {(a.status, a.code, a.run) for a in world.finish()}
    check(told == {(503, "domains_out", NOT_RUN)}, str(told))
    check(all(a.retry_after for a in world.finish()), "no time to come back")


@then("the last eight got their whole answers")
def check_served(world):
    answers = world.finish()[-8:]
    check(all(a.is_whole for a in answers), str(answers))
