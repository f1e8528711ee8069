"""Tests of answers that no engine in order sends, at an agent."""

import asyncio

import pytest

from eelgrassrack.agent.answers import JsonChatAnswer, StreamedAnswer
from eelgrassrack.agent.engine import HttpEngine
from eelgrassrack.agent.errors import AnswerError
from eelgrassrack.agent.health import Health
from eelgrassrack.agent.outcomes import Completed
from eelgrassrack.agent.transfer import Exchange

from ..oddanswers import (
    END,
    ODD_ANSWERS,
    ODD_NUMBERS,
    SOUND_ANSWERS,
    STAMP,
    STATUS,
    EarlyEngine,
    make_answer,
    make_chunked,
    serve_bytes,
)
from .fakes import make_start

DEEP = b"[" * 5_000 + b"]" * 5_000


async def ask(answer):
    """Return the outcome of a request whose engine sends `answer`, and its body."""
    async with serve_bytes(answer) as address:
        return await send(address)


async def send(address, **changes):
    """Return the outcome of a request to an address, and the answer's body."""
    pieces = []
    engine = HttpEngine(url=f"http://{address}", on_head=lambda *_: None)
    try:
        outcome = await engine.run(
            start=make_start("a", service="plain", **changes),
            exchange=Exchange(),
            timeout=5.0,
            on_begun=lambda: True,
            on_piece=pieces.append,
        )
    finally:
        engine.close()
    return outcome, b"".join(pieces)


@pytest.mark.parametrize("odd", ODD_ANSWERS)
def test_an_odd_answer_is_none(odd):
    """A caller would get a body or a line that isn't its engine's."""
    outcome, _ = asyncio.run(ask(ODD_ANSWERS[odd]))
    assert not isinstance(outcome, Completed)


@pytest.mark.parametrize("sound", SOUND_ANSWERS)
def test_a_sound_answer_is_passed_on(sound):
    """Engines of other makes send unusual answers too."""
    outcome, body = asyncio.run(ask(SOUND_ANSWERS[sound]))
    assert isinstance(outcome, Completed)
    assert (outcome.status, body) == (200, b"done")


@pytest.mark.parametrize("odd", ODD_NUMBERS)
def test_a_number_that_cant_be_read_leaves_the_answer(odd):
    outcome, body = asyncio.run(ask(make_answer(ODD_NUMBERS[odd])))
    assert isinstance(outcome, Completed)
    assert body == b"done"


def test_a_trailer_like_a_status_line_is_an_odd_answer():
    """A redirect isn't followed here, so no other answer begins after it."""
    trailer = b"HTTP/1.1 200 OK\r\n"
    answer = make_chunked(trailer).replace(b"200 OK", b"302 Found", 1)
    outcome, _ = asyncio.run(ask(answer))
    assert not isinstance(outcome, Completed)


def test_trailers_are_not_passed_on():
    """A trailer could change what a head said, as at gateways it can't."""
    outcome, _ = asyncio.run(ask(make_chunked(b"Content-Length: 9\r\nX-Late: 1\r\n")))
    names = {name.lower() for name, _ in outcome.headers}
    assert not names & {"x-late", "content-length"}


@pytest.mark.parametrize("is_reset", (True, False))
def test_an_early_answer_without_a_length_isnt_whole(is_reset):
    """A part of a body would reach the caller as a complete answer."""

    async def scenario():
        answer = STATUS + STAMP + END + b"part"
        engine = EarlyEngine(answer=answer, is_reset=is_reset)
        await engine.start()
        try:
            return await send(engine.address, body=b"u" * 4_000_000)
        finally:
            await engine.stop()

    outcome, _ = asyncio.run(scenario())
    assert not isinstance(outcome, Completed)


def ignore(piece):
    """Ignore a piece of an answer."""


@pytest.mark.parametrize(
    "event",
    (
        b'{"id":"a","choices":%s}' % DEEP,
        b'{"id":"a","choices":[],"other":%s}' % DEEP,
        b'{"id":"a","choices":[],"usage":{"prompt_tokens":%s}}' % DEEP,
        b'{"id":"a","choices":[],"usage":{"prompt_tokens":%s}}' % (b"9" * 5_000),
        b'{"id":"a","choices":[{"index":%s}]}' % (b"9" * 5_000),
        b'{"id":"\xff","choices":[]}',
        DEEP,
    ),
)
def test_an_event_that_cant_be_read_is_an_error_of_the_answer(event):
    """The caller's request would end with the exception."""
    with pytest.raises(AnswerError):
        StreamedAnswer(attempt="a", on_piece=ignore).feed(b"data: " + event + b"\n\n")
    answer = JsonChatAnswer(attempt="a", on_piece=ignore)
    answer.feed(event)
    with pytest.raises(AnswerError):
        answer.finish(())


def test_a_health_report_that_cant_be_read_leaves_the_endpoint_up():
    """The polls would end, and with them the agent after eight of them."""

    async def scenario():
        answer = make_answer(body=DEEP, length=b"Content-Length: %d\r\n" % len(DEEP))
        async with serve_bytes(answer) as address:
            health = Health(
                url=f"http://{address}",
                clock=lambda: 0.0,
                on_collapse=lambda reason: None,
            )
            try:
                await health.poll()
            finally:
                health.close()
            return health.is_up

    assert asyncio.run(scenario())
