"""Tests of bills that no entry has settled yet."""

import asyncio

import pytest

from eelgrassrack.agent import intake
from eelgrassrack.agent.custody import CLOSED_LEDGER_SECONDS, RESEND_SECONDS
from eelgrassrack.mailbox.messages import (
    Custody,
    Ended,
    Hello,
    NotStarted,
    Refusal,
    Settle,
)

from .fakes import ENTRY, FACTS, OTHER, Station, make_presence, make_start

THIRD = "tcp://127.0.0.1:3"


def run(scenario):
    async def play():
        station = Station()
        await station.take(make_presence("e.1.1"), FACTS)
        await station.take(make_start("a"))
        await station.end("a")
        await scenario(station)

    asyncio.run(play())


async def advance(station, seconds, *entries):
    """Let time pass while these entries send a heartbeat every second."""
    said = []
    for _ in range(round(seconds)):
        for address, incarnation, ledger in entries:
            await station.take(
                make_presence(ledger), sender=address, incarnation=incarnation
            )
        said += await station.advance(1.0)
    return said


def find(said, kind):
    return [message for message in said if isinstance(message, kind)]


def test_an_unsettled_bill_is_sent_again():
    """The message with the end of an answer is lost, or the one that settles its bill.

    Without a resend the bill would stay in the agent and be lost with it.
    """

    async def scenario(station):
        entry = (ENTRY, "e.1", "e.1.1")
        said = await advance(station, RESEND_SECONDS + 1, entry)
        assert [ended.bill.attempt for ended in find(said, Ended)] == ["a"]
        assert find(said, Custody) == []
        await station.take(Settle(attempts=("a",)))
        said = await advance(station, 3 * RESEND_SECONDS, entry)
        assert find(said, Ended) == []

    run(scenario)


def test_the_chain_of_ledgers_grows_with_each_loss():
    """An entry is lost, and then the entry that was to recover its bills.

    Either may have written the bill before.  The third entry has to read both
    ledgers, or the caller pays twice.
    """

    async def scenario(station):
        other = (OTHER, "f.1", "f.1.1")
        third = (THIRD, "g.1", "g.1.1")
        said = await advance(station, 15, other)
        custody = find(said, Custody)[0]
        assert custody.holders == ("e.1.1",)
        assert (custody.into, custody.bills[0].ledger) == ("f.1.1", "f.1.1")
        said = await advance(station, 15, third)
        custody = find(said, Custody)[-1]
        assert custody.holders == ("e.1.1", "f.1.1")
        assert custody.into == "g.1.1"

    run(scenario)


@pytest.mark.parametrize("restarted", [True, False])
def test_a_new_ledger_at_the_same_entry_is_another_holder(restarted):
    """An entry was restarted, or closed its ledger before it wrote the bill.

    The new ledger doesn't show whether the old one holds the bill.
    """

    async def scenario(station):
        incarnation = "e.2" if restarted else "e.1"
        entry = (ENTRY, incarnation, "e.2.1")
        said = await advance(
            station, 2 if restarted else CLOSED_LEDGER_SECONDS + 2, entry
        )
        custody = find(said, Custody)[0]
        assert (custody.holders, custody.into) == (("e.1.1",), "e.2.1")

    run(scenario)


def test_a_silent_entry_is_asked_before_it_counts_as_lost():
    async def scenario(station):
        said = await station.advance(4.0)
        assert find(said, Hello)
        assert find(said, Custody) == []

    run(scenario)


def test_no_work_is_taken_while_too_many_bills_wait(monkeypatch):
    """The store is unavailable for hours and no entry can settle a bill.

    The agent's memory is bounded. It must refuse new attempts as not run rather
    than drop a bill.
    """

    async def scenario(station):
        monkeypatch.setattr(intake, "MAX_UNSETTLED", 1)
        said = await station.take(make_start("b"))
        assert find(said, NotStarted)[0].refusal is Refusal.FULL
        await station.take(Settle(attempts=("a",)))
        assert find(await station.take(make_start("c")), NotStarted) == []

    run(scenario)
