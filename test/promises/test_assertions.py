"""The assertions inside the program notice a rule that fails."""

import pytest

from eelgrassrack.agent import core
from eelgrassrack.agent.admission import Admitted
from eelgrassrack.agent.agent import Agent
from eelgrassrack.agent.attempts import Attempts
from eelgrassrack.agent.runner import Runner
from eelgrassrack.decisions.coldstart import Window
from eelgrassrack.decisions.pins import Keep
from eelgrassrack.entry import sessions
from eelgrassrack.entry.identity import Identity
from eelgrassrack.invariants import Promise
from eelgrassrack.mailbox.messages import Refusal
from eelgrassrack.store import ledger
from eelgrassrack.store.records import put_record

from .world import TUTOR_EAST, TUTOR_WEST, make_narrow


def fill_engines(world):
    world.start(plans=[TUTOR_EAST, TUTOR_WEST], document=make_narrow())
    world.hold_engines()
    world.fill([world.agent("tutor-east"), world.agent("tutor-west")])


def withdraw_behind_an_open_gate(world, monkeypatch):
    monkeypatch.setattr(core, "check_admission", lambda **asked: Admitted())
    fill_engines(world)
    for version in ("tutor/1", "tutor/2"):
        world.wait_in_force(world.withdraw(version))
    world.release_engines()


def take_out_behind_an_open_gate(world, monkeypatch):
    monkeypatch.setattr(core, "check_admission", lambda **asked: Admitted())
    fill_engines(world)
    world.wait_in_force(world.take_out("east"))
    world.release_engines()


def leave_behind_an_open_gate(world, monkeypatch):
    monkeypatch.setattr(core, "check_admission", lambda **asked: Admitted())
    fill_engines(world)
    world.system.instances.leave("tutor-east")
    world.wait(world.agent("tutor-east")._core.state.is_leaving)
    world.release_engines()


def start_more_than_the_window(world, monkeypatch):
    monkeypatch.setattr(Window, "count_free", lambda window, *, running: 9)
    monkeypatch.setattr(Runner, "_find_last_refusal", lambda runner, attempt: None)
    world.start(plans=[TUTOR_EAST])
    for number in range(6):
        world.ask(f"question {number}")


def revert_an_agent(world, monkeypatch):
    monkeypatch.setattr(core, "merge_facts", lambda known, offered: offered)
    world.start(plans=[TUTOR_EAST])
    old = world.agent("tutor-east")._core.state.facts
    world.wait_in_force(world.withdraw("tutor/2"))

    async def send_late():
        world.entry()._post(world.agent("tutor-east").address, old)

    world.run(send_late())
    broken = world.system.invariants.broken
    world.wait(lambda: broken[Promise.CONFIGURATION])


def use_an_attempt_id_twice(world, monkeypatch):
    monkeypatch.setattr(Identity, "make_attempt", lambda identity: "the same")
    world.start(plans=[TUTOR_EAST])
    world.hold_engines()
    for number in range(2):
        world.ask(f"question {number}")
    world.wait(lambda: len(world.entry().channels) == 1)
    world.wait(lambda: world.system.invariants.checked[Promise.WHOLE_ANSWER] == 2)
    for sent in world.sent:
        sent.task.cancel()
    world.sent.clear()


def stop_without_draining(world, monkeypatch):
    monkeypatch.setattr(Agent, "_may_close", lambda agent, waited: True)
    world.start(plans=[TUTOR_EAST])
    world.hold_engines()
    world.ask("question")
    world.wait(lambda: world.standin("tutor-east").running)
    world.run(world.system.stop_agent("tutor-east"))


def choose_another_version(world, monkeypatch):
    monkeypatch.setattr(sessions, "choose_version", lambda **asked: "tutor/2")
    world.start(plans=[TUTOR_EAST])
    world.ask("question", caller="college")


def move_a_session(world, monkeypatch):
    monkeypatch.setattr(sessions, "judge_pin", move_pin)
    world.start(plans=[TUTOR_EAST])
    world.ask("question", fields={"Eelgrassrack-Session": "one"})


def move_pin(*, pin, active, permitted):
    """Keep a session on the version that isn't its own."""
    [other] = active - {pin.version}
    return Keep(version=other)


def refuse_what_runs(world, monkeypatch):
    world.start(plans=[TUTOR_EAST])
    world.hold_engines()
    world.ask("question")
    agent = world.agent("tutor-east")
    world.wait(lambda: agent._attempts.running)
    [attempt] = agent._attempts.running.values()

    async def refuse():
        agent._core.refuse(attempt, Refusal.FULL)

    world.run(refuse())
    world.release_engines()


def begin_twice(world, monkeypatch):
    original = Attempts.begin

    def begin(attempts, attempt, *, now):
        original(attempts, attempt, now=now)
        return original(attempts, attempt, now=now)

    monkeypatch.setattr(Attempts, "begin", begin)
    world.call_seconds = 1.0
    world.start(plans=[TUTOR_EAST])
    world.ask("question")


def flush_twice(world, monkeypatch):
    async def put(**arguments):
        return await put_record(**{**arguments, "is_own": lambda found: False})

    monkeypatch.setattr(ledger, "put_record", put)
    world.start(plans=[TUTOR_EAST])
    world.system.table.lose_answers = 3
    world.ask("question")
    broken = world.system.invariants.broken
    world.wait(lambda: broken[Promise.BILLED_ONCE])


CASES = {
    Promise.PERMITTED: choose_another_version,
    Promise.SESSION: move_a_session,
    Promise.NOT_RUN: refuse_what_runs,
    Promise.AT_MOST_ONCE: begin_twice,
    Promise.BILLED_ONCE: flush_twice,
    Promise.WITHDRAWN: withdraw_behind_an_open_gate,
    Promise.DOMAIN_OUT: take_out_behind_an_open_gate,
    Promise.LEAVING: leave_behind_an_open_gate,
    Promise.COLD_START: start_more_than_the_window,
    Promise.CONFIGURATION: revert_an_agent,
    Promise.WHOLE_ANSWER: use_an_attempt_id_twice,
    Promise.GRACEFUL_STOP: stop_without_draining,
}


@pytest.mark.parametrize("promise", CASES)
def test_a_rule_that_fails_is_noticed(world, monkeypatch, promise):
    """A rule of the program fails, as by a fault in a later change.

    Whoever looks at the counts of broken promises sees which one it was.
    """
    CASES[promise](world, monkeypatch)
    world.finish()
    broken = world.system.invariants.broken
    assert broken[promise] >= 1, broken
