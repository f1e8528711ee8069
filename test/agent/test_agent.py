"""Tests of an agent over real sockets, with stand-in endpoints."""

import asyncio
import contextlib
import itertools
import json
import time

import pytest

from eelgrassrack.agent.agent import Agent
from eelgrassrack.agent.relay import digest_pieces
from eelgrassrack.invariants import Invariants, Promise
from eelgrassrack.mailbox.messages import (
    Ask,
    Begun,
    Crash,
    Custody,
    Ended,
    Facts,
    Finish,
    Load,
    NotStarted,
    Piece,
    Presence,
    Refusal,
    Settle,
    Start,
    Waits,
)
from eelgrassrack.mailbox.socket import Mailbox
from eelgrassrack.settings import AgentSettings
from eelgrassrack.standins.answers import expected_text
from eelgrassrack.standins.engine import Engine
from eelgrassrack.standins.instancelist import InstanceTable
from eelgrassrack.standins.objects import ObjectTable, TableStore
from eelgrassrack.standins.service import PlainService
from eelgrassrack.store.instances import Instance, Role

VERSION = "m/1"
COLD = 4
WAIT_SECONDS = 20.0
LOOPBACK = "tcp://127.0.0.1:0"


class FakeEntry:
    """An entry that only records the messages it receives."""

    def __init__(self, *, name):
        self.name = name
        self.incarnation = f"{name}.1"
        self.messages = []
        self.mailbox = Mailbox(
            address=LOOPBACK,
            incarnation=self.incarnation,
            deliver=lambda batch: self.messages.extend(batch.messages),
        )
        self.mailbox.open()

    def send(self, agent, *messages):
        for message in messages:
            self.mailbox.post(to=agent.address, message=message)

    def greet(self, agent):
        ledger = f"{self.incarnation}.1"
        facts = Facts(
            revision=1, serves=(VERSION,), concurrency=8, cold_concurrency=COLD
        )
        presence = Presence(entry=self.name, domain="d", revision=1, ledger=ledger)
        self.send(agent, presence, facts)

    def find(self, kind, attempt=None):
        return [
            message
            for message in self.messages
            if isinstance(message, kind)
            and (attempt is None or message.attempt == attempt)
        ]

    async def wait(self, kind, attempt=None):
        await wait_until(lambda: self.find(kind, attempt))
        return self.find(kind, attempt)[0]

    def read_body(self, attempt):
        pieces = sorted(self.find(Piece, attempt), key=lambda piece: piece.number)
        assert [piece.number for piece in pieces] == list(range(len(pieces)))
        return [piece.data for piece in pieces]


async def wait_until(condition):
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def run_agent(endpoint, *, entries=1, grace_seconds=20.0, store=None):
    """Run an endpoint and its agent, which has received facts from some entries."""
    await endpoint.start()
    table = InstanceTable()
    known = [FakeEntry(name=f"e{number}") for number in range(entries)]
    for entry in known:
        table.join(make_instance(entry))
    settings = AgentSettings(
        name="x",
        domain="d",
        pool="p",
        mailbox=LOOPBACK,
        endpoint_url=endpoint.url,
        instances_url="",
        grace_seconds=grace_seconds,
        lag_seconds=0.1,
    )
    invariants = Invariants(strict=True)
    agent = Agent(
        settings=settings, instances=table, invariants=invariants, store=store
    )
    await agent.start()
    for entry in known:
        entry.greet(agent)
    await wait_until(lambda: find_revision(known[0]) == 1)
    try:
        yield agent, table, known
    finally:
        await agent.kill()
        await endpoint.stop()
        for entry in known:
            entry.mailbox.close()
    assert not invariants.broken


def make_instance(entry):
    return Instance(
        name=entry.name, role=Role.ENTRY, domain="d", mailbox=entry.mailbox.address
    )


def find_revision(entry):
    return max((load.revision for load in entry.find(Load)), default=0)


def make_chat(agent, attempt, *, prompt="hi", stream=True, tokens=4, **changes):
    body = {
        "model": VERSION,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    values = {
        "attempt": attempt,
        "request": f"r-{attempt}",
        "agent": agent.incarnation,
        "organisation": "o",
        "revision": 1,
        "ledger": "e0.1.1",
        "version": VERSION,
        "within": 15.0,
        "stream": stream,
        "body": json.dumps(body).encode(),
    }
    return Start(**{**values, **changes})


def make_engine(**changes):
    return Engine(name="x", versions=[VERSION], tokens_per_second=200.0, **changes)


def read_text(pieces):
    choices = [choice for piece in pieces for choice in json.loads(piece)]
    return "".join(choice["delta"].get("content", "") for choice in choices)


def test_answers_come_whole():
    async def play():
        engine = make_engine()
        async with run_agent(engine) as (agent, _, (entry,)):
            entry.send(agent, make_chat(agent, "a"))
            entry.send(agent, make_chat(agent, "b", stream=False))
            for attempt in ("a", "b"):
                ended = await entry.wait(Ended, attempt)
                pieces = entry.read_body(attempt)
                assert ended.finish is Finish.WHOLE
                assert ended.digest == digest_pieces(pieces)
                assert ended.bill.completion_tokens == 4
            text = expected_text("hi", VERSION, 4)
            assert read_text(entry.read_body("a")) == text
            answer = json.loads(b"".join(entry.read_body("b")))
            assert answer["choices"][0]["message"]["content"] == text
            started = {record.request for record in engine.started}
            assert started == {"a", "b"}

    asyncio.run(play())


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize(
    ("fault", "finish"),
    [
        ("end_early", Finish.CUT),
        ("answer_other_id", Finish.ENGINE_FAILED),
        ("garbage", Finish.ENGINE_FAILED),
        ("never_answer", Finish.DEADLINE),
    ],
)
def test_a_faulty_answer_is_never_called_whole(fault, finish, stream):
    """An engine answers wrongly, or not at all.

    It ends early, sends the answer to another request, sends garbage, or sends
    nothing. If the agent reported the answer as complete, a caller would act on
    half a review or on somebody else's scores.
    """

    async def play():
        engine = make_engine()
        async with run_agent(engine) as (agent, _, (entry,)):
            setattr(engine, fault, True)
            within = 1.0 if finish is Finish.DEADLINE else 15.0
            entry.send(agent, make_chat(agent, "a", stream=stream, within=within))
            ended = await entry.wait(Ended, "a")
            assert ended.finish is finish, ended.reason
            assert ended.bill is None
            setattr(engine, fault, False)
            entry.send(agent, make_chat(agent, "b", stream=stream))
            ended = await entry.wait(Ended, "b")
            assert ended.finish is Finish.WHOLE, ended.reason

    asyncio.run(play())


def test_a_crash_is_detected_and_survived():
    """The engine crashes during two streams and restarts cold.

    The callers must learn that their answers are lost, and the entries which
    requests ran. The restarted engine must not get more load than a cold one can
    handle.
    """

    async def play():
        engine = make_engine(restart_seconds=0.3)
        async with run_agent(engine) as (agent, _, (entry,)):
            entry.send(
                agent,
                make_chat(agent, "a", tokens=4000, fingerprint="f"),
                make_chat(agent, "b", tokens=4000, fingerprint="g"),
            )
            await entry.wait(Piece, "a")
            await entry.wait(Piece, "b")
            engine.crash()
            for attempt in ("a", "b"):
                ended = await entry.wait(Ended, attempt)
                assert ended.finish is Finish.ENGINE_CRASHED, ended.reason
            crash = await entry.wait(Crash)
            assert crash.fingerprints == ("f", "g")
            await run_until_started(agent, entry)
            assert entry.find(Load)[-1].window == COLD

    asyncio.run(play())


async def run_until_started(agent, entry):
    """Send starts until one isn't refused, like a retrying entry."""
    numbers = itertools.count()
    while True:
        attempt = f"c{next(numbers)}"
        entry.send(agent, make_chat(agent, attempt))
        await wait_until(
            lambda name=attempt: entry.find(Ended, name) or entry.find(NotStarted, name)
        )
        if ended := entry.find(Ended, attempt):
            assert ended[0].finish is Finish.WHOLE, ended[0].reason
            return
        assert entry.find(NotStarted, attempt)[0].refusal is Refusal.ENGINE_DOWN
        await asyncio.sleep(0.05)


def test_a_request_is_sent_once_on_a_connection_that_breaks():
    """The endpoint reads a request on a kept-alive connection and closes it.

    That happens when it crashes. A client that resends the request on a new
    connection runs it twice: the registrar issues two certificates.
    """

    async def play():
        seen = []

        async def serve(reader, writer):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/health" in head:
                    text = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
                    writer.write(text)
                    continue
                seen.append(head)
                if len(seen) == 2:
                    break
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            writer.close()

        endpoint = BareEndpoint(serve)
        async with run_agent(endpoint) as (agent, _, (entry,)):
            facts = Facts(revision=2, service="s")
            entry.send(agent, facts)
            starts = [
                make_chat(agent, name, service="s", version="", body=b"x")
                for name in ("a", "b")
            ]
            entry.send(agent, starts[0])
            ended = await entry.wait(Ended, "a")
            assert ended.finish is Finish.WHOLE, ended.reason
            entry.send(agent, starts[1])
            ended = await entry.wait(Ended, "b")
            assert ended.finish is Finish.CUT
            await asyncio.sleep(0.3)
            assert len(seen) == 2

    asyncio.run(play())


class BareEndpoint:
    """An endpoint whose connections are served by one coroutine function."""

    def __init__(self, serve):
        self._serve = serve
        self._server = None

    @property
    def url(self):
        host, port = self._server.sockets[0].getsockname()
        return f"http://{host}:{port}"

    async def start(self):
        self._server = await asyncio.start_server(self._guard, "127.0.0.1", 0)

    async def stop(self):
        self._server.close()

    async def _guard(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await self._serve(reader, writer)
        writer.close()


def test_a_plain_service_gets_the_request_unchanged():
    async def play():
        service = PlainService(name="s")
        async with run_agent(service) as (agent, _, (entry,)):
            entry.send(agent, Facts(revision=2, service="s"))
            start = make_chat(
                agent,
                "a",
                service="s",
                version="",
                stream=False,
                method="PUT",
                path="/prices?quarter=1",
                headers=(("Content-Type", "text/plain"), ("Connection", "close")),
                body=b"12.5",
            )
            entry.send(agent, start)
            ended = await entry.wait(Ended, "a")
            assert ended.finish is Finish.WHOLE, ended.reason
            assert service.effects == {"a": 1}
            assert b"12.5" in b"".join(entry.read_body("a"))

    asyncio.run(play())


def test_a_planned_stop_cuts_nothing():
    """An operator stops the instance while answers stream.

    One start is queued and another one arrives later. The running answers must
    complete and be billed. The starts must be refused at once as not run, so that
    they run elsewhere.
    """

    async def play():
        engine = make_engine()
        async with run_agent(engine) as (agent, _, (entry,)):
            names = [f"a{number}" for number in range(COLD)]
            for name in names:
                entry.send(agent, make_chat(agent, name, tokens=300))
                await entry.wait(Begun, name)
            ask = Ask(attempt="queued", agent=agent.incarnation)
            entry.send(agent, make_chat(agent, "queued"), ask)
            await entry.wait(Waits, "queued")
            stopping = asyncio.create_task(agent.stop())
            await wait_until(lambda: entry.find(Load)[-1].leaving)
            entry.send(agent, make_chat(agent, "late"))
            for name in ("queued", "late"):
                refused = await entry.wait(NotStarted, name)
                assert refused.refusal is Refusal.LEAVING
            for name in names:
                ended = await entry.wait(Ended, name)
                assert ended.finish is Finish.WHOLE, ended.reason
            first_end = entry.messages.index(entry.find(Ended)[0])
            refused = entry.find(NotStarted, "queued")[0]
            assert entry.messages.index(refused) < first_end
            assert not stopping.done()
            entry.send(agent, Settle(attempts=tuple(names)))
            async with asyncio.timeout(WAIT_SECONDS):
                await stopping
            assert [record.request for record in engine.started] == names

    asyncio.run(play())


class SlowStore(TableStore):
    """An object API in which each read takes a second."""

    async def read(self, **key):
        await asyncio.sleep(1.0)
        return await super().read(**key)


def test_no_answer_completes_while_a_stopping_agent_settles_bills():
    """An answer completes after the bills were collected, and is never billed.

    The grace period of a stopping agent is over and no entry has settled its bills,
    so it settles them itself. Meanwhile another answer completes.
    """

    async def play():
        engine = make_engine()
        table = ObjectTable(clock=time.monotonic)
        store = SlowStore(table=table, caller="x")
        async with run_agent(engine, grace_seconds=0.5, store=store) as running:
            agent, _, (entry,) = running
            agent.invariants.strict = False
            entry.send(agent, make_chat(agent, "short"))
            await entry.wait(Ended, "short")
            entry.send(agent, make_chat(agent, "long", tokens=200))
            await entry.wait(Begun, "long")
            await agent.stop()
            await wait_until(lambda: entry.find(Ended, "long"))
            ended = entry.find(Ended, "long")[0]
            assert (ended.finish, ended.reason) == (Finish.CUT, "the agent stopped")
            assert not agent._attempts.unsettled
            assert agent.invariants.broken == {Promise.GRACEFUL_STOP: 1}
            agent.invariants.broken.clear()

    asyncio.run(play())


def test_bills_of_a_lost_entry_go_to_another():
    """An entry crashes before the bill of an ended answer is in its ledger.

    The agent must reassign the bill to another entry and name the lost ledger, so
    that the answer is billed exactly once.
    """

    async def play():
        engine = make_engine()
        async with run_agent(engine, entries=2) as (agent, table, entries):
            lost, other = entries
            await wait_until(lambda: other.find(Load))
            lost.send(agent, make_chat(agent, "a"))
            await lost.wait(Ended, "a")
            table.remove(lost.name)
            custody = await other.wait(Custody)
            assert custody.holders == ("e0.1.1",)
            assert custody.into == "e1.1.1"
            assert [bill.attempt for bill in custody.bills] == ["a"]
            assert custody.bills[0].ledger == "e1.1.1"
            other.send(agent, Settle(attempts=("a",)))

    asyncio.run(play())
