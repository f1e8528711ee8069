"""Tests of requests that break off, are refused early or come in pieces."""

import asyncio
import contextlib

import pytest

from bench.leaving import WAYS_TO_LEAVE, Leaving

from ..promises.world import REGISTRY, World
from .leaving import (
    TURN_SECONDS,
    LeavingCaller,
    find_bodies,
    make_body,
    make_head,
    make_request,
    settle,
)

LIST_MODELS = (
    b"GET /v1/models HTTP/1.1\r\nHost: entry\r\n"
    b"Authorization: Bearer school-key\r\n\r\n"
)
BODY = make_body(60)
CHUNKS = {"declared": 0, "in chunks": 3}
TOO_MANY_BYTES = 1_000_001
EXPECT = "Expect: 100-continue\r\n"

# A request that stands in the body of another one, and mustn't be taken for one.
INNER = make_request(b"inner", key="inner")


@pytest.fixture
def world(monkeypatch):
    world = World(monkeypatch)
    try:
        world.start(plans=[REGISTRY])
        yield world
    finally:
        world.close()


def make_callers(world, count, *, is_later):
    """Return callers, whose connections have served a request if `is_later`."""
    callers = [LeavingCaller(world.entry().url) for _ in range(count)]
    if is_later:
        for caller in callers:
            caller.send(LIST_MODELS)
        world.wait(lambda: all(caller.has_answers() for caller in callers))
    world.run(asyncio.sleep(TURN_SECONDS))
    return callers


@pytest.mark.parametrize("is_later", [False, True])
@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
@pytest.mark.parametrize("framing", CHUNKS)
def test_a_request_that_breaks_off_at_any_byte_isnt_run(
    world, framing, leave, is_later
):
    """Guards against requests that run with what there was of their bodies."""
    request = make_request(BODY, key="cut", chunk=CHUNKS[framing])
    callers = make_callers(world, len(request), is_later=is_later)
    for size, caller in enumerate(callers):
        caller.send(request[:size], leave)
    settle(world)
    for caller in callers:
        caller.close()
    assert not find_bodies(world, "cut")


@pytest.mark.parametrize("framing", CHUNKS)
def test_a_request_in_two_pieces_is_run_whole(world, framing):
    """Guards against a body that lacks what came before or after a pause."""
    length = len(make_request(BODY, key="two-1", chunk=CHUNKS[framing]))
    sizes = range(1, length, 7)
    requests = [
        make_request(BODY, key=f"two-{size}", chunk=CHUNKS[framing]) for size in sizes
    ]
    callers = make_callers(world, len(requests), is_later=True)
    for caller, size, each in zip(callers, sizes, requests, strict=True):
        caller.send(each[:size])
    world.run(asyncio.sleep(TURN_SECONDS))
    for caller, size, each in zip(callers, sizes, requests, strict=True):
        caller.send(each[size:])
    world.wait(lambda: all(caller.has_answers(2) for caller in callers))
    for caller in callers:
        caller.close()
    assert all(find_bodies(world, f"two-{size}") == [BODY] for size in sizes)


@pytest.mark.parametrize("framing", CHUNKS)
def test_pipelined_requests_are_run_whole_and_in_order(world, framing):
    """Guards against a body that is taken for, or added to, that of another request."""
    bodies = [make_body(size) for size in (700, 0, 20_000, 3, 9_000)]
    requests = (
        make_request(body, key=f"{number}", chunk=CHUNKS[framing])
        for number, body in enumerate(bodies)
    )
    caller = LeavingCaller(world.entry().url)
    caller.send(b"".join(requests))
    world.wait(lambda: caller.has_answers(len(bodies)))
    caller.close()
    found = [each.body.encode() for each in world.standin("registry").executions]
    assert found == bodies


@pytest.mark.parametrize("framing", CHUNKS)
def test_a_body_that_waits_for_100_continue_is_run_whole(world, framing):
    """Guards against a body that is lost as its caller waits for leave to send it."""
    request = make_request(BODY, key="key", chunk=CHUNKS[framing], fields=EXPECT)
    at = request.index(b"\r\n\r\n") + 4
    caller = LeavingCaller(world.entry().url)
    caller.send(request[:at])
    world.wait(lambda: caller.has_answers(status=100))
    caller.send(request[at:])
    world.wait(caller.has_answers)
    caller.close()
    assert find_bodies(world, "key") == [BODY]


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
@pytest.mark.parametrize("framing", CHUNKS)
def test_a_caller_that_leaves_before_it_may_send_its_body_runs_nothing(
    world, framing, leave
):
    """Guards against requests that run without the bodies that they announce."""
    request = make_request(BODY, key="key", chunk=CHUNKS[framing], fields=EXPECT)
    caller = LeavingCaller(world.entry().url)
    caller.send(request[: request.index(b"\r\n\r\n") + 4])
    world.wait(lambda: caller.has_answers(status=100))
    caller.send(b"", leave)
    settle(world)
    caller.close()
    assert not find_bodies(world, "key")


def make_refused():
    """Return requests that are refused early: status, what comes first, the rest."""
    filler = make_body(TOO_MANY_BYTES)
    declared = b"Content-Length: %d\r\n\r\n"
    large = INNER + filler
    chunks = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(filler)
    head, wrong = make_head("outer"), make_head("outer", caller="unknown")
    return {
        "too large, declared": (413, head + declared % len(large), large),
        "too large, in chunks": (413, head + chunks + filler, b"\r\n" + INNER),
        "unknown key, declared": (401, wrong + declared % len(INNER), INNER),
        "unknown key, in chunks": (
            401,
            wrong + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(INNER),
            INNER + b"\r\n0\r\n\r\n",
        ),
    }


REFUSED = make_refused()


@pytest.mark.parametrize("leave", Leaving)
@pytest.mark.parametrize("name", REFUSED)
def test_nothing_behind_a_refused_head_is_run(world, name, leave):
    """Guards against the rest of a refused body that is taken for a request."""
    status, first, rest = REFUSED[name]
    caller = LeavingCaller(world.entry().url)
    world.run(asyncio.to_thread(caller.send, first))
    world.wait(lambda: caller.has_answers(status=status))
    rest += make_request(b"following", key="following")
    # The connection may be closed already.
    with contextlib.suppress(OSError):
        world.run(asyncio.to_thread(caller.send, rest, leave))
    settle(world)
    caller.close()
    assert not world.standin("registry").executions
