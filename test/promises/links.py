"""Faults on the way between daemons: messages lost, held back and crossed."""

import dataclasses
import itertools
import random
from collections.abc import Callable

import msgspec

from eelgrassrack.mailbox.codec import decode_batch, encode_batch
from eelgrassrack.mailbox.socket import Mailbox

Matches = Callable[[object], bool]


@dataclasses.dataclass(slots=True, kw_only=True)
class Link:
    """What befalls the messages that come in at one mailbox.

    Messages that match `holds` wait until the link heals, those that match
    `loses` never come.  Everything from the address `held_from` waits, and
    nothing from the address `cut_from` comes.
    `crosses` lets each parcel come after the next one, and both twice; one
    that still waits when the link heals is lost.
    """

    holds: Matches = lambda message: False
    loses: Matches = lambda message: False
    cut_from: str = ""
    held_from: str = ""
    crosses: bool = False
    held: list[tuple[Mailbox, bytes]] = dataclasses.field(default_factory=list)
    lost: int = 0
    late: bytes = b""


class Links:
    """All faulty links, by the address of the receiving mailbox."""

    def __init__(self, monkeypatch):
        self._links = {}
        self._original = Mailbox._take

        def take(mailbox, data):
            self._take(mailbox, data)

        monkeypatch.setattr(Mailbox, "_take", take)

    def fault(self, address, **faults):
        """Make the link to a mailbox faulty; return it."""
        link = self._links[address] = Link(**faults)
        return link

    def find(self, address):
        """Return the faulty link to a mailbox."""
        return self._links[address]

    def heal(self, address):
        """Let everything through again, first what was held back."""
        link = self._links.pop(address)
        for mailbox, data in link.held:
            self._original(mailbox, data)

    def _take(self, mailbox, data):
        link = self._links.get(mailbox.address)
        if link is None:
            self._original(mailbox, data)
            return
        batch = decode_batch(data)
        if batch.address == link.cut_from:
            link.lost += len(batch.messages)
            return
        if batch.address == link.held_from:
            link.held.append((mailbox, data))
            return
        held, rest = _split(batch.messages, link.holds)
        lost, rest = _split(rest, link.loses)
        link.lost += len(lost)
        if held:
            link.held.append((mailbox, _pack(batch, held)))
        if rest:
            self._pass(mailbox, link, _pack(batch, rest))

    def _pass(self, mailbox, link, data):
        if not link.crosses:
            self._original(mailbox, data)
            return
        if not link.late:
            link.late = data
            return
        late, link.late = link.late, b""
        for each in (data, late, data, late):
            self._original(mailbox, each)


def first_of(kind):
    """Return what matches the first message of a kind only."""
    numbers = itertools.count()

    def matches(message):
        return isinstance(message, kind) and next(numbers) == 0

    return matches


def some(kind, *, seed=1, share=0.1):
    """Return what matches a share of the messages of a kind."""
    chance = random.Random(seed)

    def matches(message):
        return isinstance(message, kind) and chance.random() < share

    return matches


def _split(messages, matches):
    """Return the messages that match and the others; ask once for each."""
    found = [(message, matches(message)) for message in messages]
    return [m for m, is_match in found if is_match], [m for m, no in found if not no]


def _pack(batch, messages):
    return encode_batch(msgspec.structs.replace(batch, messages=messages))
