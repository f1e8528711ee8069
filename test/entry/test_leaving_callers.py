"""Tests that an endpoint gets the body that a caller sent, or nothing, if it leaves."""

import asyncio
import itertools
import json
from typing import NamedTuple

import pytest

from bench.leaving import Leaving
from eelgrassrack.callers.connection import CallerConnection
from eelgrassrack.decisions.callermemory import Phase
from eelgrassrack.entry.core import Core

from ..promises.world import REGISTRY, TUTOR_EAST, World
from .leaving import (
    TURN_SECONDS,
    LeavingCaller,
    find_bodies,
    make_body,
    make_request,
    settle,
)

# Sizes of chunks in bytes; 0 is for a body with a length.
CHUNK_SIZES = (0, 3, 100, 4_096)
BODY_SIZES = (0, 600, 9_000, 60_000)
CHAT = "/v1/chat/completions"
PATHS = {"once": "/credentials", "repeatable": "/items"}


@pytest.fixture
def world(monkeypatch):
    world = World(monkeypatch)
    try:
        world.start(plans=[REGISTRY, TUTOR_EAST])
        yield world
    finally:
        world.close()


@pytest.fixture
def confirmed(monkeypatch):
    """Let requests wait until this event is set."""
    event = asyncio.Event()

    async def wait_confirmed(core):
        await event.wait()

    monkeypatch.setattr(Core, "wait_confirmed", wait_confirmed)
    return event


def connect(world, *, is_later):
    """Return a caller, whose connection has served a request if `is_later`."""
    caller = LeavingCaller(world.entry().url)
    if is_later:
        caller.send(make_request(b"first", key="first", path="/items"))
        world.wait(caller.has_answers)
    world.run(asyncio.sleep(TURN_SECONDS))
    return caller


def send_as_it_is_read(monkeypatch, world, caller, request, leave):
    """Send a request at the moment that the entry begins to read it."""
    read_response = CallerConnection.read_response
    due = [True]

    def send_and_read(connection, delegate):
        if due and connection.context.address == caller.address:
            due.clear()
            caller.send(request, leave)
        return read_response(connection, delegate)

    with monkeypatch.context() as patch:
        patch.setattr(CallerConnection, "read_response", send_and_read)
        caller.send(make_request(b"before", key="before", path="/items"))
        world.wait(lambda: not due)


def send_when_waited_for(monkeypatch, world, caller, request, leave):
    """Send a request while the entry waits for it."""
    caller.send(request, leave)


def send_behind_another(monkeypatch, world, caller, request, leave):
    """Send a request together with the one before it."""
    before = make_request(b"before", key="before", path="/items")
    caller.send(before + request, leave)


MOMENTS = {
    "as it is read": send_as_it_is_read,
    "when it is waited for": send_when_waited_for,
    "behind another": send_behind_another,
}


class Sent(NamedTuple):
    """A request that was sent, and its framing."""

    key: str
    size: int
    chunk: int
    is_later: bool


def find_other_bodies(monkeypatch, world, *, leave, moment, path):
    """Send bodies in all framings; return what the service got but nobody sent.

    Of a caller that stays it has to get each request once.
    """
    callers = []
    cases = itertools.product(BODY_SIZES, CHUNK_SIZES, (False, True))
    sent = [Sent(f"key-{number}", *case) for number, case in enumerate(cases)]
    for each in sent:
        body = make_body(each.size)
        request = make_request(body, key=each.key, path=path, chunk=each.chunk)
        caller = connect(world, is_later=each.is_later)
        callers.append(caller)
        MOMENTS[moment](monkeypatch, world, caller, request, leave)
    settle(world)
    for caller in callers:
        caller.close()
    is_needed = leave is Leaving.STAY
    found = ((each, find_bodies(world, each.key)) for each in sent)
    return [
        (each, [len(body) for body in bodies])
        for each, bodies in found
        if bodies != [make_body(each.size)] and (bodies or is_needed)
    ]


@pytest.mark.parametrize("repeat", PATHS)
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("leave", Leaving)
def test_an_endpoint_gets_no_other_body_than_was_sent(
    monkeypatch, world, leave, moment, repeat
):
    """Guards against requests that run with a shortened body as their caller leaves."""
    others = find_other_bodies(
        monkeypatch, world, leave=leave, moment=moment, path=PATHS[repeat]
    )
    assert not others


def send_during_wait(world, confirmed, *, path, leave, fields=""):
    """Send a request that waits, let its caller leave, and end the wait."""
    body = make_body(600)
    caller = LeavingCaller(world.entry().url)
    caller.send(make_request(body, key="key", path=path, fields=fields))
    world.run(asyncio.sleep(TURN_SECONDS))
    caller.send(b"", leave)
    world.run(asyncio.sleep(TURN_SECONDS))
    confirmed.set()
    settle(world)
    caller.close()
    return body


@pytest.mark.parametrize("repeat", PATHS)
@pytest.mark.parametrize("leave", Leaving)
def test_a_body_stays_whole_while_its_request_waits(world, confirmed, leave, repeat):
    """Guards against a body that is lost as its caller leaves during a wait."""
    body = send_during_wait(world, confirmed, path=PATHS[repeat], leave=leave)
    allowed = [[body]] if leave is Leaving.STAY else [[body], []]
    assert find_bodies(world, "key") in allowed


@pytest.mark.parametrize("repeat", PATHS)
def test_a_request_isnt_run_for_a_caller_that_was_reset(world, confirmed, repeat):
    """Guards against work for callers that are known to have left."""
    send_during_wait(world, confirmed, path=PATHS[repeat], leave=Leaving.RESET)
    counts = world.entry().core.meter.counts
    assert not find_bodies(world, "key")
    assert not any(name.startswith("refused") for name in counts)


def test_a_request_that_was_refused_while_it_waited_isnt_run(world, confirmed):
    """Guards against "not run" that is untrue as the request runs after it."""
    caller = LeavingCaller(world.entry().url)
    fields = "Eelgrassrack-Deadline: 0.1\r\n"
    caller.send(make_request(b"late", key="key", fields=fields))
    world.wait(lambda: caller.has_answers(status=503))
    assert b"not-run" in caller.received
    confirmed.set()
    settle(world)
    caller.close()
    assert not find_bodies(world, "key")


def make_chats():
    """Return chats by their prompts, each with the size of its chunks.

    Blanks that mean nothing fill the bodies up.
    """
    chats = {}
    cases = itertools.product(BODY_SIZES[1:], CHUNK_SIZES)
    for number, (size, chunk) in enumerate(cases):
        prompt = f"question {number} {make_body(size // 2).decode()}"
        messages = [{"role": "user", "content": prompt}]
        fields = {"model": "tutor", "messages": messages, "max_tokens": 1}
        chats[prompt] = json.dumps(fields).encode().ljust(size), chunk
    return chats


@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("leave", Leaving)
def test_an_engine_gets_no_other_chat_than_was_sent(monkeypatch, world, leave, moment):
    """Guards against chats that run with a shortened body as their caller leaves."""
    chats = make_chats()
    callers = []
    for body, chunk in chats.values():
        request = make_request(body, key="", target=CHAT, chunk=chunk)
        callers.append(connect(world, is_later=True))
        MOMENTS[moment](monkeypatch, world, callers[-1], request, leave)
    settle(world)
    for caller in callers:
        caller.close()
    prompts = [each.prompt for each in world.standin("tutor-east").started]
    assert set(prompts) <= set(chats)
    if leave is Leaving.STAY:
        assert sorted(prompts) == sorted(chats)


def test_a_body_is_freed_as_its_caller_gives_way(world, confirmed):
    """Guards against memory that is held though it was made free for others."""
    caller = LeavingCaller(world.entry().url)
    caller.send(make_request(make_body(9_000), key="key"))
    world.run(asyncio.sleep(TURN_SECONDS))
    (handler,) = world.entry().core.callers
    assert handler.body == make_body(9_000)

    async def give_way():
        handler.stream.leave(Phase.WAITING, is_reading=False)

    world.run(give_way())
    world.wait(lambda: caller.has_answers(status=503))
    assert not handler.body
    confirmed.set()
    settle(world)
    caller.close()
    assert not find_bodies(world, "key")
