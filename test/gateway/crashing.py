"""Gateways in this process before endpoints that crash on one part of a prompt.

Crashed endpoints come back as new lifetimes.  Callers of sound requests share all
parts with the crashing ones but the guilty part.
"""

import asyncio
import contextlib
import itertools
import random
import time

import msgspec

from eelgrassrack.standins.directengine import Events

from .world import call, wait_for

GUILTY = "bad"
SHARED = "aa:400"
SECOND_PARTS = tuple(f"b{number}:100" for number in range(4))

# How long a crashed endpoint stays listed, and after how long it is back.
LISTED_SECONDS = 0.8
RETURN_SECONDS = 1.4

# After the fifth crash gateways have this long to learn of it.
CONTACT_SECONDS = 3.0

# Number of requests with the guilty part that may reach endpoints after that time.
MOST_LATE = 3

# Sound requests are served at least this often, compared to before the crashes.
LEAST_SHARE = 0.5

# Seconds without guilty requests, and with them from the first crash on.
CALM_SECONDS = 1.5
STORM_SECONDS = 9

CALL_ERRORS = (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError)


class Call(msgspec.Struct, frozen=True):
    """One sound request; `at` is the monotonic time at which it was sent."""

    at: float
    is_served: bool


class CrashingFleet:
    """Endpoints that crash on the guilty parts and start again."""

    def __init__(self, *, world, count, step, guilty=frozenset({GUILTY})):
        self.engines = []
        self.domains = {}
        self.other_crashes = set()
        self.guilty = guilty
        self._world = world
        self._count = count
        self._step = step
        self._numbers = itertools.count(1)
        self._tasks = set()

    async def start(self):
        for number in range(self._count):
            await self._start_engine(number)

    def close(self):
        for task in self._tasks:
            task.cancel()

    async def _start_engine(self, place):
        name = f"e{next(self._numbers)}"
        domain = self.domains[name] = f"z{place % 3}"
        engine = await self._world.add_engine(
            name, self._step, service="models", zone=domain, slots=100
        )
        engine.crashing_parts = self.guilty
        self.engines.append(engine)
        self._tasks.add(asyncio.ensure_future(self._replace(engine, place)))

    async def _replace(self, engine, place):
        while engine.crashed_at is None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(LISTED_SECONDS)
        self._world.store.remove(kind="servers", name=engine.name)
        await asyncio.sleep(RETURN_SECONDS - LISTED_SECONDS)
        await self._start_engine(place)

    def crash(self, domain=None):
        """Crash an endpoint, or all of a failure domain, without a cause."""
        up = [one for one in self.engines if one.crashed_at is None]
        chosen = [one for one in up if self.domains[one.name] == domain]
        for engine in chosen or up[:1]:
            engine.crash()
            self.other_crashes.add(engine.name)

    @property
    def crashes(self):
        """Return the times of the crashes for the guilty parts."""
        return sorted(
            one.crashed_at
            for one in self.engines
            if one.crashed_at and one.name not in self.other_crashes
        )

    def count_late(self):
        """Return how many guilty requests arrived after the bound."""
        if len(self.crashes) < 5:
            return 0
        bound = self.crashes[4] + CONTACT_SECONDS
        return sum(
            run.at > bound and bool(run.parts & self.guilty)
            for engine in self.engines
            for run in engine.runs
        )


class Callers:
    """Callers of sound and of guilty requests, at gateways drawn anew each time.

    `list_addresses` returns those of the gateways that are up.
    """

    def __init__(self, *, list_addresses, seed):
        self.sound = []
        self.guilty_sent = 0
        self._list_addresses = list_addresses
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._tasks = set()

    def start(self, *, sound, guilty):
        """Start so many callers of each kind."""
        for _ in range(sound):
            self._add(self._call_sound())
        for _ in range(guilty):
            self._add(self._call_guilty())

    def _add(self, work):
        self._tasks.add(asyncio.ensure_future(work))

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call_sound(self):
        while True:
            at = time.monotonic()
            second = self._random.choice(SECOND_PARTS)
            self.sound.append(Call(at, await self._send((SHARED, second))))
            await asyncio.sleep(0.05)

    async def _call_guilty(self):
        while True:
            self.guilty_sent += 1
            second = self._random.choice(SECOND_PARTS)
            await self._send((SHARED, f"{GUILTY}:200", second))
            await asyncio.sleep(0.1 * self._random.random())

    async def _send(self, parts):
        number = next(self._numbers)
        listen = self._random.choice(self._list_addresses())
        prefix = ",".join((*parts, f"{number:x}:50"))
        headers = (
            ("X-Model", "*"),
            ("X-Token-Usage", "1000,50"),
            ("X-Prompt-Prefix", prefix),
        )
        with contextlib.suppress(*CALL_ERRORS):
            async with asyncio.timeout(5.0):
                answer = await call(
                    listen,
                    "/chat/1",
                    attempt=f"r{number}",
                    headers=headers,
                    body=b"%d" % number,
                )
            return answer.status == 200 and answer.is_whole
        return False

    def find_share(self, since, until):
        """Return the share of sound requests that were served."""
        calls = [one for one in self.sound if since <= one.at < until]
        return sum(one.is_served for one in calls) / len(calls)


async def play(world, *, seed, gateways=8, step=None, disturb=None):
    """Play a day; return the fleet and the callers as they are after it.

    `disturb` is called each second from the first request with a guilty part on.
    """
    fleet = CrashingFleet(world=world, count=8, step=step or Events(count=4, gap=0.04))
    await fleet.start()
    for number in range(1, gateways + 1):
        await world.start_gateway(number=number)
    for number in range(gateways):
        await world.wait_ready(number)
    callers = Callers(
        list_addresses=lambda: [one.listen for one in world.settings], seed=seed
    )
    await play_calls(fleet, callers, disturb)
    return fleet, callers


async def play_calls(fleet, callers, disturb=None):
    """Send sound requests, then guilty ones too, until the day is over."""
    try:
        callers.start(sound=12, guilty=0)
        await asyncio.sleep(CALM_SECONDS)
        callers.start(sound=0, guilty=8)
        await wait_for(lambda: len(fleet.crashes) >= 1)
        for _ in range(STORM_SECONDS):
            await asyncio.sleep(1.0)
            if disturb is not None:
                await disturb(fleet)
    finally:
        await callers.close()
        fleet.close()


def check(fleet, callers):
    """Check that few guilty requests arrive late and that sound ones are served."""
    first = fleet.crashes[0]
    decisive = fleet.crashes[min(len(fleet.crashes), 5) - 1]
    before = callers.find_share(0.0, first - 0.5)
    after = callers.find_share(decisive + 2 * CONTACT_SECONDS, time.monotonic() - 1.0)
    assert fleet.count_late() <= MOST_LATE, len(fleet.crashes)
    assert after >= LEAST_SHARE * before, len(fleet.crashes)
