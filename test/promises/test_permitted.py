"""A request runs only on a permitted model and version, under failure."""

import pytest
from pytest_bdd import parsers, scenario, scenarios, then, when

from eelgrassrack.document.snapshot import Snapshot

from .guards import breaks_promise
from .world import NOT_RUN, check

scenarios("permitted.feature")


@pytest.fixture
def everything_allowed(monkeypatch):
    def allow(snapshot, *, organisation, version):
        return True

    monkeypatch.setattr(Snapshot, "allows", allow)


@breaks_promise
@pytest.mark.usefixtures("everything_allowed")
@scenario(
    "permitted.feature",
    "The engine crashes that serves an organisation with one version",
)
def test_permission_is_needed():
    pass


@breaks_promise
@pytest.mark.usefixtures("everything_allowed")
@scenario("permitted.feature", "An operator narrows what an organisation may use")
def test_permission_is_needed_after_a_change():
    pass


@when("the college and the school ask twenty questions each")
def ask_both(world):
    for number in range(20):
        for name in ("college", "school"):
            world.ask(f"{name} {number}", caller=name, entry=number % 2)


@when("an engine crashes")
def crash(world):
    world.crash_engine()


@when("the school is allowed tutor/1 only")
def narrow(world):
    world.apply("allows = tutor\n", "allows = tutor/1\n")


@when("it asks ten questions and one for tutor/2")
def ask_school(world):
    for number in range(10):
        world.ask(f"school {number}", entry=number % 2)
    world.ask("forbidden", model="tutor/2")


@then("the one for tutor/2 was refused as not allowed and not run")
def check_refused(world):
    answer = world.finish()[-1]
    outcome = (answer.status, answer.code, answer.run)
    check(outcome == (403, "model_not_allowed", NOT_RUN), str(answer))


@then(parsers.parse("no engine was given another version than tutor/1 for the {name}"))
def check_versions(world, name):
    versions = {
        record.version
        for engine in world.engines
        for record in engine.started
        if record.prompt.startswith(name)
    }
    check(versions <= {"tutor/1"}, f"{name} got {versions}")
