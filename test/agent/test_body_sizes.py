"""Tests that an endpoint gets a body as long as its caller sent it, or no request."""

import asyncio
import contextlib

import msgspec
import pytest

from eelgrassrack.agent.engine import HttpEngine
from eelgrassrack.agent.outcomes import Completed
from eelgrassrack.agent.transfer import Exchange
from eelgrassrack.bodysize import IncompleteBodyError
from eelgrassrack.mailbox.messages import (
    UNKNOWN_SIZE,
    Begun,
    MessageBatch,
    NotStarted,
    Refusal,
    Start,
)
from eelgrassrack.standins.service import PlainService

from .fakes import FACTS, Station, make_start

SIZES = (0, 1, 600, 60_000, 1_000_000)
METHODS = ("POST", "PUT", "PATCH", "DELETE", "OPTIONS")


@contextlib.asynccontextmanager
async def run_service():
    """Run a plain service; yield it and the engine through which an agent sends."""
    service = PlainService(name="plain")
    await service.start()
    engine = HttpEngine(url=service.url, on_head=lambda *_: None)
    try:
        yield service, engine
    finally:
        engine.close()
        await service.stop()


async def send(engine, begun=(), **changes):
    """Return the outcome of a request; `begun` gets one element once it begins."""
    return await engine.run(
        start=make_start("a", service="plain", path="/items", **changes),
        exchange=Exchange(),
        timeout=5.0,
        on_begun=lambda: begun.append(True) or True,
        on_piece=lambda piece: None,
    )


@pytest.mark.parametrize("is_told", [True, False])
@pytest.mark.parametrize("method", METHODS)
def test_a_whole_body_of_any_size_is_sent(method, is_told):
    """Guards against a check that refuses what is sound."""

    async def play():
        async with run_service() as (service, engine):
            for size in SIZES:
                told = size if is_told else UNKNOWN_SIZE
                body = bytes(size)
                outcome = await send(engine, [], method=method, body=body, size=told)
                assert isinstance(outcome, Completed)
            return service.executions

    executions = asyncio.run(play())
    assert [each.method for each in executions] == [method] * len(SIZES)
    assert [len(each.body) for each in executions] == list(SIZES)


@pytest.mark.parametrize("body", [b"", b"shortened", b"longer than was sent"])
def test_a_body_of_another_size_isnt_sent(body):
    """Guards against requests that run with another body than was sent."""

    async def play():
        begun = []
        async with run_service() as (service, engine):
            with pytest.raises(IncompleteBodyError):
                await send(engine, begun, body=body, size=15)
            return service.executions, begun

    assert asyncio.run(play()) == ([], [])


def test_a_body_of_another_size_is_refused_as_not_run():
    """Guards against an outcome that is unknown though nothing was sent."""

    async def play():
        station = Station()
        station.engine.run = HttpEngine(url="", on_head=lambda *_: None).run
        await station.take(FACTS)
        said = await station.take(make_start("a", body=b"short", size=15))
        return said, len(station.core.slots)

    said, taken = asyncio.run(play())
    (refused,) = (each for each in said if isinstance(each, NotStarted))
    assert refused.refusal is Refusal.BODY_INCOMPLETE
    assert not any(isinstance(each, Begun) for each in said)
    assert not taken


def test_a_start_of_an_earlier_release_has_no_size():
    """Guards against requests that are refused while releases change."""
    start = make_start("a", body=b"body")
    *fields, _ = msgspec.to_builtins(start)
    assert msgspec.convert(fields, Start).size == UNKNOWN_SIZE


def test_a_batch_keeps_the_size_of_a_body():
    """Guards against a size that is lost between an entry and an agent."""
    start = make_start("a", body=b"body", size=4)
    batch = MessageBatch(address="tcp://x:1", incarnation="e.1", messages=[start])
    data = msgspec.msgpack.encode(batch)
    assert msgspec.msgpack.decode(data, type=MessageBatch).messages == [start]
