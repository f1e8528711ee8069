"""Play a variant with real gateway processes before stand-in endpoints."""

import asyncio
import contextlib
import random
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator

import msgspec

from eelgrassrack.standins.directengine import DirectEngine, Echo, Events
from test.gateway.world import World, connect, make_world
from test.ports import find_port

from ..gatewaysoak.gateways import GatewayProcess
from .callers import Callers
from .figures import Figures, LimitUse, find_figures, find_limit_use
from .variants import Variant

HOT_SHARE = 0.85

# The platform's bound holds from this long after connections began to go to one place.
CONTACT_SECONDS = 3.0

START_SECONDS = 6.0
BEFORE_SECONDS = 5.0
SUSPENDED_SECONDS = 2.0
STARTED_WITHIN_SECONDS = 30.0

# Endpoints of each service.
ENDPOINTS = 8
ANSWER_SECONDS = 0.3
PLAIN_SHARE = 0.4


class Outcome(msgspec.Struct, kw_only=True, frozen=True):
    """The figures of a play before and after connections went to one gateway."""

    before: Figures
    after: Figures
    limits: LimitUse | None


async def play(
    variant: Variant, *, seed: int, folder: str, seconds: float = 10.0
) -> Outcome:
    """Play a variant; connections go to one gateway for `seconds`."""
    rng = random.Random(f"hot gateway {variant.name} {seed}")
    async with make_world() as world:
        await _add_endpoints(world, variant)
        async with _start_gateways(world, variant, folder) as gateways:
            return await _play(variant, world, gateways, rng, seconds)


async def _add_endpoints(world: World, variant: Variant) -> None:
    for number in range(ENDPOINTS):
        name = f"plain-{number}"
        await world.add_engine(name, Echo(delay=ANSWER_SECONDS), slots=32)
        _set_limit(world.engines[name], variant, PLAIN_SHARE)
    for number in range(ENDPOINTS):
        name = f"model-{number}"
        events = Events(count=4, gap=ANSWER_SECONDS / 3, confidence=95)
        await world.add_engine(name, events, service="models", slots=32)
        _set_limit(world.engines[name], variant, 1.0 - PLAIN_SHARE)


def _set_limit(engine: DirectEngine, variant: Variant, share: float) -> None:
    if variant.limit_factor is not None:
        limit = variant.limit_factor * variant.during * share / ENDPOINTS
        engine.limit = f"{limit:g}"


@contextlib.asynccontextmanager
async def _start_gateways(
    world: World, variant: Variant, folder: str
) -> AsyncIterator[list[GatewayProcess]]:
    news_port = find_port()
    store = world.store.url.removeprefix("http://")
    gateways = [
        GatewayProcess(number=number, news_port=news_port, store=store, folder=folder)
        for number in range(1, variant.gateways + 1)
    ]
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await _wait_open(gateway.listen)
        yield gateways
    finally:
        for gateway in gateways:
            gateway.close()


async def _wait_open(address: str) -> None:
    async with asyncio.timeout(STARTED_WITHIN_SECONDS):
        while True:
            try:
                (await connect(address)).close()
            except OSError:
                await asyncio.sleep(0.05)
            else:
                return


@contextlib.contextmanager
def _throttle(gateways: list[GatewayProcess], share: float | None):
    if share is None:
        yield
        return
    pids = [str(gateway.process.pid) for gateway in gateways]
    program = [sys.executable, "-m", "bench.hotgateway.throttle", str(share), *pids]
    process = subprocess.Popen(program)
    try:
        yield
    finally:
        process.terminate()
        process.wait()
        for gateway in gateways:
            gateway.send(signal.SIGCONT)


class HotGateways:
    """Tells which gateways get most of the new connections."""

    def __init__(self, *, variant: Variant) -> None:
        self._variant = variant
        self._since: float | None = None
        self._skipped = 0

    def begin(self) -> None:
        """Let most new connections go to the first gateways from now on."""
        self._since = time.monotonic()

    def skip(self) -> None:
        """Let the next gateway take the place of the first hot one."""
        self._skipped += 1

    def list(self) -> tuple[int, ...]:
        """Return the numbers of the gateways that are hot now."""
        if self._since is None or self._variant.is_spread:
            return ()
        every = self._variant.moves_every
        moved = int((time.monotonic() - self._since) / every) if every else 0
        first = self._skipped + moved
        count = self._variant.gateways
        return tuple((first + number) % count for number in range(self._variant.hot))


async def _play(
    variant: Variant,
    world: World,
    gateways: list[GatewayProcess],
    rng: random.Random,
    seconds: float,
) -> Outcome:
    hot = HotGateways(variant=variant)
    callers = Callers(
        rng=rng,
        addresses=[gateway.listen for gateway in gateways],
        list_hot=hot.list,
        share=HOT_SHARE,
    )
    await asyncio.sleep(START_SECONDS)
    with _throttle(gateways, variant.core_share):
        before_at = time.monotonic()
        await callers.run(rate=variant.rate, seconds=BEFORE_SECONDS)
        hot.begin()
        hot_at = time.monotonic()
        disturbing = asyncio.ensure_future(
            _disturb(variant, gateways[0], hot, seconds / 2)
        )
        await callers.run(rate=variant.during, seconds=seconds)
        ended_at = time.monotonic()
        await disturbing
        await callers.wait()
    read = _list_read(world, gateways)
    counted_at = hot_at + CONTACT_SECONDS
    calls = callers.calls
    return Outcome(
        before=find_figures(
            (one for one in calls if before_at <= one.at < hot_at), read
        ),
        after=find_figures((one for one in calls if counted_at <= one.at), read),
        limits=_find_limit_use(world, counted_at, ended_at),
    )


async def _disturb(
    variant: Variant, gateway: GatewayProcess, hot: HotGateways, after: float
) -> None:
    """Kill or suspend the first hot gateway in the middle."""
    await asyncio.sleep(after)
    if variant.is_killed:
        gateway.kill()
        hot.skip()
    elif variant.is_suspended:
        gateway.pause()
        await asyncio.sleep(SUSPENDED_SECONDS)
        gateway.resume()


def _list_read(world: World, gateways: list[GatewayProcess]) -> set[str]:
    """Return the attempts that gateways have read, by their logs and by endpoints."""
    run = {run.attempt for engine in world.engines.values() for run in engine.runs}
    return run.union(*(gateway.list_read_attempts() for gateway in gateways))


def _find_limit_use(world: World, since: float, until: float) -> LimitUse | None:
    engines = [engine for engine in world.engines.values() if engine.limit]
    if not engines:
        return None
    return find_limit_use(
        [[at for at in one.arrived_at if since <= at < until] for one in engines],
        [float(one.limit) for one in engines],
        span=until - since,
    )
