"""Crowds of callers that make an entry process hold as much as they can.

Checked is only what doesn't depend on the machine's speed: the process lives, its
memory and descriptors stay bounded, and an ordinary request is answered.
"""

import contextlib
import resource

import pytest

from test.gateway.world import connect

from .crowd import MEGABYTE, ask, gather_crowd, make_chunks, make_head, measure
from .fleet import DOCUMENT, KEY, Fleet
from .test_crowds import (
    BODY,
    CALLERS,
    DECLARED,
    DESCRIPTORS,
    FEW_DESCRIPTORS,
    IN_CHUNKS,
    SHORT_LINES,
    UNENDED_CHUNK,
    run,
)

pytestmark = pytest.mark.processes

# The memory of the entry's instance.
MEMORY_MB = 96

CHATS = "/v1/chat/completions"
HEAD = make_head(CHATS, key=KEY)

CROWDS = {
    "nothing": (),
    "one chunk that doesn't end": (HEAD + IN_CHUNKS, UNENDED_CHUNK),
    "a declared body that doesn't end": (HEAD + DECLARED, BODY),
    "a head that doesn't end": (make_head(CHATS, key=KEY, filler=58),),
    "a head of many short lines": (
        make_head(CHATS, key=KEY, fields=SHORT_LINES) + IN_CHUNKS,
    ),
    "chunks of two bytes": (HEAD + IN_CHUNKS, make_chunks(16_000, piece=2)),
    "a body under an unknown key": (
        make_head(CHATS, key="unknown") + IN_CHUNKS,
        UNENDED_CHUNK,
    ),
}


@contextlib.contextmanager
def start_entry(folder, descriptors):
    """Yield the address and the process of an entry with one agent and one engine."""
    fleet = Fleet(folder)
    try:
        engine = fleet.start(
            "eelgrassrack.standins", "engine", "--versions", "tutor/1,tutor/2", lines=1
        )
        assert fleet.apply(DOCUMENT)[0] == 0
        fleet.start_agent("a1", "tutors", engine.urls["engine"])
        fleet.start_entry("e1", memory_mb=MEMORY_MB)
        fleet.wait_ready()
        process = fleet.entries["e1"].popen
        limits = (descriptors, descriptors)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
        yield fleet.entry_urls["e1"].removeprefix("http://"), process
    finally:
        fleet.close()


async def ask_ordinary(address):
    """Return the status of an ordinary request."""

    async def send():
        caller = await connect(address)
        try:
            caller.send(
                CHATS,
                body=b'{"model": "tutor", "messages": [{"role": "user", "content": '
                b'"Hello."}], "max_tokens": 4}',
                key=KEY,
            )
            return await caller.read()
        finally:
            caller.close()

    return await ask(send)


async def check(address, process, descriptors):
    """Check that an entry answers an ordinary request within its bounds."""
    assert await ask_ordinary(address) == 200
    usage = measure(process)
    assert usage.memory <= MEMORY_MB * MEGABYTE
    assert usage.descriptors <= descriptors


async def check_crowd(address, process, descriptors, pieces):
    """Check an entry beside a crowd and after it has gone."""
    assert await ask_ordinary(address) == 200
    async with gather_crowd(address, CALLERS, *pieces):
        await check(address, process, descriptors)
    await check(address, process, descriptors)


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_that_stays_open_leaves_an_entry_its_memory(tmp_path, name):
    """Guards against a process that is killed for the memory that callers take."""
    with start_entry(tmp_path, DESCRIPTORS) as (address, process):
        run(check_crowd(address, process, DESCRIPTORS, CROWDS[name]))


def test_a_crowd_leaves_an_entry_descriptors_for_others(tmp_path):
    """Guards against callers that wait in vain for a free descriptor."""
    with start_entry(tmp_path, FEW_DESCRIPTORS) as (address, process):
        pieces = (HEAD + IN_CHUNKS,)
        run(check_crowd(address, process, FEW_DESCRIPTORS, pieces))
