"""Tests of an agent whose engine turned a request away and asked for rest."""

import asyncio
import time

import pytest

from eelgrassrack.mailbox.messages import (
    Ended,
    Facts,
    Finish,
    Load,
    NotStarted,
    Refusal,
)
from eelgrassrack.standins.service import PlainService

from .fakes import FACTS, Station, make_start
from .test_agent import BareEndpoint, make_chat, make_engine, run_agent, wait_until

REST_SECONDS = 1.5

# An engine may be reached until this long after it turned a request away, since what
# is on its way can't be taken back.
ON_ITS_WAY_SECONDS = 0.5


def list_reached(notices):
    """Return the requests of any kind that reached an engine in its rest."""
    began = notices.turned_away[0].at
    return [
        record.path
        for record in notices.reached
        if began + ON_ITS_WAY_SECONDS < record.at < began + REST_SECONDS
    ]


def make_request(agent, attempt, *, service="", **changes):
    version = "" if service else "m/1"
    return make_chat(agent, attempt, service=service, version=version, **changes)


@pytest.mark.parametrize("service", ["", "s"], ids=["engine", "service"])
def test_nothing_reaches_an_engine_that_asked_for_rest(service):
    """Guards against requests that reach an engine in the rest that it asked for.

    It turns one request away, with 503 and a `Retry-After`.  What comes meanwhile
    waits, and is answered after the rest.  Health polls are requests too.
    """

    async def play():
        endpoint = PlainService(name="s") if service else make_engine()
        notices = endpoint.notices
        async with run_agent(endpoint) as (agent, _, (entry,)):
            if service:
                entry.send(agent, Facts(revision=2, service=service))
            notices.rest_seconds = REST_SECONDS
            entry.send(agent, make_request(agent, "a", service=service))
            await entry.wait(Ended, "a")
            names = [f"b{number}" for number in range(6)]
            for name in names:
                entry.send(agent, make_request(agent, name, service=service))
                await asyncio.sleep(0.1)
            await asyncio.sleep(REST_SECONDS - 1.0)
            notices.rest_seconds = 0.0
            for name in names:
                ended = await entry.wait(Ended, name)
                assert ended.finish is Finish.WHOLE, ended.reason
        assert list_reached(notices) == []
        assert len(notices.turned_away) == 1

    asyncio.run(play())


def test_what_cannot_wait_for_the_end_of_the_rest_is_refused_at_once():
    """Guards against callers that wait at a resting engine until it is too late.

    One request is queued when the rest begins, another comes in it, and both have
    their deadlines before its end.  Their callers learn at once that they haven't
    run, and when the engine takes requests again.
    """

    async def play():
        engine = make_engine()
        async with run_agent(engine) as (agent, _, (entry,)):
            for number in range(4):
                tokens = 600 if number else 100
                entry.send(agent, make_chat(agent, f"long{number}", tokens=tokens))
            await wait_until(lambda: engine.running == 4)
            entry.send(agent, make_chat(agent, "first"))
            entry.send(agent, make_chat(agent, "queued", within=2.5))
            engine.notices.rest_seconds = 4.0
            await entry.wait(Ended, "first")
            asked_at = time.monotonic()
            entry.send(agent, make_chat(agent, "new", within=2.5))
            for name in ("queued", "new"):
                refused = await entry.wait(NotStarted, name)
                assert refused.refusal is Refusal.FULL
                assert 3.0 < refused.retry_after < 6.0
            assert time.monotonic() - asked_at < 1.0

    asyncio.run(play())


def test_what_is_connecting_when_the_rest_begins_waits_for_its_end():
    """Guards against requests that are sent, or refused, since they were on their way.

    The connection to the engine opens only after it turned another request away.
    """

    async def play():
        station = Station()
        await station.take(FACTS)
        station.engine.connects = False
        await station.take(make_start("a"), make_start("b", within=1.0))
        said = await station.watch(lambda: station.runner.begin_rest(2.0))
        assert [(m.attempt, m.refusal) for m in said] == [("b", Refusal.FULL)]
        station.engine.connects = True
        station.engine.calls["a"].connected.set()
        assert await station.advance(1.75) == []
        assert station.engine.ran == []
        await station.advance(0.5)
        assert station.engine.ran == ["a"]

    asyncio.run(play())


def test_entries_learn_of_a_rest_at_once():
    """Guards against entries that choose an agent whose engine rests."""

    async def play():
        engine = make_engine()
        async with run_agent(engine) as (agent, _, (entry,)):
            engine.notices.rest_seconds = REST_SECONDS
            entry.send(agent, make_chat(agent, "a"))
            await entry.wait(Ended, "a")
            await asyncio.sleep(0.1)
            assert REST_SECONDS - 0.5 < entry.find(Load)[-1].resting <= REST_SECONDS
            await asyncio.sleep(REST_SECONDS + 1.0)
            assert entry.find(Load)[-1].resting == 0.0

    asyncio.run(play())


def test_a_health_poll_that_is_turned_away_begins_a_rest():
    """Guards against polls that go on while the engine turns them away.

    The engine is up all the time, so that what waits isn't refused.
    """

    async def play():
        reached = []

        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            reached.append((head.split()[1], time.monotonic()))
            if len(reached) == 2:
                rest = f"Retry-After: {REST_SECONDS}".encode()
                status = b"503 Busy\r\n" + rest
            else:
                status = b"200 OK"
            writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 2\r\n\r\n{}")

        async with run_agent(BareEndpoint(serve)) as (agent, _, (entry,)):
            entry.send(agent, Facts(revision=2, service="s"))
            await wait_until(lambda: len(reached) >= 2)
            await asyncio.sleep(0.1)
            entry.send(agent, make_request(agent, "a", service="s"))
            ended = await entry.wait(Ended, "a")
            assert ended.finish is Finish.WHOLE, ended.reason
            began = reached[1][1]
            later = [at - began for _, at in reached[2:]]
            assert min(later) >= REST_SECONDS

    asyncio.run(play())
