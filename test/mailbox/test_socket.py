"""Tests of message batches over real sockets."""

import asyncio

import pynng
import pytest

from eelgrassrack.mailbox import socket
from eelgrassrack.mailbox.codec import decode_batch, encode_batch
from eelgrassrack.mailbox.errors import MailboxError
from eelgrassrack.mailbox.messages import Cancel, MessageBatch, Piece, Start
from eelgrassrack.mailbox.socket import Mailbox

ANY_PORT = "tcp://127.0.0.1:0"
TIMEOUT_SECONDS = 20.0


def make_mailbox(name, batches):
    return Mailbox(address=ANY_PORT, incarnation=name, deliver=batches.append)


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.005)


def test_messages_of_one_tick_travel_together_and_in_order():
    async def scenario():
        received = []
        left, right = make_mailbox("left", []), make_mailbox("right", received)
        left.open()
        right.open()
        messages = [Piece(attempt="a", number=n, data=b"x") for n in range(50)]
        for message in messages:
            left.post(to=right.address, message=message)
        await wait_until(lambda: received)
        left.close()
        right.close()
        return messages, received, left.address

    messages, received, address = asyncio.run(scenario())
    assert [batch.messages for batch in received] == [messages]
    assert received[0].incarnation == "left"
    assert received[0].address == address


def test_garbage_does_not_affect_other_messages():
    """Another program, or a newer release, writes to the port.

    Its bytes aren't a message batch.  Batches of real peers must still arrive.
    """

    async def scenario():
        received = []
        right, left = make_mailbox("right", received), make_mailbox("left", [])
        right.open()
        left.open()
        stranger = pynng.Push0()
        stranger.dial(right.address)
        stranger.send(b"GET / HTTP/1.1")
        await wait_until(lambda: right.counts["unreadable"] == 1)
        left.post(to=right.address, message=Cancel(attempt="a"))
        await wait_until(lambda: received)
        for each in (stranger, right, left):
            each.close()
        return received

    assert asyncio.run(scenario())[0].messages == [Cancel(attempt="a")]


def test_a_peer_that_returns_is_reached_again():
    """A peer's instance is replaced and listens at the same address again.

    Messages sent meanwhile may be lost; later ones must arrive.
    """

    async def scenario():
        received = []
        left, right = make_mailbox("left", []), make_mailbox("right", [])
        left.open()
        right.open()
        address = right.address
        left.post(to=address, message=Cancel(attempt="first"))
        await asyncio.sleep(0.05)
        right.close()
        right = Mailbox(address=address, incarnation="new", deliver=received.append)
        right.open()
        while not received:
            left.post(to=address, message=Cancel(attempt="second"))
            await asyncio.sleep(0.02)
        left.close()
        right.close()

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_SECONDS))


def test_messages_to_an_unreachable_peer_are_dropped(monkeypatch):
    """A start arrives hours late, when the agent's record of its refusal has expired.

    The connection from an entry to an agent is cut for hours, and the library keeps
    the start message. The entry has given up the attempt. A resend through another
    entry made the agent record a tombstone for the attempt, and then ran elsewhere.
    If the late start ran as well, the request would run twice.
    """
    monkeypatch.setattr(socket, "UNREACHABLE_SECONDS", 0.2, raising=False)

    async def scenario():
        received = []
        left, right = make_mailbox("left", []), make_mailbox("right", [])
        left.open()
        right.open()
        address = right.address
        right.close()
        left.post(to=address, message=Cancel(attempt="old"))
        for _ in range(10):
            await asyncio.sleep(0.05)
            left.close_idle()
        right = Mailbox(address=address, incarnation="new", deliver=received.append)
        right.open()
        while not received:
            left.post(to=address, message=Cancel(attempt="new"))
            await asyncio.sleep(0.02)
        left.close_idle()
        left.close()
        right.close()
        return received

    received = asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_SECONDS))
    assert received[0].messages == [Cancel(attempt="new")]


def test_another_protocol_is_refused():
    batch = MessageBatch(protocol=99, address="tcp://x", incarnation="i", messages=[])
    with pytest.raises(MailboxError):
        decode_batch(encode_batch(batch))


@pytest.mark.parametrize(
    "address",
    ("", "odd", "tcp://127.0.0.1:70000", "tcp://127.0.0.1\0:80", "ipc:///tmp/x"),
)
def test_a_batch_without_an_address_to_answer_to_is_refused(address):
    """The answer to it would raise, and end what its sender isn't part of."""
    batch = MessageBatch(address=address, incarnation="i", messages=[])
    with pytest.raises(MailboxError):
        decode_batch(encode_batch(batch))


def test_batches_nested_deeply_are_refused():
    with pytest.raises(MailboxError):
        decode_batch(b"\x91" * 5_000 + b"\xc0")


def test_a_batch_that_fails_doesnt_hold_up_those_behind_it():
    """A message that its receiver can't handle would hide others'."""

    async def scenario():
        received = []

        def deliver(batch):
            received.append(batch)
            if len(received) == 1:
                raise RuntimeError("unexpected")

        left = make_mailbox("left", [])
        right = Mailbox(address=ANY_PORT, incarnation="right", deliver=deliver)
        left.open()
        right.open()
        for number in range(3):
            message = Piece(attempt="a", number=number, data=b"x")
            left.post(to=right.address, message=message)
            await asyncio.sleep(0.05)
        await wait_until(lambda: len(received) == 3)
        left.close()
        right.close()
        return right.counts["failed"]

    assert asyncio.run(scenario()) == 1


def test_a_message_to_a_peer_that_was_idle_is_sent(monkeypatch):
    """Guards against messages that are dropped as their peer's socket is closed."""
    monkeypatch.setattr(socket, "IDLE_SECONDS", 0.0)

    async def scenario():
        received = []
        left, right = make_mailbox("left", []), make_mailbox("right", received)
        left.open()
        right.open()
        left.post(to=right.address, message=Cancel(attempt="first"))
        await wait_until(lambda: received)
        left.post(to=right.address, message=Cancel(attempt="second"))
        left.close_idle()
        await wait_until(lambda: len(received) == 2)
        left.close()
        right.close()
        return received[1].messages

    assert asyncio.run(scenario()) == [Cancel(attempt="second")]


def test_large_messages_of_one_tick_all_arrive():
    """Guards against a batch that is lost as it is larger than a mailbox takes."""

    async def scenario():
        received = []
        left, right = make_mailbox("left", []), make_mailbox("right", received)
        left.open()
        right.open()
        small = Cancel(attempt="small")
        starts = [make_large(number) for number in range(7)]
        messages = [small, *starts, small]
        for message in messages:
            left.post(to=right.address, message=message)
        await wait_until(lambda: count_messages(received) == len(messages))
        left.close()
        right.close()
        return messages, [each for batch in received for each in batch.messages]

    sent, received = asyncio.run(scenario())
    assert received == sent


def test_a_message_that_is_too_large_is_counted_and_harms_no_other():
    """Guards against a connection that breaks for a message nobody takes."""

    async def scenario():
        received = []
        left, right = make_mailbox("left", []), make_mailbox("right", received)
        left.open()
        right.open()
        large = Piece(attempt="a", number=0, data=bytes(socket.MAX_BATCH_BYTES))
        for message in (Cancel(attempt="before"), large, Cancel(attempt="after")):
            left.post(to=right.address, message=message)
        await wait_until(lambda: count_messages(received) == 2)
        left.close()
        right.close()
        return left.counts["lost"]

    assert asyncio.run(scenario()) == 1


def make_large(number):
    """Return a message with a body of the largest usual size."""
    return Start(
        attempt=f"{number}",
        request="r",
        agent="x.1",
        organisation="o",
        revision=1,
        within=1.0,
        body=bytes(1_000_000),
    )


def count_messages(batches):
    """Return how many messages some batches hold."""
    return sum(len(batch.messages) for batch in batches)
