"""Answers of which only a part of the head arrives."""

import asyncio

import pytest

from eelgrassrack.agent.engine import HttpEngine
from eelgrassrack.agent.health import Health
from eelgrassrack.agent.outcomes import Completed, ConnectionBroken
from eelgrassrack.agent.transfer import Exchange

from ..cutheads import CUTS, WHOLE, serve
from .fakes import make_start


async def ask(answer):
    """Return the outcome of a request whose engine sends `answer` and closes."""
    async with serve(answer) as url:
        engine = HttpEngine(url=url, on_head=lambda *_: None)
        try:
            return await engine.run(
                start=make_start("a", service="plain"),
                exchange=Exchange(),
                timeout=5.0,
                on_begun=lambda: True,
                on_piece=lambda piece: None,
            )
        finally:
            engine.close()


async def poll(answer):
    """Return whether an endpoint that sends `answer` to a poll counts as up."""
    async with serve(answer) as url:
        health = Health(url=url, clock=lambda: 0.0, on_collapse=lambda reason: None)
        try:
            await health.poll()
        finally:
            health.close()
        return health.is_up


@pytest.mark.parametrize("name", CUTS)
def test_an_answer_whose_head_breaks_off_is_not_complete(name):
    """A caller would get an empty answer, framed as a whole one."""
    assert isinstance(asyncio.run(ask(CUTS[name])), ConnectionBroken)


def test_an_answer_with_its_whole_head_is_complete():
    assert isinstance(asyncio.run(ask(WHOLE)), Completed)


@pytest.mark.parametrize("name", CUTS)
def test_an_endpoint_whose_head_breaks_off_is_not_healthy(name):
    """Requests would go to an endpoint that crashes on each."""
    assert not asyncio.run(poll(CUTS[name]))


def test_an_endpoint_with_a_whole_head_is_healthy():
    assert asyncio.run(poll(WHOLE))
