"""Tests of answers that no engine in order sends, at a gateway."""

import pytest

from eelgrassrack.platform.store import Kinds

from ..oddanswers import (
    ODD_ANSWERS,
    SOUND_ANSWERS,
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
