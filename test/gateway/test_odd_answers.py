"""Tests of answers that no engine in order sends, at a gateway."""

import asyncio

import pytest

from eelgrassrack.gateway.endpoints.pool import ConnectionPool
from eelgrassrack.platform.store import Kinds

from ..oddanswers import (
    LENGTH,
    ODD_ANSWERS,
    ODD_NUMBERS,
    SOUND_ANSWERS,
    STAMP,
    STATUS,
    EarlyEngine,
    make_answer,
    serve_bytes,
)
from .oddentries import make_endpoint
from .world import make_world, run

# More than the kernel takes for a connection.
UPLOAD = b"u" * 4_000_000

EVENTS = b"Content-Type: text/event-stream\r\n"


async def answer_with(answer, path="/issue/1", **rest):
    """Return what a caller gets whose endpoint sends these bytes."""
    async with make_world() as world, serve_bytes(answer) as address:
        world.store.put(kind=Kinds.ENDPOINTS, name="odd", spec=make_endpoint(address))
        await world.start_gateway()
        await world.wait_ready()
        return await world.call(path, **rest)


@pytest.mark.parametrize("odd", ODD_ANSWERS)
def test_an_odd_answer_is_none(odd):
    """A caller would get a body or a line that isn't its engine's."""
    got = run(answer_with(ODD_ANSWERS[odd]))
    assert got.status == 502


@pytest.mark.parametrize("sound", SOUND_ANSWERS)
def test_a_sound_answer_is_passed_on(sound):
    """Engines of other makes send unusual answers too."""
    got = run(answer_with(SOUND_ANSWERS[sound]))
    assert (got.status, got.body) == (200, b"done")


@pytest.mark.parametrize("odd", ODD_NUMBERS)
def test_a_number_that_cant_be_read_leaves_the_answer(odd):
    """Callers' connections would be closed without an answer."""
    got = run(answer_with(make_answer(ODD_NUMBERS[odd])))
    assert (got.status, got.body) == (200, b"done")


@pytest.mark.parametrize(
    "value", ("9" * 5_000, "9" * 400, "-1", "1e3", "nan", "\u00b2", "")
)
@pytest.mark.parametrize(
    "name",
    ("X-Deadline-Ms", "X-Token-Usage", "X-Prompt-Prefix", "X-Length-Hint")
    + ("Last-Event-Id",),
)
def test_a_caller_s_number_that_cant_be_read_leaves_its_request(name, value):
    """Callers' connections would be closed without an answer."""
    values = {"X-Token-Usage": f"{value},{value}", "X-Prompt-Prefix": f"aa:{value}"}
    pair = (name, values.get(name, value))
    got = run(answer_with(make_answer(), headers=(pair,)))
    assert (got.status, got.body) == (200, b"done")


async def upload_to(engine, path):
    async with make_world() as world:
        await engine.start()
        world.engines["early"] = engine
        service = "models" if path.startswith("/once") else "plain"
        world.list_engine("early", service=service)
        await world.start_gateway()
        await world.wait_ready()
        return await world.call(path, body=UPLOAD)


@pytest.mark.parametrize("is_reset", (True, False))
@pytest.mark.parametrize(
    "path, fields, body",
    (
        ("/issue/1", b"", b"part"),
        ("/issue/1", b"Connection: close\r\n", b""),
        ("/once/1", EVENTS, b"id: 1\ndata: part\n\n"),
    ),
)
def test_an_early_answer_without_a_length_isnt_whole(path, fields, body, is_reset):
    """A part of a body would reach the caller as a complete answer."""
    answer = STATUS + STAMP + fields + b"\r\n" + body
    got = run(upload_to(EarlyEngine(answer=answer, is_reset=is_reset), path))
    assert got.status == 502 or not got.is_whole


def test_an_early_answer_with_a_length_is_passed_on():
    """An engine may refuse a long upload before it has read it."""
    answer = b"HTTP/1.1 413 Too Long\r\n" + LENGTH + b"\r\ndone"
    got = run(upload_to(EarlyEngine(answer=answer), "/issue/1"))
    assert (got.status, got.body) == (413, b"done")


def test_an_answer_without_a_length_to_a_whole_request_is_passed_on():
    """Engines of HTTP/1.0 end their answers by a close."""
    answer = make_answer(length=b"Connection: close\r\n")
    got = run(answer_with(answer, body=UPLOAD))
    assert (got.status, got.body) == (200, b"done")


def test_an_unexpected_exception_leaves_no_request_unanswered(monkeypatch):
    """A caller's connection would be closed without an answer."""

    async def fail(self, **_):
        raise RuntimeError("unexpected")

    monkeypatch.setattr(ConnectionPool, "acquire", fail)

    async def scenario():
        async with make_world() as world:
            await world.add_engine("first")
            await world.start_gateway()
            await world.wait_ready()
            for path in ("/issue/1", "/look/1", "/once/1"):
                got = await world.call(path)
                assert 500 <= got.status < 600
            await asyncio.sleep(0)

    run(scenario())
