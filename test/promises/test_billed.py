"""Each request is billed once, under failure."""

import asyncio

import pytest
from pytest_bdd import scenario, scenarios, when

from eelgrassrack.agent.custody import BillKeeper
from eelgrassrack.agent.settlement import Settlement
from eelgrassrack.mailbox.messages import Settle
from eelgrassrack.standins import system
from eelgrassrack.store import ledger, recovery
from eelgrassrack.store.pages import LedgerHead
from eelgrassrack.store.records import put_record

from .guards import breaks
from .world import POLL_SECONDS, count_billed

scenarios("billed.feature")

NEVER_SECONDS = 1.0

# Long enough for what runs to end, and no longer than a test should wait.
GRACE_SECONDS = 3.0


@pytest.fixture
def bills_unkept(monkeypatch, world):
    monkeypatch.setattr(BillKeeper, "tick", lambda keeper, *, now: None)
    world.patience = NEVER_SECONDS


@pytest.fixture
def own_writes_unknown(monkeypatch, world):
    world.patience = NEVER_SECONDS

    async def put(**arguments):
        arguments["is_own"] = lambda found: False
        return await put_record(**arguments)

    monkeypatch.setattr(ledger, "put_record", put)


@pytest.fixture
def old_ledgers_unread(monkeypatch):
    async def seal(**arguments):
        return LedgerHead(sealed=True)

    monkeypatch.setattr(recovery, "seal_ledger", seal)


@pytest.fixture
def settled_by_entries_only(monkeypatch, world):
    async def settle(settlement, *, incarnation, attempts):
        return ()

    monkeypatch.setattr(Settlement, "settle", settle)
    world.patience = NEVER_SECONDS


@pytest.fixture(autouse=True)
def short_grace(monkeypatch):
    monkeypatch.setattr(system, "QUICK_GRACE_SECONDS", GRACE_SECONDS)


@breaks
@pytest.mark.usefixtures("bills_unkept")
@scenario(
    "billed.feature",
    "An entry dies in an outage of the object API with bills in its hands",
)
def test_bill_keeper_is_needed():
    pass


@breaks
@pytest.mark.usefixtures("own_writes_unknown")
@scenario("billed.feature", "The answers to writes of the ledger get lost")
def test_recognition_of_own_writes_is_needed():
    pass


@breaks
@pytest.mark.usefixtures("old_ledgers_unread")
@scenario("billed.feature", "An entry is taken for dead while it lives")
def test_sealing_is_needed():
    pass


@breaks
@pytest.mark.usefixtures("settled_by_entries_only")
@scenario("billed.feature", "All entries are gone when an agent is stopped")
def test_settlement_is_needed():
    pass


@when("both entries are killed")
def kill_entries(world):
    world.kill_entry(0)
    world.kill_entry(1)


@when("the agent is stopped and finds no entry in its whole grace")
def stop_agent(world):
    world.run(world.system.stop_agent("tutor-east"))


@when("six questions come to entry 0")
def ask(world):
    for number in range(6):
        world.ask(f"question {number}")


@when("twelve unstreamed questions come to both entries")
def ask_unstreamed(world):
    for number in range(12):
        world.ask(f"question {number}", entry=number % 2, stream=False, tokens=40)


@when("an engine crashes that runs some")
def crash(world):
    world.crash_engine()


@when("the agent is killed")
def kill_agent(world):
    entry = world.entry()
    world.wait(lambda: entry.billing.waiting == 6)
    world.run(world.system.kill_agent("tutor-east"))


@when("nothing that the entries settle reaches the agents")
def lose_settlements(world):
    for endpoint in world.system.endpoints.values():
        world.links.fault(
            endpoint.agent.address, loses=lambda message: isinstance(message, Settle)
        )


@when("all bills of entry 0 are written")
def wait_written(world):
    assert count_billed(world.wait_billed(6)) == 6


@when("the instance list drops entry 0, which is cut off from the agents")
def drop(world):
    address = world.entry().address
    for endpoint in world.system.endpoints.values():
        world.links.fault(endpoint.agent.address, cut_from=address)
    world.run(drop_for_a_moment(world))


async def drop_for_a_moment(world):
    agents = [each.agent for each in world.system.endpoints.values()]
    listed = world.system.instances._instances["entry-0"]
    world.system.instances.remove("entry-0")
    while any(agent._attempts.unsettled for agent in agents):
        await asyncio.sleep(POLL_SECONDS)
    world.system.instances.join(listed)
