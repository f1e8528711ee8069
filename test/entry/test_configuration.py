"""Tests of how an entry that was paused learns what is in force."""

import asyncio

import msgspec

from eelgrassrack.document.snapshot import Snapshot
from eelgrassrack.entry.configuration import (
    CONFIRM_SECONDS,
    LONGEST_GAP,
    Configuration,
)
from eelgrassrack.invariants import Invariants
from eelgrassrack.mailbox.messages import DocumentCopy, Hello, Presence
from eelgrassrack.mailbox.socket import Mailbox
from eelgrassrack.store.objects import Unavailable, Unchanged

from ..promises.world import TUTOR_EAST, World


class Away:
    """The document's head while the object API is away."""

    async def read(self):
        return Unavailable(reason="outage")


def pause(configuration):
    """Let a configuration wake from a pause."""
    configuration._seen_at -= LONGEST_GAP + 1
    configuration.tick()


def make_paused(asked, *, head=None, wakes=True):
    """Return a configuration at revision 3, if wanted one that has just woken."""
    configuration = Configuration(
        head=head or Away(),
        invariants=Invariants(strict=True),
        announce=lambda snapshot: None,
        ask_peer=lambda address, revision: None,
        ask_peers=lambda revision, question: asked.append(revision),
    )
    configuration.take(Snapshot(revision=3))
    if wakes:
        pause(configuration)
    return configuration


def test_old_words_confirm_nothing():
    """An entry wakes in an outage, and finds what peers said before in its buffer.

    A version may have been withdrawn since. Nobody answers what it asks
    now, so it waits as long as it may before it serves.
    """

    async def scenario():
        asked = []
        configuration = make_paused(asked)
        configuration.confirm(3, "peer", 0)
        began = asyncio.get_running_loop().time()
        await configuration.wait_sure()
        return asyncio.get_running_loop().time() - began, asked

    waited, asked = asyncio.run(scenario())
    assert waited >= CONFIRM_SECONDS
    assert asked == [3]


def test_a_peer_tells_what_it_missed():
    """An entry wakes in an outage, after a version was withdrawn.

    Its peers know. It serves nobody by the old document once they said so.
    """

    async def scenario():
        asked = []
        configuration = make_paused(asked)
        waiting = asyncio.ensure_future(configuration.wait_sure())
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


class Watched:
    """A head whose watch ends when the test says so."""

    def __init__(self):
        self.ends = asyncio.get_running_loop().create_future()

    async def read(self):
        return Unavailable(reason="outage")

    async def watch(self, *, known_version, timeout):
        return await self.ends


def test_a_watch_from_before_a_pause_confirms_nothing():
    """An entry wakes and reads that nothing had changed before it was paused.

    A version may have been withdrawn since, and would be served at once.
    """

    async def scenario():
        head = Watched()
        configuration = make_paused([], head=head, wakes=False)
        following = asyncio.ensure_future(configuration.follow())
        await asyncio.sleep(0)
        pause(configuration)
        head.ends.set_result(Unchanged())
        head.ends = asyncio.get_running_loop().create_future()
        await asyncio.sleep(0.01)
        is_sure = configuration.is_sure
        following.cancel()
        return is_sure

    assert not asyncio.run(scenario())


def test_words_from_before_a_pause_confirm_nothing_however_late_they_come():
    """What a peer said before a withdrawal comes after the entry has asked."""

    async def scenario():
        asked = []
        configuration = make_paused(asked)
        waiting = asyncio.ensure_future(configuration.wait_sure())
        while not asked:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        configuration.confirm(3, "peer", 0)
        await asyncio.sleep(0.1)
        is_sure = configuration.is_sure
        await waiting
        return is_sure

    assert not asyncio.run(scenario())


def test_an_entry_in_doubt_vouches_for_nothing(monkeypatch):
    """An agent and its entry wake together, and the entry confirms old facts.

    The version that was withdrawn meanwhile would be started at the agent on
    the word of an entry that doesn't know itself.
    """
    heard = []
    world = World(monkeypatch)
    try:
        world.start(plans=[TUTOR_EAST], entries=1)
        entry = world.entry()

        async def ask():
            asking = Mailbox(
                address="tcp://127.0.0.1:0",
                incarnation="x.1",
                deliver=lambda batch: heard.extend(batch.messages),
            )
            asking.open()
            world.system.table.outage = True
            pause(entry.core.configuration)
            asking.post(to=entry.address, message=Hello(question=7))
            await asyncio.sleep(CONFIRM_SECONDS / 2)
            early = list(heard)
            await asyncio.sleep(CONFIRM_SECONDS)
            asking.close()
            return early

        early = world.run(ask())
    finally:
        world.close()
    assert not early
    assert [m.answers for m in heard if isinstance(m, Presence)] == [7]
