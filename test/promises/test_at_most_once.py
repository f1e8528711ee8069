"""A request that may not be repeated runs at most once, under failure."""

import asyncio
import json

import pytest
from pytest_bdd import scenario, scenarios, then, when

from eelgrassrack.agent.records import AttemptRecords
from eelgrassrack.mailbox.messages import Start
from eelgrassrack.store.claims import ClaimAcquired, Claims

from .guards import breaks
from .links import first_of
from .world import NOT_RUN, check

scenarios("at_most_once.feature")

KEY = "credential 17"
SERVICE_SECONDS = 0.5
MOST_RESENDS = 20


@pytest.fixture
def claims_unwritten(monkeypatch):
    async def put(claims, name, claim, version):
        return ClaimAcquired(version=1)

    monkeypatch.setattr(Claims, "_put", put)


@pytest.fixture
def vows_forgotten(monkeypatch):
    monkeypatch.setattr(AttemptRecords, "add", lambda records, **vow: None)


@breaks
@pytest.mark.usefixtures("claims_unwritten")
@scenario("at_most_once.feature", "The entry is killed while it issues a credential")
def test_claims_are_needed_after_a_kill():
    pass


@breaks
@pytest.mark.usefixtures("claims_unwritten")
@scenario("at_most_once.feature", "The same request comes through both entries at once")
def test_claims_are_needed_in_a_race():
    pass


@breaks
@pytest.mark.usefixtures("claims_unwritten")
@scenario(
    "at_most_once.feature",
    "The service breaks off after it has issued the credential",
)
def test_claims_are_needed_after_a_break():
    pass


@breaks
@pytest.mark.usefixtures("vows_forgotten")
@scenario("at_most_once.feature", "The message that starts the request comes late")
def test_vows_are_needed():
    pass


@breaks
@pytest.mark.usefixtures("vows_forgotten")
@scenario(
    "at_most_once.feature",
    "An entry is frozen after it has claimed the request",
)
def test_vows_are_needed_after_a_freeze():
    pass


@when("everything that entry 0 sends to the agent is held up")
def hold_entry(world):
    agent = world.agent("registry")
    world.links.fault(agent.address, held_from=world.entry().address)


@when("a credential is claimed through entry 0")
def claim(world):
    link = world.links.find(world.agent("registry").address)
    link.held.clear()
    world.issue(KEY)
    world.wait(lambda: any(b"credential" in data for _, data in link.held))


@when("a credential is being issued through entry 0")
def begin(world):
    service = world.standin("registry")
    service.delay = SERVICE_SECONDS
    world.issue(KEY)
    world.wait(lambda: service.running == 1)


@when("the object API is slow")
def slow_down(world):
    world.system.table.delay = 0.02


@when("the service breaks off each answer after its effect")
def break_off(world):
    world.standin("registry").crash_after_effect = True


@when("the agent is killed and replaced")
def replace_agent(world):
    world.run(world.system.kill_agent("registry"))
    world.run(world.system.start_agent("registry"))


@when("the first message that starts a request is held up on its way")
def hold_first(world):
    world.links.fault(world.agent("registry").address, holds=first_of(Start))


@when("the held message arrives after all")
def arrive(world):
    world.heal(world.agent("registry").address)
    # Whatever the agent does with it is done once this one is answered.
    world.finish(world.issue("another credential"))


@when("a credential is asked for through entry 0")
def ask(world):
    world.finish(world.issue(KEY))


@when("a credential is asked for through entry 0 and again through entry 1")
def ask_twice(world):
    world.finish(world.issue(KEY))
    world.finish(world.issue(KEY, entry=1))


@when("the same credential is asked for through both entries at once")
def ask_at_once(world):
    world.issue(KEY)
    world.issue(KEY, entry=1)


@when("the same credential is asked for through entry 1 twice")
def resend_twice(world):
    for _ in range(2):
        world.finish(world.issue(KEY, entry=1))


@when("the same credential is asked for through entry 1 again")
def resend(world):
    world.finish(world.issue(KEY, entry=1))


@when("the same credential is asked for until it is answered")
def resend_until_answered(world):
    for _ in range(MOST_RESENDS):
        [answer] = world.finish(world.issue(KEY, entry=1))
        if answer.status == 200:
            return
        check(answer.run == NOT_RUN and bool(answer.retry_after), str(answer))
        world.run(asyncio.sleep(0.1))
    raise AssertionError(f"never answered: {answer}")


@then("the credential was issued once")
def check_once(world):
    world.finish()
    effects = world.count_effects(KEY)
    check(effects == 1, f"issued {effects} times")


@then("the credential was issued at most once")
def check_at_most_once(world):
    world.finish()
    effects = world.count_effects(KEY)
    check(effects <= 1, f"issued {effects} times")


@then("the resends got the same answer")
def check_same(world):
    world.finish()
    answers = [sent.answer for sent in world.sent if sent.prompt == KEY]
    serials = [json.loads(a.text)["serial"] for a in answers if a.status == 200]
    check(len(serials) >= 2 and len(set(serials)) == 1, str(answers))


@then("both were told that the outcome is unknown")
def check_unknown(world):
    told = {(a.status, a.run, a.retry_after) for a in world.finish()}
    check(told == {(504, "unknown", "")}, str(told))


@then("it was refused, not run, with a time to come back")
def check_refused(world):
    answer = world.finish()[-1]
    check((answer.status, answer.run) == (503, NOT_RUN), str(answer))
    check(bool(answer.retry_after), str(answer))
