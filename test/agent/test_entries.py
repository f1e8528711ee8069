"""Tests of which entries an agent chooses as parents and counts as lost."""

from eelgrassrack.agent.entries import (
    ACTIVE_SECONDS,
    PARENT_COUNT,
    SILENT_SECONDS,
    EntryDirectory,
)
from eelgrassrack.store.instances import Instance, Role

ADDRESSES = [f"tcp://127.0.0.1:{port}" for port in range(1, 41)]


def make_instances(addresses, leaving=()):
    return [
        Instance(
            name=address,
            role=Role.ENTRY,
            domain="d",
            mailbox=address,
            leaving=address in leaving,
        )
        for address in addresses
    ]


def make_entries(addresses=ADDRESSES, **changes):
    entries = EntryDirectory(name="x")
    entries.apply_listing(make_instances(addresses, **changes), now=0.0)
    return entries


def test_parents_change_only_where_one_is_gone():
    parents = make_entries().find_parents(now=0.0)
    assert len(parents) == PARENT_COUNT
    rest = [address for address in ADDRESSES if address != parents[0]]
    assert make_entries(rest).find_parents(now=0.0)[:2] == parents[1:]
    stays = make_entries(leaving=parents[:1]).find_parents(now=0.0)
    assert stays[:2] == parents[1:]


def test_an_entry_with_a_long_answer_gets_heartbeats():
    """A caller waits for a long answer through an entry that isn't a parent.

    The entry sends nothing meanwhile.  Without heartbeats it would consider the
    agent lost after some seconds and tell the caller that the answer is lost,
    although it is still being generated.
    """
    entries = make_entries()
    parents = entries.find_parents(now=0.0)
    other = next(address for address in ADDRESSES if address not in parents)
    entries.note_message(address=other, incarnation="e.1", now=0.0)
    late = ACTIVE_SECONDS + 1.0
    assert other in entries.find_heartbeat_receivers(served=(), now=1.0)
    assert other not in entries.find_heartbeat_receivers(served=(), now=late)
    assert other in entries.find_heartbeat_receivers(served=(other,), now=late)


def test_no_entry_is_lost_after_a_pause_of_the_agent():
    """The agent itself is frozen for a minute, while all entries are up.

    It received nothing from them.  If it considered them lost, it would reassign
    every bill, and all their ledgers would be sealed while in use.
    """
    entries = make_entries()
    entries.note_message(address=ADDRESSES[0], incarnation="e.1", now=0.0)
    woken = 6 * SILENT_SECONDS
    lost = {"address": ADDRESSES[0], "incarnation": "e.1", "now": woken}
    assert entries.is_lost(**lost)
    entries.note_pause(now=woken)
    assert not entries.is_lost(**lost)
