"""A session keeps its version, under failure."""

import collections

import pytest
from pytest_bdd import parsers, scenario, scenarios, then, when

from eelgrassrack.store.pins import Pin, Pins

from .guards import breaks_promise
from .world import NOT_RUN, check

scenarios("session.feature")

SESSIONS = 12


@pytest.fixture
def pins_unwritten(monkeypatch):
    async def create(pins, name, version):
        return Pin(version=version, used_at=pins._clock())

    monkeypatch.setattr(Pins, "_create", create)


@breaks_promise
@pytest.mark.usefixtures("pins_unwritten")
@scenario("session.feature", "Two entries see a new session at the same moment")
def test_pins_are_needed():
    pass


@breaks_promise
@pytest.mark.usefixtures("pins_unwritten")
@scenario(
    "session.feature",
    "The entry that pinned the sessions is killed after lost answers",
)
def test_pins_are_needed_after_a_kill():
    pass


def ask_session(world, number, entry, **fields):
    fields = {"Eelgrassrack-Session": f"session {number}", **fields}
    return world.ask(
        f"session {number} asks {len(world.sent)}", entry=entry, fields=fields
    )


@when("the object API is slow")
def slow_down(world):
    world.system.table.delay = 0.02


@when("each of twelve sessions asks through both entries at once")
def ask_both(world):
    for number in range(SESSIONS):
        ask_session(world, number, 0)
        ask_session(world, number, 1)


@when(parsers.parse("each of twelve sessions asks through entry {entry:d}"))
def ask_one(world, entry):
    for number in range(SESSIONS):
        ask_session(world, number, entry)


@when("a session asks through entry 0 and keeps its token")
def begin(world):
    sent = ask_session(world, 0, 0)
    world.finish(sent)


@when("the session's version is withdrawn")
def withdraw(world):
    world.withdraw(world.sent[0].answer.version)


@when("the session asks through entry 1 with its token and without")
def ask_again(world):
    token = {"Eelgrassrack-Session-Token": world.sent[0].answer.token}
    ask_session(world, 0, 1, **token)
    ask_session(world, 0, 1)


@then("each session got one version")
def check_versions(world):
    world.finish()
    versions = collections.defaultdict(set)
    for sent in world.sent:
        check(sent.answer.status == 200, str(sent.answer))
        versions[sent.prompt.partition(" asks")[0]].add(sent.answer.version)
    moved = {name: found for name, found in versions.items() if len(found) > 1}
    check(not moved, f"moved: {moved}")


@then("the request with the token got the session's version")
def check_token(world):
    first, second, _ = world.finish()
    check(second.status == 200 and second.version == first.version, str(second))


@then("the request without was refused as not run with a Retry-After")
def check_refused(world):
    answer = world.finish()[-1]
    check((answer.status, answer.run) == (503, NOT_RUN), str(answer))
    check(bool(answer.retry_after), str(answer))


@then("both were refused because the session's version is withdrawn")
def check_withdrawn(world):
    outcomes = {(a.status, a.code, a.run) for a in world.finish()[1:]}
    check(outcomes == {(410, "session_version_withdrawn", NOT_RUN)}, str(outcomes))
