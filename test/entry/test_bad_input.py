"""Tests that bad requests and bad engines harm no other request."""

import asyncio
import json
import types

import pytest

from eelgrassrack.entry import responder

from ..promises.world import KEYS, REGISTRY, TUTOR_EAST, World

TOO_LARGE = b" " * 1_000_001
QUESTION = {
    "model": "tutor",
    "messages": [{"role": "user", "content": "why"}],
    "max_tokens": 4,
}
CHAT = "/v1/chat/completions"
ISSUE = "/v1/services/registry/credentials"


@pytest.fixture
def world(monkeypatch):
    world = World(monkeypatch)
    try:
        world.start(plans=[TUTOR_EAST, REGISTRY])
        yield world
    finally:
        world.close()


def encode(**fields):
    return json.dumps({**QUESTION, **fields}).encode()


def send(world, body, *, path=CHAT, caller="school", **fields):
    work = world.callers[caller].send(
        url=f"{world.entry().url}{path}", body=body, fields=fields
    )
    return world.run(work)


def check_unharmed(world):
    """Check that other requests are answered and that no promise is broken."""
    world.ask("question after")
    assert all(answer.is_whole for answer in world.finish())
    world.check_all()


REFUSED = {
    "malformed JSON": (b'{"model": "tutor", ', {}, 400, "bad_request"),
    "not UTF-8": (b'{"model": "\xff"}', {}, 400, "bad_request"),
    "JSON too deep": (b"[" * 100_000, {}, 400, "bad_request"),
    "no messages": (encode(messages=[]), {}, 400, "bad_request"),
    "tokens out of range": (encode(max_tokens=-1), {}, 400, "bad_request"),
    "unknown model": (encode(model="oracle"), {}, 404, "model_not_found"),
    "unknown version": (encode(model="tutor/9"), {}, 404, "model_not_found"),
    "not allowed": (
        encode(model="tutor/2"),
        {"caller": "college"},
        403,
        "model_not_allowed",
    ),
    "no key": (encode(), {"Authorization": ""}, 401, "no_key"),
    "wrong key": (encode(), {"Authorization": "Bearer x"}, 401, "wrong_key"),
    "body too large": (TOO_LARGE, {}, 413, "body_too_large"),
    "headers too long": (encode(), {"X-Long": "x" * 20_000}, 431, "headers_too_long"),
    "session too long": (
        encode(),
        {"Eelgrassrack-Session": "s" * 600},
        431,
        "header_too_long",
    ),
    "deadline passed": (
        encode(),
        {"Eelgrassrack-Deadline": "-0.5"},
        408,
        "deadline_passed",
    ),
    "deadline is no number": (
        encode(),
        {"Eelgrassrack-Deadline": "soon"},
        400,
        "bad_request",
    ),
    "unknown path": (b"", {"path": "/v2/chat"}, 404, "not_found"),
    "unknown service": (
        b"",
        {"path": "/v1/services/oracle/"},
        404,
        "service_not_found",
    ),
    "no Idempotency-Key": (b"", {"path": ISSUE}, 400, "idempotency_key_missing"),
}


@pytest.mark.parametrize("name", REFUSED)
def test_a_bad_request_is_refused_and_harms_no_other(world, name):
    """A caller sends an invalid request.

    The response names the error and says that nothing was run.  It has no
    Retry-After, because a retry is useless.  Other callers get their answers.
    """
    body, fields, status, code = REFUSED[name]
    world.ask("question before", tokens=40)
    starts = world.count_starts(prompt="why")
    answer = send(world, body, **fields)
    assert (answer.status, answer.code, answer.run) == (status, code, "not-run")
    assert answer.request and not answer.retry_after
    assert json.loads(answer.body)["error"]["message"]
    assert world.count_starts(prompt="why") == starts == 0
    assert not world.services[0].executions
    assert world.entry().core.meter.counts[f"refused_{code}"] == 1
    check_unharmed(world)


FAULTS = {
    "garbage": ("garbage", 502),
    "ends early": ("end_early", 502),
    "another request's id": ("answer_other_id", 502),
    "never answers": ("never_answer", 504),
}


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("name", FAULTS)
def test_a_bad_engine_fails_only_its_own_request(world, name, stream):
    """An engine's answer is invalid once.

    Its caller is told that the request ran without a result: by the status,
    or, if the answer had begun, by an error event and a closed connection, so
    that no client takes it for complete.  The next request is answered.
    """
    fault, status = FAULTS[name]
    engine = world.standin("tutor-east")
    setattr(engine, fault, True)
    fields = {"Eelgrassrack-Deadline": "1"} if status == 504 else {}
    answer = send(world, encode(stream=stream), **fields)
    if stream and fault == "end_early":
        # The status was sent already, so the connection is closed.
        assert answer.status == 0 or b'"error"' in answer.body
    else:
        assert (answer.status, answer.run) == (status, "ran"), answer
        assert bool(answer.retry_after) == (status == 502)
        assert answer.code
    counts = world.entry().core.meter.counts
    world.wait(lambda: sum(n for c, n in counts.items() if c.startswith("failed_")))
    setattr(engine, fault, False)
    world.ask("question after")
    assert all(answer.is_whole for answer in world.finish())
    assert not world.system.invariants.broken


async def connect(world):
    host, port = "127.0.0.1", world.entry().port
    return await asyncio.open_connection(host, port)


def build_head(body, path=CHAT, **fields):
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {KEYS['school']}",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in fields.items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def test_callers_that_send_slowly_dont_delay_others(world):
    """Fifty callers send half of their requests and then pause.

    Other callers are answered in the meantime, and the slow ones once they
    have sent the rest.
    """
    body = encode(stream=False)

    async def begin():
        reader, writer = await connect(world)
        writer.write(build_head(body) + body[:10])
        await writer.drain()
        return reader, writer

    async def end(reader, writer):
        writer.write(body[10:])
        await reader.readuntil(b"\r\n\r\n")
        writer.close()

    async def gather(work):
        return await asyncio.gather(*work)

    slow = world.run(gather(begin() for _ in range(50)))
    world.ask("question meanwhile")
    assert all(answer.is_whole for answer in world.finish())
    assert world.count_starts(prompt="why") == 0
    world.run(gather(end(*each) for each in slow))
    assert world.count_starts(prompt="why") == 50


def test_a_caller_that_disconnects_frees_its_slot(world):
    """A caller closes its connection in the middle of a long answer.

    The engine's slot is free for others at once, and the tokens generated so
    far are billed.
    """
    engine = world.standin("tutor-east")

    async def ask_and_disconnect():
        body = encode(stream=True, max_tokens=4000)
        reader, writer = await connect(world)
        writer.write(build_head(body) + body)
        await reader.readuntil(b"data: ")
        writer.close()

    world.run(ask_and_disconnect())
    world.wait(lambda: engine.cancelled == 1 and not engine.running)
    counts = world.entry().core.meter.counts
    world.wait(lambda: counts["callers_gone"] == 1)
    assert world.wait_billed(1).organisations[0].requests == 1
    world.ask("question after")
    assert all(answer.is_whole for answer in world.finish())


def test_a_run_that_isnt_repeatable_goes_on_when_its_caller_disconnects(world):
    """A caller closes its connection while its credential is issued.

    The run goes on to its end, and a resend gets its answer.
    """
    service = world.standin("registry")
    service.delay = 0.3

    async def issue_and_disconnect():
        fields = {"Idempotency-Key": "one"}
        _, writer = await connect(world)
        writer.write(build_head(b"one", ISSUE, **fields) + b"one")
        while not service.running:
            await asyncio.sleep(0.01)
        writer.close()

    world.run(issue_and_disconnect())
    world.issue("one")
    assert [answer.status for answer in world.finish()] == [200]
    assert world.count_effects("one") == 1
    world.check_all()


def test_the_connection_of_a_caller_that_reads_nothing_is_closed(monkeypatch):
    """A caller stops reading, and its answer fills the entry's memory.

    After `STALL_SECONDS` its connection is closed, and nothing more is
    buffered for it.
    """
    now = 0.0
    written = []
    stream = types.SimpleNamespace(writing=lambda: True, close=lambda: None)
    connection = types.SimpleNamespace(stream=stream, write=written.append)
    handler = types.SimpleNamespace(
        request=types.SimpleNamespace(connection=connection)
    )
    loop = types.SimpleNamespace(time=lambda: now)
    monkeypatch.setattr(responder.asyncio, "get_running_loop", lambda: loop)
    stalled = responder.HttpResponder(handler=handler)
    for seconds in (0.0, responder.STALL_SECONDS, responder.STALL_SECONDS + 1, 99.0):
        now = seconds
        stalled.write(b"piece")
    assert stalled.has_ended
    assert len(written) == 3
