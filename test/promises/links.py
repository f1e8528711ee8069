"""Faulty links between daemons: they lose, delay, reorder or duplicate messages."""

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
    """The faults of the link to one mailbox.

    Messages that match `holds`, and all batches from the address `held_from`, are
    kept in `held` until the link is restored.  Messages that match `loses`, and
    all batches from the address `cut_from`, are dropped and counted in `lost`.
    With `reorders` each pair of batches arrives in reverse order and twice.  The
    first of a pair is kept in `late`; it is lost if the link is restored before
    the second one arrives.
    """

    holds: Matches = lambda message: False
    loses: Matches = lambda message: False
    cut_from: str = ""
    held_from: str = ""
    reorders: bool = False
    held: list[tuple[Mailbox, bytes]] = dataclasses.field(default_factory=list)
    lost: int = 0
    late: bytes = b""


class Links:
    """The faulty links, by the address of the receiving mailbox.

    Patches `Mailbox._take`, through which every received batch passes.
    """

    def __init__(self, monkeypatch):
        self._links = {}
        self._original = Mailbox._take

        def take(mailbox, data):
            self._take(mailbox, data)

        monkeypatch.setattr(Mailbox, "_take", take)

    def fault(self, address, **faults):
        """Add a faulty link to a mailbox, in place of any other; return it."""
        link = self._links[address] = Link(**faults)
        return link

    def find(self, address):
        """Return the faulty link to a mailbox."""
        return self._links[address]

    def heal(self, address):
        """Restore the link to a mailbox and deliver the batches that it held."""
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
        if not link.reorders:
            self._original(mailbox, data)
            return
        if not link.late:
            link.late = data
            return
        late, link.late = link.late, b""
        for received in (data, late, data, late):
            self._original(mailbox, received)


def match_first(kind):
    """Return a predicate that matches the first message of a class only."""
    numbers = itertools.count()

    def matches(message):
        return isinstance(message, kind) and next(numbers) == 0

    return matches


def match_share(kind, *, seed=1, share=0.1):
    """Return a predicate that matches a random share of a class's messages."""
    rng = random.Random(seed)

    def matches(message):
        return isinstance(message, kind) and rng.random() < share

    return matches


def _split(messages, matches):
    """Return the messages that match and the others.

    Calls `matches` once for each message, since it may count or draw numbers.
    """
    found = [(message, matches(message)) for message in messages]
    return (
        [message for message, is_match in found if is_match],
        [message for message, is_match in found if not is_match],
    )


def _pack(batch, messages):
    return encode_batch(msgspec.structs.replace(batch, messages=messages))
