"""Requests that come to a gateway long after it was told to stop."""

import asyncio
import collections
import contextlib
import itertools
import random
import time

import msgspec
import pytest

from eelgrassrack.gateway import pool
from eelgrassrack.gateway.daemon import LISTEN_MARGIN_SECONDS, ROTATION_SECONDS
from eelgrassrack.standins.directengine import (
    Break,
    Echo,
    Events,
    Hang,
    Refuse,
    Reply,
)

from .world import CallerResponse, connect, make_world, run

LONG_TIMEOUT_MS = 8_000

PERSISTENT_CALLERS = 10

# The head of a request, and the beginning of its body: it keeps a stop open.
HALF = b"POST /look/k HTTP/1.1\r\nHost: api.example\r\nContent-Length: 9\r\n\r\nab"

# A prompt whose answer is expected to take a tenth of a second.
SHORT_ANSWER = (("X-Token-Usage", "1000,20"),)


async def ask_stopping(world, path, *, after, **rest):
    """Send a request so long after a gateway is told to stop; return the answer."""
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
    """A stopping gateway takes a stream that its endpoint then sends too slowly."""

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
            got = await ask_stopping(
                world,
                "/chat/late",
                after=ROTATION_SECONDS + 0.6,
                headers=SHORT_ANSWER,
                timeout_ms=LONG_TIMEOUT_MS,
            )
            assert got.is_whole

    run(main())


def test_callers_that_come_until_the_end_are_all_answered_or_refused():
    """All entries are stopping, and callers come to this one without a pause.

    Up to the last moment one that connects gets an answer; then none connects.
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
    """A stopping gateway takes a request and its endpoint falls silent."""

    async def main():
        async with make_world() as world:
            engine = await world.add_engine("e1", Hang(), service="models")
            await world.start_gateway()
            await world.wait_ready()
            got = await ask_stopping(
                world, "/final/late", after=2.0, timeout_ms=LONG_TIMEOUT_MS
            )
            assert got.is_whole
            assert got.status == 504
            left_ms = (world.settings[0].grace_seconds - 2.0) * 1_000
            assert int(engine.runs[-1].headers["x-deadline-ms"]) < left_ms

    run(main())


def test_a_request_that_was_never_sent_is_said_not_to_have_run(monkeypatch):
    """A stopping gateway ends while an endpoint still takes no connection."""

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


def test_a_request_that_waits_to_be_learned_isnt_dropped_by_a_stop():
    """A gateway that knows no configuration yet ends while a whole request waits."""

    async def main():
        async with make_world(configured=False) as world:
            gateway = await world.start_gateway()
            await asyncio.sleep(0.3)
            assert gateway.has_store
            keeping = await connect(world.settings[0].listen)
            keeping.writer.write(HALF)
            stopping = asyncio.ensure_future(gateway.stop())
            grace = world.settings[0].grace_seconds
            await asyncio.sleep(grace - LISTEN_MARGIN_SECONDS - 0.1)
            caller = await connect(world.settings[0].listen)
            caller.send("/look/1")
            assert (await caller.read()).status == 503
            await stopping
            caller.close()
            keeping.close()

    run(main())


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


async def add_moody_engines(world, dice):
    """Add endpoints that do what they like, but stream steadily at first."""
    for number in range(3):
        plain = dice.choices(PLAIN_STEPS, k=200)
        await world.add_engine(f"p{number}", *plain)
        models = [Events(count=80, gap=0.1), *dice.choices(MODEL_STEPS, k=200)]
        await world.add_engine(f"m{number}", *models, service="models")


class Told(msgspec.Struct, kw_only=True, frozen=True):
    """What a late caller asked for, and what it got within how many seconds."""

    attempt: str
    kind: str
    patience: float
    seconds: float
    got: CallerResponse


async def ask_late(world, dice, number):
    """Ask late in a stop; return None when the process has ended already."""
    last = world.settings[0].grace_seconds - LISTEN_MARGIN_SECONDS
    await asyncio.sleep(dice.uniform(ROTATION_SECONDS + 0.1, last))
    try:
        caller = await connect(world.settings[0].listen)
    except ConnectionError:
        return None
    kind = dice.choice(PATHS)
    timeout_ms = dice.choice((700, 1_500, LONG_TIMEOUT_MS))
    began = time.monotonic()
    caller.send(
        f"{kind}{number}",
        attempt=str(number),
        headers=SHORT_ANSWER,
        timeout_ms=timeout_ms,
    )
    got = await caller.read()
    caller.close()
    return Told(
        attempt=str(number),
        kind=kind,
        patience=timeout_ms / 1_000,
        seconds=time.monotonic() - began,
        got=got,
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_each_request_of_a_stop_gets_a_complete_answer(seed):
    """Callers keep coming to a stopping gateway, and endpoints do what they like.

    The process cuts none: a caller gets an answer that is whole, or a failure that
    says so, unless its endpoint broke a stream off or its own time was over.  What
    was refused as not run hasn't run.
    """
    dice = random.Random(seed)

    async def main():
        async with make_world() as world:
            await add_moody_engines(world, dice)
            gateway = await world.start_gateway()
            await world.wait_ready()
            keeping = await connect(world.settings[0].listen)
            keeping.send("/once/keep", timeout_ms=LONG_TIMEOUT_MS)
            await asyncio.sleep(0.1)
            stopping = asyncio.ensure_future(gateway.stop())
            asking = (ask_late(world, dice, number) for number in range(CALLERS))
            told = await asyncio.gather(*asking, return_exceptions=True)
            await stopping
            keeping.close()
            check_told([one for one in told if one is not None], world)

    run(main())


def check_told(told, world):
    """Check what callers got against what endpoints ran."""
    engines = world.engines.values()
    runs = collections.Counter(run.attempt for engine in engines for run in engine.runs)
    broken = set(itertools.chain.from_iterable(engine.broken_at for engine in engines))
    assert [one for one in told if isinstance(one, BaseException)] == []
    for one in told:
        if one.kind in {"/issue/", "/once/"}:
            assert runs[one.attempt] <= (one.got.status != 503)
        if not one.got.is_whole:
            # Its endpoint broke it off, or its own time was over.
            assert one.attempt in broken or one.seconds >= one.patience
    streams = [one for one in told if one.kind == "/chat/"]
    assert any(one.got.status == 200 and one.got.is_whole for one in streams)
    assert {one.got.status for one in told} >= {200, 503, 504}
