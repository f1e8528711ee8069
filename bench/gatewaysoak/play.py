"""One seed of the soak: processes, series of faults, and what must hold."""

import asyncio
import collections
import contextlib
import itertools
import random
import signal
import tempfile
import time
from collections.abc import Callable

import msgspec

from eelgrassrack.platform.store import Kinds
from eelgrassrack.standins.directengine import DirectEngine
from eelgrassrack.standins.metadatastore import Fault, MetadataStore
from test.gateway.world import make_manifest
from test.ports import find_port

from .answers import Answers
from .callers import Callers
from .draining import DRAIN_SECONDS, SLACK_SECONDS, Leavers, Outage
from .gateways import GatewayProcess
from .lateness import Lateness
from .links import Link, Trouble
from .steps import Temper, make_script

GATEWAYS = 3
CALLERS_A_GATE = 6
# More would wait for each other in this process instead of for the gates.
MOST_CALLERS = 60
GRACES_SECONDS = (5.0, 6.5, 8.0)
RECOVERY_SECONDS = 12.0
CALM_SECONDS = 1.0
START_SECONDS = 10.0
# In which a process loads on a machine that is overloaded; not a promise.
MOST_START_SECONDS = 60.0
START_LOOK_SECONDS = 0.2
# A few gates of a series are told to stop within this time.
SERIES_SECONDS = 2.5
# So that many of them don't load their libraries at the same moment.
LEAST_GAP_SECONDS = 0.1
SERIES_IN_A_ROW = 3

# Pauses of gates that are stopping, and what the grace has left after them.
BETWEEN_PAUSES_SECONDS = (0.02, 0.2)
LEAST_PAUSE_SECONDS = 0.2
MOST_PAUSE_SECONDS = 1.2
LAST_SECONDS = 0.3

# Endpoints' services, by the first letter of their names.
SERVICES = {"p": "plain", "m": "models"}

# What is tried until all of it is served.
NEEDED = {"/look/1", "/issue/1", "/chat/1"}

# How often each hit is drawn.
WEIGHTS = {
    "hit_gate": 4,
    "hit_link": 4,
    "hit_store": 2,
    "configure": 1,
    "replace": 2,
    "hit_engine": 3,
    "hit_all_gates": 1,
}
PLANNED_WEIGHTS = WEIGHTS | {"hit_gate": 0, "hit_link": 1, "hit_all_gates": 4}
PLANNED_SHARE = 0.6

# Statuses by which a gate says that a request surely hasn't run.
NOT_RUN = {408, 421, 429, 503}


class Verdict(msgspec.Struct, kw_only=True):
    """What a seed came to."""

    seed: int
    faults: list[str]
    asked: int
    served: int
    hits: dict[str, int]
    answers: dict[str, int]


class Soak:
    """The system of one seed."""

    def __init__(
        self, *, seed: int, seconds: float, folder: str, gateways: int, pauses: bool
    ) -> None:
        self.seed = seed
        self._pauses = pauses
        self._gateways = gateways
        self._seconds = seconds
        self._folder = folder
        # The faults have dice of their own, so that what callers draw, which
        # depends on time, doesn't change the series of a seed.
        self._dice = random.Random(f"faults of {seed}")
        self._store = MetadataStore()
        self._engines: dict[str, DirectEngine] = {}
        self._addresses: dict[str, str] = {}
        self._links: list[Link] = []
        # When links to endpoints were reset.
        self._resets: list[float] = []
        self._gates: list[GatewayProcess] = []
        self._leavers = Leavers()
        self._numbers = itertools.count(3)
        self._later: set[asyncio.Task] = set()
        self._versions = itertools.count(2)
        self._hits: collections.Counter[str] = collections.Counter()
        self._is_in_series = False
        self._lateness = Lateness()

    async def run(self) -> Verdict:
        """Play the seed."""
        watching = asyncio.ensure_future(self._lateness.watch())
        await self._start()
        callers = Callers(
            dice=random.Random(self.seed),
            addresses=lambda: [gate.listen for gate in self._gates],
            lateness=self._lateness,
        )
        count = min(len(self._gates) * CALLERS_A_GATE, MOST_CALLERS)
        tasks = [asyncio.ensure_future(callers.run()) for _ in range(count)]
        try:
            await self._wait_served(callers)
            await self._disturb()
            await self._heal()
            await self._wait_started()
            recovered = await self._wait_served(callers)
            # Calm for as long as the bounds, so that what holds only then shows.
            await asyncio.sleep(DRAIN_SECONDS + SLACK_SECONDS + CALM_SECONDS)
        finally:
            callers.is_over = True
            await asyncio.gather(*tasks)
            await self._stop()
            watching.cancel()
        engines = self._engines.values()
        broken = dict(pair for one in engines for pair in one.broken.items())
        answers = Answers(
            told=callers.told,
            gates=self._gates,
            broken=broken,
            resets=self._resets,
            lateness=self._lateness,
        )
        faults = self._check(callers) + answers.list_faults()
        if not recovered:
            faults.append("nothing was served after all faults were over")
        served = sum(told.status == 200 for told in callers.told)
        return Verdict(
            seed=self.seed,
            faults=faults,
            asked=len(callers.told),
            served=served,
            hits=dict(self._hits),
            answers=dict(answers.counts),
        )

    async def _start(self) -> None:
        await self._store.start()
        self._store.put(
            kind=Kinds.CONFIGURATION, name="main", spec=make_manifest(version=1)
        )
        for number in range(3):
            await self._add_engine(f"p{number}")
            await self._add_engine(f"m{number}")
        store = Link(target=self._store.url.removeprefix("http://"))
        await store.start()
        self._links.append(store)
        news_port = find_port()
        grace = self._dice.choice(GRACES_SECONDS)
        self._gates = [
            GatewayProcess(
                number=number,
                news_port=news_port,
                store=store.address,
                folder=self._folder,
                grace=grace,
            )
            for number in range(1, self._gateways + 1)
        ]
        for gate in self._gates:
            gate.start()

    async def _add_engine(self, name: str) -> None:
        temper = self._dice.choice([Temper.STEADY, Temper.STEADY, Temper.MIXED])
        script = make_script(name[0], temper, self._dice)
        engine = DirectEngine(name=name, script=script)
        await engine.start()
        link = Link(target=engine.address)
        await link.start()
        self._links.append(link)
        self._engines[name] = engine
        self._addresses[name] = link.address
        self._list_engine(name, state="ready")

    def _list_engine(self, name: str, *, state: str) -> None:
        entry = {
            "service": SERVICES[name[0]],
            "address": self._addresses[name],
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": state,
            "born": 1,
        }
        self._store.put(kind=Kinds.ENDPOINTS, name=name, spec=entry)

    async def _disturb(self) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self._seconds
        # In some seeds gates end by planned stops only, so that nothing excuses
        # a request that isn't answered.
        is_planned = self._dice.random() < PLANNED_SHARE
        weights = PLANNED_WEIGHTS if is_planned else WEIGHTS
        if self._pauses:
            self._keep(asyncio.ensure_future(self._hold_up_stops(ends_at)))
        while loop.time() < ends_at:
            (name,) = self._dice.choices([*weights], weights=weights.values())
            self._hits[name] += 1
            getattr(self, f"_{name}")()
            await asyncio.sleep(self._dice.uniform(0.05, 0.7))

    def _hit_gate(self) -> None:
        gate = self._dice.choice(self._gates)
        outage = self._leavers.begin_outage()
        match self._dice.choice(["kill", "stop", "pause"]):
            case "kill":
                gate.kill()
                self._after(self._dice.uniform(0.2, 1.5), gate.start, outage)
            case "stop":
                self._keep(asyncio.ensure_future(_stop_all([gate], 0.0, outage)))
            case "pause":
                gate.pause()
                self._after(self._dice.uniform(0.2, 2.5), gate.wake, outage)

    async def _hold_up_stops(self, ends_at: float) -> None:
        """Pause gates that are stopping for a moment, which excuses nothing."""
        # Of their own, so that a seed's other faults stay the same.
        dice = random.Random(f"pauses of {self.seed}")
        while asyncio.get_running_loop().time() < ends_at:
            await asyncio.sleep(dice.uniform(*BETWEEN_PAUSES_SECONDS))
            gate = dice.choice(self._gates)
            longest = min(gate.grace_left - LAST_SECONDS, MOST_PAUSE_SECONDS)
            if longest < LEAST_PAUSE_SECONDS:
                continue
            gate.send(signal.SIGSTOP)
            await asyncio.sleep(dice.uniform(LEAST_PAUSE_SECONDS, longest))
            gate.send(signal.SIGCONT)
            self._hits["stop held up"] += 1

    def _hit_all_gates(self) -> None:
        """Stop all gates one soon after the other, perhaps several times."""
        if self._is_in_series:
            return
        self._is_in_series = True
        series = self._stop_in_series(self._dice.randint(1, SERIES_IN_A_ROW))
        self._keep(asyncio.ensure_future(series))

    async def _stop_in_series(self, count: int) -> None:
        # Other faults draw meanwhile, at times that depend on the machine.
        dice = random.Random(self._dice.random())
        for _ in range(count):
            gates = dice.sample(self._gates, len(self._gates))
            within = dice.uniform(0.1, SERIES_SECONDS)
            gap = max(within / len(gates), LEAST_GAP_SECONDS)
            await _stop_all(gates, gap, self._leavers.begin_outage())
            self._hits["series"] += 1
            await asyncio.sleep(dice.uniform(0.0, 2.0))
        self._is_in_series = False

    def _hit_engine(self) -> None:
        """Have an endpoint do its work badly for a while."""
        name = self._dice.choice(sorted(self._engines))
        engine = self._engines[name]
        temper = self._dice.choice(list(Temper))
        engine.play(*make_script(name[0], temper, self._dice))
        steady = make_script(name[0], Temper.STEADY, self._dice)
        self._after(self._dice.uniform(0.5, 6.0), lambda: engine.play(*steady))

    def _hit_link(self) -> None:
        link = self._dice.choice(self._links)
        kind = self._dice.choice([*Trouble, "reset"])
        if kind == "reset":
            if link.address in self._addresses.values():
                self._resets.append(time.monotonic())
            link.reset()
            return
        link.trouble = kind
        # Also a link to an endpoint: what it holds up arrives when it heals.
        self._after(
            self._dice.uniform(0.2, 2.5),
            lambda: setattr(link, "trouble", Trouble.NONE),
            self._leavers.begin_outage(),
        )

    def _hit_store(self) -> None:
        self._store.fault = self._dice.choice(list(Fault))
        if self._dice.random() < 0.5:
            self._store.forget_history()
        self._after(
            self._dice.uniform(0.3, 2.5),
            lambda: setattr(self._store, "fault", Fault.NONE),
            self._leavers.begin_outage(),
        )

    def _replace(self) -> None:
        """Have an endpoint leave, and bring in another of its service."""
        staying = sorted(self._engines.keys() - self._leavers.names)
        name = self._dice.choice(staying)
        number = next(self._numbers)
        self._list_engine(name, state="draining")
        self._leavers.note_left(name)
        adding = self._add_engine(f"{name[0]}{number}")
        self._keep(asyncio.ensure_future(adding))

    def _configure(self) -> None:
        manifest = make_manifest(version=next(self._versions))
        self._store.put(kind=Kinds.CONFIGURATION, name="main", spec=manifest)

    def _after(
        self, seconds: float, do: Callable[[], None], outage: Outage | None = None
    ) -> None:
        """Do something later; then the outage, if any, is over."""

        async def wait() -> None:
            await asyncio.sleep(seconds)
            do()
            if outage is not None:
                outage.ended = time.monotonic()

        self._keep(asyncio.ensure_future(wait()))

    def _keep(self, task: asyncio.Future) -> None:
        self._later.add(task)
        task.add_done_callback(self._later.discard)

    async def _heal(self) -> None:
        await asyncio.gather(*self._later)
        self._store.fault = Fault.NONE
        for link in self._links:
            link.trouble = Trouble.NONE
        for name, engine in self._engines.items():
            engine.play(*make_script(name[0], Temper.STEADY, self._dice))
        for gate in self._gates:
            gate.wake()
            gate.start()

    async def _wait_started(self) -> None:
        """Wait until all gates have loaded, so that only recovery is timed."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MOST_START_SECONDS):
                while not all(gate.has_started for gate in self._gates):
                    await asyncio.sleep(START_LOOK_SECONDS)

    async def _wait_served(self, callers: Callers) -> bool:
        """Wait until requests of all kinds are served; tell whether they are."""
        before = len(callers.told)
        try:
            async with asyncio.timeout(START_SECONDS + RECOVERY_SECONDS):
                while True:
                    await asyncio.sleep(0.05)
                    good = {
                        one.path for one in callers.told[before:] if one.status == 200
                    }
                    if good >= NEEDED:
                        return True
        except TimeoutError:
            return False

    async def _stop(self) -> None:
        for task in tuple(self._later):
            task.cancel()
        for gate in self._gates:
            gate.close()
        for link in self._links:
            await link.stop()
        for engine in self._engines.values():
            await engine.stop()
        await self._store.stop()

    def _check(self, callers: Callers) -> list[str]:
        runs = collections.Counter(
            run.attempt for engine in self._engines.values() for run in engine.runs
        )
        faults = [
            f"{told.attempt}: {told.fault}" for told in callers.told if told.fault
        ]
        for told in callers.told:
            count = runs[told.attempt]
            if count > 1 and told.path == "/issue/1":
                faults.append(f"{told.attempt} ran {count} times")
            if count and told.status in NOT_RUN:
                faults.append(f"{told.attempt} was refused with {told.status} and ran")
        times = {
            name: [run.at for run in engine.runs]
            for name, engine in self._engines.items()
        }
        faults += self._leavers.list_late(times)
        asked = {told.attempt for told in callers.told}
        faults += [f"{one} was asked by nobody" for one in runs.keys() - asked]
        return faults


async def _stop_all(gates: list[GatewayProcess], gap: float, outage: Outage) -> None:
    """Stop gates, each so many seconds after the one before."""

    async def stop(gate: GatewayProcess, after: float) -> None:
        await asyncio.sleep(after)
        await gate.stop()

    stops = (stop(gate, gap * number) for number, gate in enumerate(gates))
    await asyncio.gather(*stops)
    outage.ended = time.monotonic()


def play(
    seed: int,
    seconds: float,
    folder: str | None = None,
    gateways: int = GATEWAYS,
    *,
    pauses: bool = False,
) -> Verdict:
    """Play one seed for so many seconds of faults; logs go to the folder.

    `pauses` adds moments in which gates that are stopping can't go on.
    """
    with tempfile.TemporaryDirectory() as made:
        soak = Soak(
            seed=seed,
            seconds=seconds,
            folder=folder or made,
            gateways=gateways,
            pauses=pauses,
        )
        return asyncio.run(soak.run())
