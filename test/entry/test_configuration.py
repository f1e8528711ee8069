"""Tests of how an entry confirms its document after a pause of its process."""

import asyncio

import msgspec

from eelgrassrack.document.snapshot import Snapshot
from eelgrassrack.entry.configuration import (
    CONFIRM_SECONDS,
    MAX_TICK_GAP_SECONDS,
    Configuration,
)
from eelgrassrack.invariants import Invariants
from eelgrassrack.mailbox.messages import DocumentCopy, Hello, Presence
from eelgrassrack.mailbox.socket import Mailbox
from eelgrassrack.store.objects import Unavailable, Unchanged

from ..promises.world import TUTOR_EAST, World


class UnavailableHead:
    """The document's head while the object API is unavailable."""

    async def read(self):
        return Unavailable(reason="outage")


def pause(configuration):
    """Simulate a pause of the process that has just ended."""
    configuration._ticked_at -= MAX_TICK_GAP_SECONDS + 1
    configuration.tick()


def make_configuration(asked, *, head=None, is_paused=True):
    """Return a configuration at revision 3, by default just after a pause.

    `asked` collects the revisions with which it asks its peers.
    """
    configuration = Configuration(
        head=head or UnavailableHead(),
        invariants=Invariants(strict=True),
        announce=lambda snapshot: None,
        ask_peer=lambda address, revision: None,
        ask_peers=lambda revision, question: asked.append(revision),
    )
    configuration.take(Snapshot(revision=3))
    if is_paused:
        pause(configuration)
    return configuration


def test_buffered_messages_from_before_a_pause_confirm_nothing():
    """After a pause an entry reads messages that peers sent before it.

    A version may have been withdrawn since. The object API is unavailable and
    nobody answers the entry's question, so it waits for `CONFIRM_SECONDS`.
    """

    async def scenario():
        asked = []
        configuration = make_configuration(asked)
        configuration.note_peer_revision(3, "peer", 0)
        began = asyncio.get_running_loop().time()
        await configuration.wait_confirmed()
        return asyncio.get_running_loop().time() - began, asked

    waited, asked = asyncio.run(scenario())
    assert waited >= CONFIRM_SECONDS
    assert asked == [3]


def test_a_peer_sends_the_document_that_was_missed_in_a_pause():
    """A version is withdrawn while an entry is paused.

    The object API is unavailable, but a peer has the new document. The entry
    must not serve requests with the old one after the peer has answered.
    """

    async def scenario():
        asked = []
        configuration = make_configuration(asked)
        waiting = asyncio.ensure_future(configuration.wait_confirmed())
        while not asked:
            await asyncio.sleep(0.01)
        copy = msgspec.msgpack.encode(Snapshot(revision=4))
        answer = DocumentCopy(
            revision=4, snapshot=copy, answers=configuration._question
        )
        configuration.take_copy(answer)
        await waiting
        return configuration.snapshot.revision

    assert asyncio.run(scenario()) == 4


class ControlledHead:
    """A head whose watch returns when the test sets its result."""

    def __init__(self):
        self.ends = asyncio.get_running_loop().create_future()

    async def read(self):
        return Unavailable(reason="outage")

    async def watch(self, *, known_version, timeout):
        return await self.ends


def test_a_watch_from_before_a_pause_confirms_nothing():
    """After a pause an entry reads the result of a watch from before it.

    It says "unchanged", but a version may have been withdrawn since, and the
    entry would serve it.
    """

    async def scenario():
        head = ControlledHead()
        configuration = make_configuration([], head=head, is_paused=False)
        following = asyncio.ensure_future(configuration.follow())
        await asyncio.sleep(0)
        pause(configuration)
        head.ends.set_result(Unchanged())
        head.ends = asyncio.get_running_loop().create_future()
        await asyncio.sleep(0.01)
        is_confirmed = configuration.is_confirmed
        following.cancel()
        return is_confirmed

    assert not asyncio.run(scenario())


def test_late_messages_from_before_a_pause_confirm_nothing():
    """A message that a peer sent before a withdrawal arrives after the question."""

    async def scenario():
        asked = []
        configuration = make_configuration(asked)
        waiting = asyncio.ensure_future(configuration.wait_confirmed())
        while not asked:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        configuration.note_peer_revision(3, "peer", 0)
        await asyncio.sleep(0.1)
        is_confirmed = configuration.is_confirmed
        await waiting
        return is_confirmed

    assert not asyncio.run(scenario())


def test_an_unconfirmed_entry_confirms_nothing_to_agents(monkeypatch):
    """An agent and its entry are paused together, and the agent asks the entry.

    If the entry answered before its own revision is confirmed, the agent would
    start a version that was withdrawn during the pause.
    """
    received = []
    world = World(monkeypatch)
    try:
        world.start(plans=[TUTOR_EAST], entries=1)
        entry = world.entry()

        async def ask():
            asking = Mailbox(
                address="tcp://127.0.0.1:0",
                incarnation="x.1",
                deliver=lambda batch: received.extend(batch.messages),
            )
            asking.open()
            world.system.table.outage = True
            pause(entry.core.configuration)
            asking.post(to=entry.address, message=Hello(question=7))
            await asyncio.sleep(CONFIRM_SECONDS / 2)
            early = list(received)
            await asyncio.sleep(CONFIRM_SECONDS)
            asking.close()
            return early

        early = world.run(ask())
    finally:
        world.close()
    assert not early
    assert [m.answers for m in received if isinstance(m, Presence)] == [7]
