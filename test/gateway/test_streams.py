"""Tests of event streams, their priorities and the choice of models."""

import asyncio

import pytest

from eelgrassrack.platform.headers import STAMP
from eelgrassrack.platform.store import Kinds
from eelgrassrack.standins.directengine import (
    STAMP_VALUE,
    Events,
    Raw,
    Reply,
)

from .world import (
    ANY_MODEL_HEADERS,
    call,
    connect,
    make_manifest,
    make_world,
    run,
    wait_for,
)


def list_ids(body):
    """Return the ids of a stream's events."""
    lines = body.decode().split("\n")
    return [line.removeprefix("id: ") for line in lines if line.startswith("id")]


def test_a_stream_resumes_on_another_endpoint():
    """An endpoint crashes in the middle of an event.

    The caller gets each event once and in order, and the end of the stream.
    """

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            first = await world.add_engine(
                "e1", Events(count=6, breaks_after=2), slots=100, **rest
            )
            second = await world.add_engine("e2", Events(count=6), slots=1, **rest)
            await world.start_gateway()
            await world.wait_ready()
            got = await world.call("/chat/1")
            assert got.is_whole
            assert list_ids(got.body) == ["1", "2", "3", "4", "5", "6"]
            assert second.runs[0].headers["last-event-id"] == "2"
            assert len(first.runs) == 1

    run(main())


UNFRAMED_HEAD = (
    f"HTTP/1.1 200 OK\r\n{STAMP}: {STAMP_VALUE}\r\n"
    "Content-Type: text/event-stream\r\n\r\n"
).encode()
EVENT = b"id: 1\ndata: 1\n\n"


def test_a_stream_without_length_or_chunks_ends_with_its_connection():
    async def main():
        async with make_world() as world:
            answer = Raw(pieces=(UNFRAMED_HEAD, EVENT))
            await world.add_engine("e1", answer, service="models")
            await world.start_gateway()
            await world.wait_ready()
            got = await world.call("/once/1")
            assert (got.status, got.body, got.is_whole) == (200, EVENT, True)

    run(main())


def test_a_stream_without_length_that_ends_within_an_event_is_broken_off():
    """The next endpoint sends the rest, and a stream that can't resume isn't whole."""

    async def main():
        async with make_world() as world:
            broken = Raw(pieces=(UNFRAMED_HEAD, EVENT + b"id: 2\nda"))
            rest = {"service": "models", "slots": 100}
            first = await world.add_engine("e1", broken, **rest)
            await world.start_gateway()
            await world.wait_ready()
            assert not (await world.call("/once/1")).is_whole
            await world.add_engine("e2", Events(count=3), service="models")
            await wait_for(lambda: world.gateways[0].fleet.find("e2"))
            got = await world.call("/chat/1", attempt="a2")
            assert got.is_whole
            assert got.body.count(b"id: ") == 3
            assert first.runs

    run(main())


def make_events(*numbers):
    return b"".join(f"id: {one}\ndata: {one}\n\n".encode() for one in numbers)


def test_events_that_are_repeated_piece_by_piece_are_left_out():
    """Guards against events that a caller gets twice when its stream is resumed."""

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            await world.add_engine(
                "e1", Events(count=6, breaks_after=4), slots=100, **rest
            )
            pieces = (UNFRAMED_HEAD, *map(make_events, range(1, 7)))
            await world.add_engine("e2", Raw(pieces=pieces, gap=0.05), slots=1, **rest)
            await world.start_gateway()
            await world.wait_ready()
            got = await world.call("/chat/1")
            assert got.is_whole
            assert list_ids(got.body) == ["1", "2", "3", "4", "5", "6"]

    run(main())


@pytest.mark.parametrize("status", [200, 204, 404])
def test_an_answer_that_resumes_no_stream_is_never_joined_to_one(status):
    """Guards against a second answer's head and body in the midst of a stream."""

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            await world.add_engine(
                "e1", Events(count=6, breaks_after=2), slots=100, **rest
            )
            other = await world.add_engine(
                "e2", Reply(status=status, body=b""), slots=1, **rest
            )
            await world.start_gateway()
            await world.wait_ready()
            caller = await connect(world.settings[0].listen)
            caller.send("/chat/1")
            got = await asyncio.wait_for(caller.reader.read(), 10.0)
            assert other.runs
            assert got.startswith(b"HTTP/1.1 200 ")
            assert got.count(b"HTTP/1.1") == 1
            assert b"id: 2\n" in got
            # The last chunk, which would make the answer look whole.
            assert not got.endswith(b"0\r\n\r\n")
            caller.close()

    run(main())


def test_a_caller_that_has_all_events_gets_the_end():
    """A caller's connection broke after the last event and before the end.

    The caller resumes after the last event, and the endpoint has no more events.
    """

    async def main():
        async with make_world() as world:
            await world.add_engine("e1", Events(count=3), service="models")
            await world.start_gateway()
            await world.wait_ready()
            got = await world.call("/chat/1", headers=[("Last-Event-Id", "3")])
            assert (got.status, got.body, got.is_whole) == (200, b"", True)

    run(main())


def test_a_broken_stream_that_cant_resume_never_looks_whole():
    """An endpoint crashes during a stream that isn't resumable."""

    async def main():
        async with make_world() as world:
            rest = {"service": "models"}
            await world.add_engine("e1", Events(count=6, breaks_after=2), **rest)
            await world.start_gateway()
            await world.wait_ready()
            got = await world.call("/once/1")
            assert got.status == 200
            assert not got.is_whole
            assert got.body.count(b"\n\n") == 2

    run(main())


def test_low_confidence_escalates_to_a_better_model():
    async def main():
        async with make_world() as world:
            engine = await world.add_engine(
                "e1",
                Events(count=50, gap=0.01, confidence=10),
                Events(count=3, confidence=90),
                service="models",
            )
            await world.start_gateway()
            await world.wait_ready()
            got = await world.call("/chat/1", headers=ANY_MODEL_HEADERS)
            assert got.is_whole
            assert got.body.count(b"\n\n") == 3
            assert [one.model for one in engine.runs] == ["small", "large"]

    run(main())


def test_engines_are_told_to_read_short_prompts_first():
    """Engines are full, and a question would wait behind long documents.

    A priority that a caller sets itself is not forwarded.
    """

    async def main():
        async with make_world() as world:
            engine = await world.add_engine("e1", Events(), service="models")
            await world.start_gateway()
            await world.wait_ready()
            for tokens in (50_000, 300):
                usage = ("X-Token-Usage", f"{tokens},50")
                headers = [("X-Model", "*"), usage, ("X-Request-Priority", "0")]
                assert (await world.call("/chat/1", headers=headers)).status == 200
            ranks = [int(run.headers["x-request-priority"]) for run in engine.runs]
            assert ranks[0] > ranks[1]

    run(main())


def test_all_gateways_deprioritise_an_organisations_burst():
    """One of five organisations sends sixty times as much as the others.

    All of it goes through one gateway.  Another gateway must deprioritise the
    organisation too, or other callers would wait for the burst.
    """
    names = [f"org{number}" for number in range(5)]
    ask = (("X-Model", "*"), ("X-Token-Usage", "450,50"))

    def make_tenants():
        return [{"name": name, "apiKeys": [f"key-{name}"]} for name in names]

    async def main():
        async with make_world() as world:
            manifest = {**make_manifest(version=2), "tenants": make_tenants()}
            world.store.put(kind=Kinds.CONFIGURATION, name="main", spec=manifest)
            engine = await world.add_engine("e1", Events(), service="models")
            for number in (1, 2):
                await world.start_gateway(number=number)
                await world.wait_ready(number - 1)
            await wait_for(
                lambda: all(one.router.version == 2 for one in world.gateways)
            )

            async def rank(name, number):
                """Send a prompt and return the priority that the engine received."""
                key = f"key-{name}"
                got = await world.call("/chat/1", number=number, key=key, headers=ask)
                assert got.status == 200
                return int(engine.runs[-1].headers["x-request-priority"])

            before = [await rank(name, 1) for name in names]
            assert len(set(before)) == 1
            for _ in range(60):
                await rank("org3", 0)
            async with asyncio.timeout(4.0):
                while await rank("org3", 1) <= before[0]:
                    await asyncio.sleep(0.1)
            address = f"{world.settings[1].address}:{world.settings[1].metrics_port}"
            metrics = await call(address, "/metrics", method="GET", body=b"")
            assert b"gateway_heavy_organisations 1.0" in metrics.body
            assert b"gateway_slow_endpoints 0.0" in metrics.body
            assert await rank("org1", 1) == before[0]

    run(main())


def test_a_caller_that_names_its_model_gets_it():
    async def main():
        async with make_world() as world:
            engine = await world.add_engine(
                "e1", Events(count=3, confidence=0), service="models"
            )
            await world.start_gateway()
            await world.wait_ready()
            got = await world.call("/chat/1", headers=[("X-Model", "middle")])
            assert got.is_whole
            assert [one.model for one in engine.runs] == ["middle"]

    run(main())


def test_a_stream_is_cancelled_when_its_caller_disconnects():
    """A caller closes its connection in the middle of a stream.

    Otherwise the endpoint would keep generating without a reader.
    """

    async def main():
        async with make_world() as world:
            engine = await world.add_engine(
                "e1", Events(count=500, gap=0.02), service="models"
            )
            await world.start_gateway()
            await world.wait_ready()
            caller = await connect(world.settings[0].listen)
            caller.send("/chat/1")
            await caller.reader.readuntil(b"\n\n")
            caller.close()
            await wait_for(lambda: engine.cancelled, seconds=0.5)

    run(main())


def test_a_stream_resumes_after_its_key_was_revoked():
    """An endpoint breaks a stream off after the caller's key was revoked.

    The caller was authorised when it arrived and has half of its stream.
    """

    async def main():
        async with make_world() as world:
            broken = Events(count=6, gap=0.2, breaks_after=3)
            await world.add_engine("e1", broken, service="models", slots=100)
            await world.add_engine("e2", Events(count=6), service="models", slots=1)
            gateway = await world.start_gateway()
            await world.wait_ready()
            calling = asyncio.ensure_future(world.call("/chat/1"))
            await wait_for(lambda: gateway.ingress.open_requests)
            world.configure(version=2, keys=("another",))
            await wait_for(lambda: gateway.router.version == 2)
            got = await calling
            assert got.is_whole
            assert got.body.count(b"id: ") == 6

    run(main())
