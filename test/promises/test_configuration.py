"""An accepted configuration is in force everywhere and never reverts."""

import asyncio
import time

import msgspec
import pytest
from pytest_bdd import scenario, scenarios, then, when

from eelgrassrack.agent import core
from eelgrassrack.entry.configuration import Configuration
from eelgrassrack.standins.objects import ObjectTable
from eelgrassrack.store.head import Applied
from eelgrassrack.store.objects import Unavailable

from .guards import breaks
from .world import NOT_RUN, check

scenarios("configuration.feature")

# Within seconds, as the promise has it.
FORCE_SECONDS = 5.0
NEVER_SECONDS = 1.0
WITHDRAWN = "[version tutor/2]\nstate = withdrawn\n"
OUT = "[domain west]\nstate = out\n"


@pytest.fixture
def updates_unconditional(monkeypatch):
    def has_version(table, *, key, version):
        return key in table._objects

    monkeypatch.setattr(ObjectTable, "_has_version", has_version)


@pytest.fixture
def any_revision_taken(monkeypatch, world):
    world.patience = NEVER_SECONDS

    def take(configuration, snapshot):
        configuration.snapshot = snapshot
        return True

    def take_copy(configuration, copy):
        found = type(configuration.snapshot)
        configuration.take(msgspec.msgpack.decode(copy.snapshot, type=found))

    monkeypatch.setattr(Configuration, "take", take)
    monkeypatch.setattr(Configuration, "take_copy", take_copy)


@pytest.fixture
def any_facts_taken(monkeypatch, world):
    world.patience = NEVER_SECONDS
    monkeypatch.setattr(core, "merge_facts", lambda known, offered: offered)


@pytest.fixture
def peers_unheard(monkeypatch, world):
    """Take no change from a peer, only the first document."""
    original = Configuration.take_copy

    def take_copy(configuration, copy):
        if not configuration.is_known:
            original(configuration, copy)

    monkeypatch.setattr(Configuration, "take_copy", take_copy)
    world.patience = NEVER_SECONDS


@breaks
@pytest.mark.usefixtures("updates_unconditional")
@scenario(
    "configuration.feature",
    "Two teams apply their changes at the same moment",
)
def test_conditional_updates_are_needed():
    pass


@breaks
@pytest.mark.usefixtures("any_revision_taken")
@scenario("configuration.feature", "An old document arrives late")
def test_order_of_revisions_is_needed_at_entries():
    pass


@breaks
@pytest.mark.usefixtures("any_facts_taken")
@scenario("configuration.feature", "An old document arrives late")
def test_order_of_revisions_is_needed_at_agents():
    pass


@breaks
@pytest.mark.usefixtures("peers_unheard")
@scenario(
    "configuration.feature",
    "An entry that is cut off from the object API learns from a peer",
)
def test_peers_are_needed():
    pass


@when("two teams apply their changes at the same moment")
def race(world):
    world.system.table.delay = 0.02
    world.results = world.run(apply_both(world))


async def apply_both(world):
    operator = world.system.operator
    head = await operator.read()
    changes = (("releases", "version *", WITHDRAWN), ("traffic", "domain *", OUT))
    return await asyncio.gather(
        *(
            operator.apply(
                team=team,
                patterns=(pattern,),
                proposed=head.text.replace(new.split("state")[0], new),
                who=team,
                now=time.time(),
            )
            for team, pattern, new in changes
        )
    )


@when("tutor/2 is withdrawn and old copies arrive late")
def withdraw_late(world):
    agent = world.agent("tutor-east")
    old_copy = world.entry(1)._configuration.build_copy()
    old_facts = agent._core.state.facts
    world.wait_in_force(world.withdraw("tutor/2"))

    # Nothing that would mend a reverted document comes until it is looked at.
    world.links.fault(world.entry(0).address, loses=lambda each: each != old_copy)
    world.links.fault(agent.address, loses=lambda each: each != old_facts)
    counts = agent._mailbox.counts, world.entry(0)._mailbox.counts
    before = [count["messages_received"] for count in counts]

    async def send_late():
        world.entry(1)._post(world.entry(0).address, old_copy)
        world.entry(0)._post(agent.address, old_facts)

    world.run(send_late())
    world.wait(
        lambda: all(
            count["messages_received"] > old
            for count, old in zip(counts, before, strict=True)
        )
    )


@when("entry 0 is replaced by one that is cut off from the object API")
def replace(world, monkeypatch):
    original = ObjectTable.admit

    def admit(table, *, caller, operation):
        if caller == "entry-0":
            return Unavailable(reason="cut off")
        return original(table, caller=caller, operation=operation)

    world.run(world.system.kill_entry("entry-0"))
    monkeypatch.setattr(ObjectTable, "admit", admit)
    world.run(world.system.add_entry("entry-0"))
    world.wait_in_force(1)


@when("tutor/2 is withdrawn")
def withdraw(world):
    world.withdraw("tutor/2", wait=False)


@then("both changes have a revision of their own")
def check_revisions(world):
    assert all(isinstance(result, Applied) for result in world.results), world.results
    revisions = {result.revision for result in world.results}
    check(revisions == {2, 3}, str(revisions))


@then("both changes are in force everywhere")
def check_both(world):
    world.wait_in_force(max(result.revision for result in world.results))
    for entry in world.system.entries.values():
        snapshot = entry.core.snapshot
        check(not snapshot.is_active(version="tutor/2"), "tutor/2 is back")
        check(not snapshot.is_domain_in(domain="west"), "the west is back")


@then("tutor/2 is withdrawn at both entries and the agent")
def check_withdrawn(world):
    ends_at = time.monotonic() + min(FORCE_SECONDS, world.patience)
    while not is_withdrawn(world) and time.monotonic() < ends_at:
        world.run(asyncio.sleep(0.01))
    check(is_withdrawn(world), "tutor/2 is not withdrawn everywhere")


def is_withdrawn(world):
    facts = world.agent("tutor-east")._core.state.facts
    return "tutor/2" in facts.withdrawn and not any(
        entry.core.snapshot.is_active(version="tutor/2")
        for entry in world.system.entries.values()
    )


@then("the ways are sound again")
def heal(world):
    world.heal(world.entry(0).address)
    world.heal(world.agent("tutor-east").address)


@then("a question for tutor/2 is refused as withdrawn")
def check_refused(world):
    for number in range(2):
        [answer] = world.finish(world.ask("bad", model="tutor/2", entry=number))
        told = (answer.status, answer.code, answer.run)
        check(told == (410, "version_withdrawn", NOT_RUN), str(told))
