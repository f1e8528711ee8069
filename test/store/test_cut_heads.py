"""Responses of the store of which only a part of the head arrives."""

import asyncio

import pytest

from eelgrassrack.store.http import Answer, HttpCaller, NoAnswer

from ..cutheads import CUTS, WHOLE, serve


async def fetch(answer):
    """Return the outcome of a call to a store that sends `answer` and closes."""
    async with serve(answer) as url:
        caller = HttpCaller(url=url, max_clients=1)
        try:
            return await caller.fetch(path="/", timeout=5.0, repeatable=False)
        finally:
            caller.close()


@pytest.mark.parametrize("name", CUTS)
def test_a_response_whose_head_breaks_off_is_no_answer(name):
    """A write whose response breaks off would count as done."""
    found = asyncio.run(fetch(CUTS[name]))
    assert isinstance(found, NoAnswer)
    assert found.sent


def test_a_response_with_its_whole_head_is_an_answer():
    assert isinstance(asyncio.run(fetch(WHOLE)), Answer)
