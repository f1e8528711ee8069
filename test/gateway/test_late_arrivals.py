"""Requests that reach a gateway long after its stop signal."""

import asyncio
import collections
import contextlib
import itertools
import random

import msgspec
import pytest

from eelgrassrack.gateway.endpoints import pool
from eelgrassrack.gateway.gracefulstop import LISTEN_MARGIN_SECONDS, ROTATION_SECONDS
from eelgrassrack.gateway.requests.serving import LOADING_WAIT_SECONDS
from eelgrassrack.standins.directengine import (
    Break,
    Echo,
    Events,
    Hang,
    Refuse,
    Reply,
)

from .virtualtime import run_in_virtual_time
from .world import CallerResponse, connect, make_world, run

LONG_TIMEOUT_MS = 8_000

PERSISTENT_CALLERS = 10

# The head and the beginning of a body of a request; it keeps a stop from ending early.
HALF = b"POST /look/k HTTP/1.1\r\nHost: api.example\r\nContent-Length: 9\r\n\r\nab"

# A prompt whose answer is expected to take a tenth of a second.
SHORT_ANSWER = (("X-Token-Usage", "1000,20"),)

# Far less than a request without a configuration waits before a stop.
AT_ONCE_SECONDS = LOADING_WAIT_SECONDS / 8


async def call_stopping(world, path, *, after, **rest):
    """Send a request `after` seconds into a gateway's stop; return the answer."""
    gateway = world.gateways[0]
    keeping = await connect(world.settings[0].listen)
    keeping.send("/once/keep", timeout_ms=LONG_TIMEOUT_MS)
    await asyncio.sleep(0.1)
    stopping = asyncio.ensure_future(gateway.stop())
    await asyncio.sleep(after)
    caller = await connect(world.settings[0].listen)
    caller.send(path, **rest)
    got = await caller.read()
    await stopping
    caller.close()
    keeping.close()
    return got


def test_a_stream_that_takes_far_longer_than_expected_isnt_cut_by_a_stop():
    """A stopping gateway accepts a stream that its endpoint then sends too slowly."""

    async def main():
        async with make_world() as world:
            await world.add_engine(
                "e1",
                Events(count=80, gap=0.1),
                Events(count=40, gap=0.1),
                service="models",
            )
            await world.start_gateway()
            await world.wait_ready()
            got = await call_stopping(
                world,
                "/chat/late",
                after=ROTATION_SECONDS + 0.6,
                headers=SHORT_ANSWER,
                timeout_ms=LONG_TIMEOUT_MS,
            )
            assert got.is_whole

    run(main())


def test_callers_that_come_until_the_end_are_all_answered_or_refused():
    """All gateways are stopping, and callers reach this one without a pause.

    Until the socket is closed, every caller that connects gets an answer.
    """

    async def keep_asking(world, answered):
        with contextlib.suppress(ConnectionRefusedError):
            while True:
                answered.append((await world.call(attempt="late")).is_whole)

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            gateway = await world.start_gateway()
            await world.wait_ready()
            stopping = asyncio.ensure_future(gateway.stop())
            await asyncio.sleep(ROTATION_SECONDS - 0.1)
            answered = []
            await asyncio.gather(
                *(keep_asking(world, answered) for _ in range(PERSISTENT_CALLERS))
            )
            await stopping
            assert all(answered)

    run(main())


def test_a_request_that_is_never_answered_isnt_dropped_by_a_stop():
    """A stopping gateway accepts a request, and its endpoint falls silent."""

    async def main():
        async with make_world() as world:
            engine = await world.add_engine("e1", Hang(), service="models")
            await world.start_gateway()
            await world.wait_ready()
            got = await call_stopping(
                world, "/final/late", after=2.0, timeout_ms=LONG_TIMEOUT_MS
            )
            assert got.is_whole
            assert got.status == 504
            left_ms = (world.settings[0].grace_seconds - 2.0) * 1_000
            assert int(engine.runs[-1].headers["x-deadline-ms"]) < left_ms

    run(main())


def test_a_request_that_was_never_sent_is_said_not_to_have_run(monkeypatch):
    """A stopping gateway exits while an endpoint still accepts no connection."""

    async def never_open(**_):
        await asyncio.sleep(LONG_TIMEOUT_MS / 1_000)

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            await world.add_engine("e2", Events(count=80, gap=0.1), service="models")
            gateway = await world.start_gateway()
            await world.wait_ready()
            keeping = await connect(world.settings[0].listen)
            keeping.send("/once/keep", timeout_ms=LONG_TIMEOUT_MS)
            await asyncio.sleep(0.1)
            monkeypatch.setattr(pool, "open_connection", never_open)
            stopping = asyncio.ensure_future(gateway.stop())
            await asyncio.sleep(ROTATION_SECONDS - 0.3)
            assert (await world.call("/chat/late", timeout_ms=8_000)).status == 503
            await stopping
            keeping.close()

    run(main())


def test_a_request_that_waits_for_a_configuration_is_answered_at_a_stop():
    """A gateway without a configuration exits while complete requests wait for it.

    One waits when the stop begins, the other comes just before the socket is closed.
    """

    async def main():
        clock = asyncio.get_running_loop().time
        async with make_world(configured=False) as world:
            gateway = await world.start_gateway()
            await asyncio.sleep(0.3)
            assert gateway.has_store
            keeping = await connect(world.settings[0].listen)
            keeping.writer.write(HALF)
            early = await connect(world.settings[0].listen)
            early.send("/look/0")
            reading = asyncio.ensure_future(early.read())
            await asyncio.sleep(LOADING_WAIT_SECONDS / 2)
            assert not reading.done()
            stopping = asyncio.ensure_future(gateway.stop())
            stopped_at = clock()
            assert (await reading).status == 503
            assert clock() < stopped_at + AT_ONCE_SECONDS
            grace = world.settings[0].grace_seconds
            closes_at = stopped_at + grace - LISTEN_MARGIN_SECONDS
            await asyncio.sleep(closes_at - 0.1 - clock())
            caller = await connect(world.settings[0].listen)
            sent_at = clock()
            caller.send("/look/1")
            assert (await caller.read()).status == 503
            assert clock() < sent_at + AT_ONCE_SECONDS
            await stopping
            early.close()
            caller.close()
            keeping.close()

    run_in_virtual_time(main())


PLAIN_STEPS = (
    Echo(delay=0.02),
    Echo(delay=0.9),
    Reply(status=500),
    Refuse(),
    Break(),
    Hang(),
)
MODEL_STEPS = (
    Events(count=3, gap=0.02, confidence=90),
    Events(count=10, gap=0.02, confidence=0),
    Events(count=40, gap=0.1, confidence=90),
    Events(count=9, gap=0.7, confidence=90),
    Events(count=9, gap=0.05, breaks_after=4),
    Refuse(),
    Break(),
    Hang(),
)
PATHS = ("/look/", "/issue/", "/chat/", "/final/", "/once/")
CALLERS = 150
TIMEOUTS_MS = (700, 1_500, LONG_TIMEOUT_MS)


async def add_faulty_engines(world, rng):
    """Add endpoints that fail at random, but stream steadily at first."""
    for number in range(3):
        plain = rng.choices(PLAIN_STEPS, k=200)
        await world.add_engine(f"p{number}", *plain)
        models = [Events(count=80, gap=0.1), *rng.choices(MODEL_STEPS, k=200)]
        await world.add_engine(f"m{number}", *models, service="models")


class LateAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """A late caller's request, its answer, and how many seconds that took."""

    attempt: str
    kind: str
    timeout: float
    seconds: float
    got: CallerResponse


class LateCall(msgspec.Struct, kw_only=True, frozen=True):
    """A late caller's request, sent `after` seconds into a stop."""

    number: int
    after: float
    kind: str
    timeout_ms: int


def draw_calls(rng, last):
    """Draw all late callers up to `last` seconds of a stop, in their order.

    A seed stands for the same callers however their tasks take turns.
    """
    times = [rng.uniform(ROTATION_SECONDS + 0.1, last) for _ in range(CALLERS)]
    return [
        LateCall(
            number=number,
            after=after,
            kind=rng.choice(PATHS),
            timeout_ms=rng.choice(TIMEOUTS_MS),
        )
        for number, after in sorted(enumerate(times), key=lambda pair: pair[1])
    ]


async def call_late(world, call):
    """Send a request late in a stop; return None if the process has already ended."""
    clock = asyncio.get_running_loop().time
    await asyncio.sleep(call.after)
    try:
        caller = await connect(world.settings[0].listen)
    except ConnectionError:
        return None
    began = clock()
    caller.send(
        f"{call.kind}{call.number}",
        attempt=str(call.number),
        headers=SHORT_ANSWER,
        timeout_ms=call.timeout_ms,
    )
    got = await caller.read()
    caller.close()
    return LateAnswer(
        attempt=str(call.number),
        kind=call.kind,
        timeout=call.timeout_ms / 1_000,
        seconds=clock() - began,
        got=got,
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_each_request_of_a_stop_gets_a_complete_answer(seed):
    """Callers keep coming to a stopping gateway, and endpoints fail at random.

    The process cuts off none of them: each caller gets a complete answer or an
    explicit failure, unless its endpoint broke the stream off or its own timeout has
    passed.  A request refused as not run hasn't run.
    """
    rng = random.Random(seed)

    async def main():
        async with make_world() as world:
            await add_faulty_engines(world, rng)
            gateway = await world.start_gateway()
            await world.wait_ready()
            keeping = await connect(world.settings[0].listen)
            keeping.send("/once/keep", timeout_ms=LONG_TIMEOUT_MS)
            await asyncio.sleep(0.1)
            stopping = asyncio.ensure_future(gateway.stop())
            last = world.settings[0].grace_seconds - LISTEN_MARGIN_SECONDS
            calls = [call_late(world, call) for call in draw_calls(rng, last)]
            answers = await asyncio.gather(*calls, return_exceptions=True)
            await stopping
            keeping.close()
            check_answers([answer for answer in answers if answer is not None], world)

    run_in_virtual_time(main())


def check_answers(answers, world):
    """Check the callers' answers against what endpoints ran."""
    engines = world.engines.values()
    runs = collections.Counter(run.attempt for engine in engines for run in engine.runs)
    broken = set(itertools.chain.from_iterable(engine.broken_at for engine in engines))
    assert [one for one in answers if isinstance(one, BaseException)] == []
    for answer in answers:
        if answer.kind in {"/issue/", "/once/"}:
            assert runs[answer.attempt] <= (answer.got.status != 503)
        if not answer.got.is_whole:
            # The endpoint broke it off, or the caller's timeout has passed.
            assert answer.attempt in broken or answer.seconds >= answer.timeout
    streams = [answer for answer in answers if answer.kind == "/chat/"]
    assert any(one.got.status == 200 and one.got.is_whole for one in streams)
    assert {answer.got.status for answer in answers} >= {200, 503, 504}
