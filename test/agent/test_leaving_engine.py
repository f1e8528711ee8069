"""Tests of an agent whose engine says in its answers that it leaves."""

import asyncio

import pytest

from eelgrassrack.mailbox.messages import (
    Begun,
    Ended,
    Facts,
    Finish,
    Load,
    NotStarted,
    Refusal,
)
from eelgrassrack.standins.service import PlainService

from .test_agent import (
    COLD,
    BareEndpoint,
    make_chat,
    make_engine,
    run_agent,
    wait_until,
)

# Several health polls and heartbeats.
POLLS_SECONDS = 1.6


def make_request(agent, attempt, *, service="", **changes):
    version = "" if service else "m/1"
    return make_chat(agent, attempt, service=service, version=version, **changes)


async def restart(endpoint):
    if isinstance(endpoint, PlainService):
        endpoint.refuse()
        await asyncio.sleep(0.1)
        endpoint.accept()
    else:
        endpoint.crash()


async def assert_leaving(agent, entry, attempt, service):
    entry.send(agent, make_request(agent, attempt, service=service))
    refused = await entry.wait(NotStarted, attempt)
    assert refused.refusal is Refusal.LEAVING


@pytest.mark.parametrize("service", ["", "s"], ids=["engine", "service"])
def test_a_leaving_engine_gets_no_new_work_until_it_restarted(service):
    """Guards against requests that reach an engine after it said that it leaves.

    Neither a health poll nor a new document ends that, also if answers no longer say
    so; only the engine's next lifetime takes requests again.
    """

    async def play():
        endpoint = PlainService(name="s") if service else make_engine()
        async with run_agent(endpoint) as (agent, _, (entry,)):
            if service:
                entry.send(agent, Facts(revision=2, service=service))
            endpoint.notices.leaving = True
            await wait_until(lambda: entry.find(Load)[-1].leaving)
            await assert_leaving(agent, entry, "b", service)
            endpoint.notices.leaving = False
            serves = {"service": service} if service else {"serves": ("m/1",)}
            entry.send(agent, Facts(revision=3, **serves))
            await asyncio.sleep(POLLS_SECONDS)
            await assert_leaving(agent, entry, "c", service)
            await restart(endpoint)
            await wait_until(lambda: not entry.find(Load)[-1].leaving)
            entry.send(agent, make_request(agent, "d", service=service))
            ended = await entry.wait(Ended, "d")
            assert ended.finish is Finish.WHOLE, ended.reason

    asyncio.run(play())


def test_what_runs_at_a_leaving_engine_goes_on_and_what_waits_is_refused():
    """Guards against callers that wait at an engine that leaves, or lose answers."""

    async def play():
        engine = make_engine()
        async with run_agent(engine) as (agent, _, (entry,)):
            names = [f"a{number}" for number in range(COLD)]
            for name in names:
                entry.send(agent, make_chat(agent, name, tokens=800))
                await entry.wait(Begun, name)
            entry.send(agent, make_chat(agent, "queued"))
            engine.notices.leaving = True
            refused = await entry.wait(NotStarted, "queued")
            assert refused.refusal is Refusal.LEAVING
            assert not entry.find(Ended)
            for name in names:
                ended = await entry.wait(Ended, name)
                assert ended.finish is Finish.WHOLE, ended.reason
            assert [record.request for record in engine.started] == names

    asyncio.run(play())


def test_the_head_of_an_answer_is_enough():
    """Guards against an agent that learns only from whole answers or from polls.

    The answer takes a while after its head, and polls are answered without the header.
    """

    async def play():
        body_due = asyncio.Event()

        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            is_poll = b"/health" in head
            notice = b"" if is_poll else b"\r\nServer-Leaving: 1"
            length = b"\r\nContent-Length: 2\r\n\r\n"
            writer.write(b"HTTP/1.1 200 OK" + notice + length)
            if not is_poll:
                await body_due.wait()
            writer.write(b"{}")

        async with run_agent(BareEndpoint(serve)) as (agent, _, (entry,)):
            entry.send(agent, Facts(revision=2, service="s"))
            entry.send(agent, make_request(agent, "a", service="s"))
            await entry.wait(Begun, "a")
            await wait_until(lambda: entry.find(Load)[-1].leaving)
            await asyncio.sleep(POLLS_SECONDS)
            await assert_leaving(agent, entry, "b", "s")
            body_due.set()
            ended = await entry.wait(Ended, "a")
            assert ended.finish is Finish.WHOLE, ended.reason

    asyncio.run(play())
