"""A refusal that says "not run" is true, under failure."""

import pytest
from pytest_bdd import given, scenario, scenarios, then, when

from eelgrassrack.agent.records import AttemptRecords
from eelgrassrack.entry import dispatcher
from eelgrassrack.mailbox.messages import Load, Start

from .guards import breaks
from .links import first_of
from .world import NOT_RUN, TUTOR_EAST, TUTOR_WEST, check, make_narrow

scenarios("not_run.feature")


@pytest.fixture
def vows_forgotten(monkeypatch):
    monkeypatch.setattr(AttemptRecords, "add", lambda records, **vow: None)


@pytest.fixture
def last_word_counts(monkeypatch):
    monkeypatch.setattr(dispatcher, "_select_result", lambda last, new: new)


@breaks
@pytest.mark.usefixtures("vows_forgotten")
@scenario(
    "not_run.feature",
    'A request reaches its agent after its caller was told "not run"',
)
def test_vows_are_needed():
    pass


@breaks
@pytest.mark.usefixtures("last_word_counts")
@scenario(
    "not_run.feature",
    "Engines crash under requests and second attempts are refused",
)
def test_earlier_attempts_are_needed():
    pass


@when("a question with a deadline of one second is held up on its way")
def ask_held_up(world):
    world.links.fault(world.agent("tutor-east").address, holds=first_of(Start))
    world.ask("late", fields={"Eelgrassrack-Deadline": "1"})


@when("its caller has an answer")
def finish_one(world):
    world.finish()


@when("the question arrives at the agent after all")
def arrive(world):
    world.heal(world.agent("tutor-east").address)
    # Whatever the agent does with it is done once this one is answered.
    world.finish(world.ask("next"))


@given("two entries and two engines that stay down after a crash")
def start_engines(world):
    world.start(
        plans=[TUTOR_EAST, TUTOR_WEST], document=make_narrow(), restart_seconds=60.0
    )


@when("requests run and wait at both engines")
def fill(world):
    world.hold_engines()
    world.fill([world.agent("tutor-east"), world.agent("tutor-west")])


@when("what the agents report of their load is lost on its way")
def lose_reports(world):
    for entry in world.system.entries.values():
        world.links.fault(
            entry.address, loses=lambda message: isinstance(message, Load)
        )


@when("both engines crash")
def crash(world):
    async def crash():
        for engine in world.engines:
            engine.crash()

    world.run(crash())


@then("the callers whose requests ran were told so")
def check_ran(world):
    world.finish()
    ran = [sent for sent in world.sent if world.count_starts(prompt=sent.prompt)]
    assert len(ran) >= 2
    told = {(sent.answer.status, sent.answer.run) for sent in ran}
    check(told == {(502, "ran")}, str(told))


@when("forty questions with short deadlines come to both entries")
def overload(world):
    for engine in world.engines:
        engine.slow_factor = 5.0
    for number in range(40):
        world.ask(
            f"question {number}",
            entry=number % 2,
            fields={"Eelgrassrack-Deadline": "2"},
        )
    world.wait(lambda: sum(engine.whole for engine in world.engines) >= 4)


@when("an agent is killed and replaced")
def replace_agent(world):
    world.run(world.system.kill_agent("tutor-west"))
    world.run(world.system.start_agent("tutor-west"))


@then("the caller was told that the question was not run")
def check_told(world):
    answer = world.sent[0].answer
    check(answer.run == NOT_RUN and answer.status != 200, str(answer))


@then("the engine was never given the question")
def check_never(world):
    starts = world.count_starts(prompt="late")
    check(starts == 0, f"started {starts} times")


@then("some were refused as not run with a time to come back")
def check_some(world):
    refused = [a for a in world.finish() if a.run == NOT_RUN and a.status != 200]
    check(bool(refused), "none was refused")
    lacking = [a for a in refused if a.status in {429, 503} and not a.retry_after]
    check(not lacking, str(lacking[:2]))
