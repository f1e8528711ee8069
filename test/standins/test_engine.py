"""Tests of the stand-in engine over real HTTP on loopback."""

import asyncio
import json

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.iostream import StreamClosedError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from eelgrassrack.standins.answers import BAD_MARKER, expected_text
from eelgrassrack.standins.engine import Engine

VERSION = "assess/1"
FAST = 2000.0


def run(scenario, **options):
    """Run a scenario with a new engine on its own event loop."""

    async def main():
        engine = Engine(
            name="e1",
            versions=[VERSION],
            **{"tokens_per_second": FAST, "restart_seconds": 0.05, **options},
        )
        await engine.start()
        try:
            async with asyncio.timeout(30):
                await scenario(engine)
        finally:
            await engine.stop()

    asyncio.run(main())


async def ask(
    engine, *, prompt="why", tokens=8, stream=False, request="r1", chunks=None
):
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=100)
    body = {
        "model": VERSION,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    }
    options = {"streaming_callback": chunks.append} if chunks is not None else {}
    try:
        return await client.fetch(
            f"{engine.url}/v1/chat/completions",
            method="POST",
            headers={"X-Request-Id": request},
            body=json.dumps(body),
            **options,
        )
    finally:
        client.close()


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.002)


def split_events(chunks):
    lines = b"".join(chunks).decode().split("\n\n")
    return [line.removeprefix("data: ") for line in lines if line]


def test_plain_answer_is_complete_and_has_the_request_id():
    async def scenario(engine):
        answer = json.loads((await ask(engine)).body)
        assert answer["id"] == "r1"
        content = answer["choices"][0]["message"]["content"]
        assert content == expected_text("why", VERSION, 8)
        assert answer["usage"]["completion_tokens"] == 8
        assert [each.request for each in engine.started] == ["r1"]

    run(scenario)


def test_stream_has_a_chunk_per_token_then_stop_usage_and_done():
    async def scenario(engine):
        chunks = []
        await ask(engine, stream=True, chunks=chunks)
        *events, done = split_events(chunks)
        events = [json.loads(event) for event in events]
        *tokens, stop, usage = events
        assert done == "[DONE]"
        assert {event["id"] for event in events} == {"r1"}
        assert len(tokens) == 8
        text = "".join(each["choices"][0]["delta"]["content"] for each in tokens)
        assert text == expected_text("why", VERSION, 8)
        assert stop["choices"][0]["finish_reason"] == "stop"
        assert usage["choices"] == []
        assert usage["usage"]["completion_tokens"] == 8

    run(scenario)


def test_slots_limit_running_requests_and_others_wait():
    async def scenario(engine):
        await asyncio.gather(*(ask(engine, request=str(n)) for n in range(9)))
        assert engine.max_running == 3
        assert engine.whole == 9

    run(scenario, slots=3)


def test_a_closed_connection_frees_the_slot():
    """A caller disconnects in the middle of a stream.

    If the engine continued, it would use slots for answers that nobody reads while
    other callers wait.
    """

    async def scenario(engine):
        body = json.dumps(
            {"model": VERSION, "messages": [], "max_tokens": 8000, "stream": True}
        )
        host, port = engine.url.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: {host}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write((head + body).encode())
        await reader.readuntil(b"data: ")
        assert engine.running == 1
        writer.close()
        await wait_until(lambda: engine.running == 0)
        assert engine.cancelled == 1
        assert engine.whole == 0

    run(scenario, tokens_per_second=100.0)


def test_an_overloaded_cold_engine_crashes():
    """A restarted engine gets full load before it is warm.

    It crashes, loses all its requests and restarts cold, so users see the same
    endpoint fail repeatedly.
    """

    async def scenario(engine):
        before = engine.incarnation
        slow = [
            asyncio.ensure_future(ask(engine, tokens=4000, request=str(n)))
            for n in range(2)
        ]
        await wait_until(lambda: engine.running == 2)
        with pytest.raises((HTTPClientError, StreamClosedError, OSError)):
            await ask(engine)
        assert engine.overloads == 1
        lost = await asyncio.gather(*slow, return_exceptions=True)
        assert all(isinstance(each, Exception) for each in lost)
        await wait_until(lambda: engine.incarnation != before)
        assert engine.cold
        for _ in range(2):
            await ask(engine)
        assert not engine.cold
        await asyncio.gather(*(ask(engine, request=str(n)) for n in range(6)))
        assert engine.crashes == 1

    run(scenario, cold_completions=2, cold_slots=2)


def test_a_query_of_death_crashes_the_whole_batch():
    """One request crashes the engine; the other requests of the batch are lost."""

    async def scenario(engine):
        engine.crash_text = "poison"
        other = asyncio.ensure_future(ask(engine, tokens=8000))
        await wait_until(lambda: engine.running == 1)
        with pytest.raises((HTTPClientError, StreamClosedError, OSError)):
            await ask(engine, prompt="a poison b")
        with pytest.raises((HTTPClientError, StreamClosedError, OSError)):
            await other
        with pytest.raises(ConnectionRefusedError):
            await ask(engine)
        assert engine.crashes == 1

    run(scenario, restart_seconds=60)


def test_faulty_answers_can_be_switched_on():
    async def scenario(engine):
        engine.answer_other_id = True
        assert json.loads((await ask(engine)).body)["id"] != "r1"
        engine.answer_other_id = False
        engine.garbage = True
        with pytest.raises(ValueError, match="utf-8"):
            json.loads((await ask(engine)).body)
        engine.garbage = False
        engine.end_early = True
        chunks = []
        await ask(engine, stream=True, chunks=chunks)
        assert "[DONE]" not in split_events(chunks)
        with pytest.raises((HTTPClientError, StreamClosedError, OSError)):
            await ask(engine)
        engine.end_early = False
        engine.bad_versions = {VERSION}
        assert BAD_MARKER in (await ask(engine)).body.decode()

    run(scenario)


def test_an_engine_that_never_answers_blocks_the_caller():
    async def scenario(engine):
        engine.never_answer = True
        task = asyncio.ensure_future(ask(engine))
        await wait_until(lambda: engine.running == 1)
        engine.never_answer = False
        await task
        assert engine.whole == 1

    run(scenario)


def test_a_known_prefix_is_cached_and_the_cache_is_bounded():
    async def scenario(engine):
        prompt = "x" * 640
        await ask(engine, prompt=prompt)
        assert engine.cache_hits == 0
        await ask(engine, prompt=prompt + "tail")
        assert engine.cache_hits == 10
        await ask(engine, prompt="y" * 1280)
        await ask(engine, prompt=prompt)
        assert engine.cache_hits == 10

    run(scenario, cache_blocks=12)


def test_the_health_report_lags():
    clock = [0.0]

    async def scenario(engine):
        engine.report_lag = 5.0
        clock[0] = 10.0
        engine.make_cold()
        assert not engine.report_health().cold
        clock[0] = 15.0
        assert engine.report_health().cold

    run(scenario, clock=lambda: clock[0])


@pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 200)])
def test_an_old_fencing_number_is_refused_or_ignored(checks, status):
    async def scenario(engine):
        client = AsyncHTTPClient(force_instance=True)
        statuses = [
            (
                await client.fetch(
                    f"{engine.url}/orders",
                    method="POST",
                    body=json.dumps({"order": order, "fence": fence}),
                    raise_error=False,
                )
            ).code
            for order, fence in [("load m/2", 7), ("load m/3", 6)]
        ]
        assert statuses == [200, status]
        assert ("m/3" in engine.versions) is not checks

    run(scenario, checks_orders=checks)
