"""Tests of answers that no engine in order sends, at a gateway."""

import pytest

from eelgrassrack.platform.store import Kinds

from ..oddanswers import (
    ODD_ANSWERS,
    ODD_NUMBERS,
    SOUND_ANSWERS,
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
