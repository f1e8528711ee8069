"""Tests of requests that run, or arrive, while an entry stops."""

import asyncio
import json
import socket
import time

import pytest

from eelgrassrack.agent.attempts import Phase
from eelgrassrack.entry.entry import EntryDaemon
from eelgrassrack.entry.sessions import Sessions
from eelgrassrack.standins import system

from ..promises.world import NOT_RUN, REGISTRY, TUTOR_EAST, World, make_serial_document

GRACE_SECONDS = 1.0
LONG_GRACE_SECONDS = 10.0
LONG_RUN_SECONDS = 7.0
SHORT_DEADLINE = {"Eelgrassrack-Deadline": "0.8"}
BODY_BYTES = 800_000
BUFFER_BYTES = 65_536
HEAD = (
    "POST {path} HTTP/1.1\r\nHost: entry\r\n"
    "Authorization: Bearer school-key\r\nContent-Length: {size}\r\n\r\n"
)
CHAT = "/v1/chat/completions"


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr(system, "QUICK_GRACE_SECONDS", GRACE_SECONDS)
    world = World(monkeypatch)
    try:
        yield world
    finally:
        world.close()


def stop(world):
    """Tell entry 0 to stop; return its URL and the task of the stop."""
    url = world.entry().url
    task = world.loop.create_task(world.system.stop_entry("entry-0"))
    world.run(asyncio.sleep(0.05))
    return url, task


async def connect(url):
    host, _, port = url.removeprefix("http://").rpartition(":")
    return await asyncio.open_connection(host, int(port))


def build_request(body, path=CHAT):
    return HEAD.format(path=path, size=len(body)).encode() + body


def build_chat(prompt, *, tokens):
    fields = {
        "model": "tutor",
        "messages": [{"role": "user", "content": prompt}],
        "stream": True,
        "max_tokens": tokens,
    }
    return build_request(json.dumps(fields).encode())


async def read_all(url, request):
    """Send a request over a new connection and read until it closes."""
    reader, writer = await connect(url)
    writer.write(request)
    data = await reader.read()
    writer.close()
    return data


def ask_late(world, url, **fields):
    """Send a short request to an entry that is stopping."""
    work = world.callers["school"].chat(url=url, model="tutor", prompt="late", **fields)
    return world.run(work)


def test_a_request_that_runs_at_the_end_of_the_grace_is_answered(world):
    """Guards against a stop that doesn't answer a running request."""
    world.start(plans=[TUTOR_EAST])
    world.hold_engines()
    sent = world.ask("runs", stream=False)
    world.wait(lambda: world.standin("tutor-east").started)
    _, stopping = stop(world)
    (answer,) = world.finish(sent)
    world.run(stopping)
    assert (answer.status, answer.run, answer.code) == (502, "ran", "stopping")


def test_a_request_that_waits_at_the_end_of_the_grace_is_refused(world):
    """Guards against a stop that doesn't answer a queued request."""
    world.start(plans=[TUTOR_EAST], document=make_serial_document())
    world.hold_engines()
    world.ask("fills", entry=1)
    world.wait(lambda: world.standin("tutor-east").started)
    sent = world.ask("waits")
    agent = world.agent("tutor-east")
    world.wait(lambda: agent._attempts.find_by_phase(Phase.QUEUED))
    _, stopping = stop(world)
    (answer,) = world.finish(sent)
    world.run(stopping)
    world.release_engines()
    world.finish()
    assert (answer.status, answer.run) == (503, NOT_RUN)
    assert answer.retry_after
    assert not world.count_starts(prompt="waits")


def test_a_stream_that_is_cut_off_by_the_stop_ends_with_an_error_event(world):
    """Guards against a stop that ends a stream without an error event."""
    world.start(plans=[TUTOR_EAST])

    async def read():
        reader, writer = await connect(world.entry().url)
        writer.write(build_chat("streams", tokens=200))
        await reader.readuntil(b"data: ")
        world.hold_engines()
        stopping = asyncio.create_task(world.system.stop_entry("entry-0"))
        data = await reader.read()
        writer.close()
        await stopping
        return data

    assert b'"error"' in world.run(read())


def test_a_service_request_that_runs_at_the_end_of_the_grace_is_answered(world):
    """Guards against a stop that doesn't answer a non-repeatable request."""
    world.start(plans=[REGISTRY])
    world.standin("registry").answer_delay = LONG_RUN_SECONDS
    sent = world.issue("key")
    world.wait(lambda: world.count_effects("key"))
    _, stopping = stop(world)
    (answer,) = world.finish(sent)
    world.run(stopping)
    (resent,) = world.finish(world.issue("key", entry=1))
    assert (answer.status, answer.run) == (504, "unknown")
    assert resent.status == 200
    assert world.count_effects("key") == 1


def test_a_request_that_waits_for_the_store_at_the_end_is_answered(world, monkeypatch):
    """Guards against a stop that doesn't answer while a session is looked up."""
    world.start(plans=[TUTOR_EAST])

    async def wait(*unused):
        await asyncio.sleep(LONG_RUN_SECONDS)

    monkeypatch.setattr(Sessions, "_pick", wait)
    sent = world.ask("waits")
    world.run(asyncio.sleep(0.1))
    _, stopping = stop(world)
    (answer,) = world.finish(sent)
    world.run(stopping)
    assert (answer.status, answer.run) == (504, "unknown")


def test_a_request_that_is_still_being_sent_is_answered(world):
    """Guards against a stop that doesn't answer a caller that sends its body."""
    world.start(plans=[TUTOR_EAST])

    async def read():
        request = build_chat("half", tokens=8)[:-20]
        reading = asyncio.create_task(read_all(world.entry().url, request))
        await asyncio.sleep(0.1)
        await world.system.stop_entry("entry-0")
        return await reading

    assert world.run(read()).startswith(b"HTTP/1.1 503")


def test_a_stream_that_hasnt_begun_when_the_stop_begins_is_buffered(world):
    """Guards against a stopping entry that begins a stream and then cuts it off."""
    world.start(plans=[TUTOR_EAST])
    engine = world.standin("tutor-east")
    world.hold_engines()

    async def read():
        request = build_chat("slow", tokens=2_000)
        reading = asyncio.create_task(read_all(world.entry().url, request))
        while not engine.started:
            await asyncio.sleep(0.01)
        stopping = asyncio.create_task(world.system.stop_entry("entry-0"))
        await asyncio.sleep(0.1)
        world.release_engines()
        data = await reading
        await stopping
        return data

    assert world.run(read()).startswith(b"HTTP/1.1 502")


def test_a_stop_without_grace_period_answers_too(world, monkeypatch):
    """Guards against a second signal that closes connections unanswered."""
    monkeypatch.setattr(system, "QUICK_GRACE_SECONDS", LONG_GRACE_SECONDS)
    world.start(plans=[TUTOR_EAST])
    world.hold_engines()
    sent = world.ask("runs", stream=False)
    world.wait(lambda: world.standin("tutor-east").started)
    entry = world.entry()
    _, stopping = stop(world)
    began = time.monotonic()
    entry.skip_grace_period()
    (answer,) = world.finish(sent)
    world.run(stopping)
    assert (answer.status, answer.run, answer.code) == (502, "ran", "stopping")
    assert time.monotonic() - began < LONG_GRACE_SECONDS / 2


def test_a_late_stream_that_cant_end_in_time_is_refused(world):
    """Guards against a stopping entry that admits a stream and then cuts it off."""
    world.start(plans=[TUTOR_EAST])
    url, stopping = stop(world)
    data = world.run(read_all(url, build_chat("late", tokens=2_000)))
    world.run(stopping)
    assert data.startswith(b"HTTP/1.1 503")
    assert not world.count_starts()


def test_a_late_stream_that_takes_longer_than_expected_is_buffered(world, monkeypatch):
    """Guards against a stream that is begun, and cut off, after a wrong estimate."""
    monkeypatch.setattr(system, "QUICK_GRACE_SECONDS", 3.0)
    world.start(plans=[TUTOR_EAST])
    engine = world.standin("tutor-east")
    engine.slow_factor = 200.0
    url, stopping = stop(world)
    data = world.run(read_all(url, build_chat("late", tokens=8)))
    world.run(stopping)
    assert engine.started
    assert data.startswith(b"HTTP/1.1 5")


def test_a_late_request_that_may_not_be_repeated_is_refused(world):
    """Guards against a stopping entry that cuts off a non-repeatable run."""
    world.start(plans=[REGISTRY])
    url, stopping = stop(world)
    work = world.callers["school"].send(
        url=f"{url}/v1/services/registry/credentials",
        body=b"late",
        fields={"Idempotency-Key": "late"},
    )
    answer = world.run(work)
    world.run(stopping)
    assert (answer.status, answer.run) == (503, NOT_RUN)
    assert not world.count_effects("late")


def test_a_late_request_with_a_short_deadline_is_served(world):
    """Guards against a stopping entry that refuses requests with time to end."""
    world.start(plans=[TUTOR_EAST])
    url, stopping = stop(world)
    answer = ask_late(world, url, fields=SHORT_DEADLINE, max_tokens=1)
    world.run(stopping)
    assert answer.is_whole


def test_a_late_request_that_is_expected_to_end_in_time_is_served(world, monkeypatch):
    """Guards against refusals of all late requests, which use up retries."""
    monkeypatch.setattr(system, "QUICK_GRACE_SECONDS", LONG_GRACE_SECONDS)
    world.start(plans=[TUTOR_EAST])
    url, stopping = stop(world)
    answer = ask_late(world, url)
    world.run(stopping)
    assert answer.is_whole


def test_a_slow_caller_gets_its_whole_answer_from_a_stopping_entry(world, monkeypatch):
    """Guards against a stop that cuts off a complete but unsent answer."""
    monkeypatch.setattr(system, "QUICK_GRACE_SECONDS", LONG_GRACE_SECONDS)
    world.start(plans=[REGISTRY])
    for listening in world.entry()._server._sockets.values():
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)

    async def read():
        reader, writer = await connect(world.entry().url)
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
        )
        writer.write(build_request(b"x" * BODY_BYTES, "/v1/services/registry/echo"))
        await reader.readuntil(b"\r\n\r\n")
        stopping = asyncio.create_task(world.system.stop_entry("entry-0"))
        await asyncio.sleep(1.0)
        data = await reader.read()
        writer.close()
        await stopping
        return data

    assert len(world.run(read())) > BODY_BYTES


@pytest.mark.parametrize("passes", range(6))
@pytest.mark.parametrize("size", [1, 30, None])
def test_a_request_that_is_read_as_the_entry_ends_gets_an_answer(
    world, monkeypatch, passes, size
):
    """Its bytes are read some iterations of the event loop before idle callers go."""
    world.start(plans=[TUTOR_EAST])
    request = build_chat("late", tokens=5)
    head_size = request.index(b"\r\n\r\n") + 4
    part = request if size is None else request[: head_size + size]
    dismiss = EntryDaemon._dismiss_callers
    sockets = []

    async def send_and_dismiss(daemon):
        for one in sockets:
            one.sendall(part)
        for _ in range(passes):
            await asyncio.sleep(0)
        await dismiss(daemon)

    monkeypatch.setattr(EntryDaemon, "_dismiss_callers", send_and_dismiss)
    url, stopping = stop(world)
    host, _, port = url.removeprefix("http://").rpartition(":")
    sockets += [socket.create_connection((host, int(port))) for _ in range(5)]
    world.run(stopping)
    for one in sockets:
        status = read_status(one)
        assert status in {408, 503}
        one.close()


def read_status(connection):
    """Return the status of the answer on a blocking socket, 0 without one."""
    connection.settimeout(2.0)
    try:
        line = connection.recv(BUFFER_BYTES).split(b"\r\n")[0]
    except OSError:
        return 0
    return int(line.split()[1]) if line else 0
