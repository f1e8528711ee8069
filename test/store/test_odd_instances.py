"""Tests of a list of instances that holds odd entries."""

import asyncio
import json

import logbook
import pytest

from eelgrassrack.store import instances as module
from eelgrassrack.store.instances import Listing, follow_instances
from eelgrassrack.store.objects import Unavailable
from eelgrassrack.store.platform import HttpInstanceList

from ..oddanswers import make_answer, serve_bytes

DEEP = "[" * 5_000 + "]" * 5_000
SOUND = {
    "name": "sound",
    "role": "endpoint",
    "domain": "north",
    "mailbox": "tcp://127.0.0.1:7000",
    "pool": "p",
}


def change(**fields):
    return json.dumps({**SOUND, "name": "odd", **fields})


ODD = {
    "no object": "17",
    "no fields": "{}",
    "deep": DEEP,
    "a deep field": change(domain="?").replace('"?"', DEEP),
    "a deep field that nobody reads": change(other="?").replace('"?"', DEEP),
    "an unknown role": change(role="odd"),
    "a name that is a number": change(name=1),
    "a control byte": change(domain="?").replace("?", "\x01"),
    "no mailbox": change(mailbox=""),
    "a mailbox of another kind": change(mailbox="ipc:///tmp/x"),
    "a mailbox without a port": change(mailbox="tcp://127.0.0.1"),
    "a mailbox's port out of range": change(mailbox="tcp://127.0.0.1:70000"),
    "a mailbox's port of 5,000 digits": change(mailbox="tcp://1.2.3.4:" + "9" * 5_000),
    "a mailbox with a NUL": change(mailbox="tcp://127.0.0.1\0:80"),
    "a mailbox of a name": change(mailbox="tcp://host.example:80"),
}


async def watch(text):
    body = text.encode()
    answer = make_answer(length=b"Content-Length: %d\r\n" % len(body), body=body)
    async with serve_bytes(answer) as address:
        client = HttpInstanceList(url=f"http://{address}")
        try:
            return await client.watch(version=0, timeout=1.0)
        finally:
            client.close()


@pytest.mark.parametrize("odd", ODD)
def test_an_odd_instance_doesnt_hide_the_others(odd):
    """No entry would know an endpoint any more, or messages to one would fail."""
    sound = json.dumps(SOUND)
    text = f'{{"version":3,"instances":[{sound},{ODD[odd]},{sound}]}}'
    with logbook.TestHandler() as handler:
        found = asyncio.run(watch(text))
    assert isinstance(found, Listing)
    assert found.version == 3
    assert [one.name for one in found.instances] == ["sound", "sound"]
    assert any("left aside" in record.message for record in handler.records)


@pytest.mark.parametrize(
    "text", ("", "[]", DEEP, '{"version":3}', '{"version":3,"instances":[}')
)
def test_a_list_that_is_none_leaves_the_last_in_use(text):
    """The endpoints would count as gone because a part of the list got lost."""
    assert isinstance(asyncio.run(watch(text)), Unavailable)


def test_an_unexpected_exception_doesnt_end_the_following(monkeypatch):
    """After eight of them the daemon would end."""
    monkeypatch.setattr(module, "FAILURE_SECONDS", 0.001, raising=False)
    taken = []

    class Instances:
        async def watch(self, *, version, timeout):
            await asyncio.sleep(0)
            return Listing(version=version + 1, instances=())

    def take(listed):
        taken.append(listed)
        if len(taken) < 12:
            raise RuntimeError("unexpected")

    async def scenario():
        following = asyncio.ensure_future(
            follow_instances(instances=Instances(), take=take)
        )
        async with asyncio.timeout(10):
            while len(taken) < 20:
                assert not following.done()
                await asyncio.sleep(0.001)
        following.cancel()

    asyncio.run(scenario())
