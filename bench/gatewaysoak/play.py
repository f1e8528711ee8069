"""One seed of the soak: processes, series of faults, and what must hold."""

import asyncio
import collections
import itertools
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from eelgrassrack.platform.store import Kinds
from eelgrassrack.standins.directengine import DirectEngine, Echo, Events
from eelgrassrack.standins.metadatastore import Fault, MetadataStore
from test.gateway.world import make_manifest
from test.ports import find_port

from .callers import EVENTS, Callers
from .leavers import DRAIN_SECONDS, SLACK_SECONDS, Leavers, Outage
from .links import Link, Trouble

GATEWAYS = 3
CALLERS = 8
RECOVERY_SECONDS = 12.0
CALM_SECONDS = 1.0
START_SECONDS = 10.0
SETTINGS = """\
[gateway]
name = entry-{number}
domain = north
listen = {listen}
readiness = {readiness}
address = 127.0.0.{number}
news_port = {news_port}
metrics_port = {news_port}
objects_url = http://{store}
grace_seconds = 5
[log]
format = json
"""


# Endpoints' services and what they do, by the first letter of their names.
SERVICES = {"p": "plain", "m": "models"}
STEPS = {"p": Echo(delay=0.02), "m": Events(count=EVENTS, gap=0.03)}


class Verdict(msgspec.Struct, kw_only=True):
    """What a seed came to."""

    seed: int
    faults: list[str]
    asked: int
    served: int
    hits: dict[str, int]


class Gate:
    """One gateway process, started again under the same settings."""

    def __init__(self, *, number: int, news_port: int, store: str, folder: str) -> None:
        self.listen = f"127.0.0.{number}:{find_port()}"
        self._log_path = Path(folder, f"entry-{number}.log")
        self._path = Path(folder, f"entry-{number}.ini")
        self._path.write_text(
            SETTINGS.format(
                number=number,
                listen=self.listen,
                readiness=f"127.0.0.{number}:{find_port()}",
                news_port=news_port,
                store=store,
            )
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process unless it runs."""
        if self.process is not None and self.process.poll() is None:
            return
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "eelgrassrack.gateway", str(self._path)],
                stdout=log,
                stderr=log,
            )

    def send(self, number: int) -> None:
        """Send a signal, if the process still runs."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def close(self) -> None:
        """End the process for good."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.process.wait()


class Soak:
    """The system of one seed."""

    def __init__(self, *, seed: int, seconds: float, folder: str) -> None:
        self.seed = seed
        self._seconds = seconds
        self._folder = folder
        # The faults have dice of their own, so that what callers draw, which
        # depends on time, doesn't change the series of a seed.
        self._dice = random.Random(f"faults of {seed}")
        self._store = MetadataStore()
        self._engines: dict[str, DirectEngine] = {}
        self._addresses: dict[str, str] = {}
        self._links: list[Link] = []
        self._gates: list[Gate] = []
        self._leavers = Leavers()
        self._numbers = itertools.count(3)
        self._later: set[asyncio.Task] = set()
        self._versions = itertools.count(2)
        self._hits: collections.Counter[str] = collections.Counter()

    async def run(self) -> Verdict:
        """Play the seed."""
        await self._start()
        callers = Callers(
            dice=random.Random(self.seed),
            addresses=lambda: [gate.listen for gate in self._gates],
        )
        tasks = [asyncio.ensure_future(callers.run()) for _ in range(CALLERS)]
        try:
            await self._wait_served(callers)
            await self._disturb()
            await self._heal()
            recovered = await self._wait_served(callers)
            # Calm for as long as the bounds, so that what holds only then shows.
            await asyncio.sleep(DRAIN_SECONDS + SLACK_SECONDS + CALM_SECONDS)
        finally:
            callers.is_over = True
            await asyncio.gather(*tasks)
            await self._stop()
        faults = self._check(callers)
        if not recovered:
            faults.append("nothing was served after all faults were over")
        served = sum(told.status == 200 for told in callers.told)
        return Verdict(
            seed=self.seed,
            faults=faults,
            asked=len(callers.told),
            served=served,
            hits=dict(self._hits),
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
        self._gates = [
            Gate(
                number=number,
                news_port=news_port,
                store=store.address,
                folder=self._folder,
            )
            for number in range(1, GATEWAYS + 1)
        ]
        for gate in self._gates:
            gate.start()

    async def _add_engine(self, name: str) -> None:
        engine = DirectEngine(name=name, script=[STEPS[name[0]]])
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
        while loop.time() < ends_at:
            (hit,) = self._dice.choices(
                [
                    self._hit_gate,
                    self._hit_link,
                    self._hit_store,
                    self._configure,
                    self._replace,
                ],
                weights=[4, 4, 2, 1, 2],
            )
            self._hits[hit.__name__] += 1
            hit()
            await asyncio.sleep(self._dice.uniform(0.05, 0.7))

    def _hit_gate(self) -> None:
        gate = self._dice.choice(self._gates)
        outage = self._leavers.begin_outage()
        match self._dice.choice(["kill", "stop", "pause"]):
            case "kill":
                gate.send(signal.SIGKILL)
                self._after(self._dice.uniform(0.2, 1.5), gate.start, outage)
            case "stop":
                gate.send(signal.SIGTERM)
                self._after(6.0, gate.start, outage)
            case "pause":
                gate.send(signal.SIGSTOP)
                self._after(
                    self._dice.uniform(0.2, 2.5),
                    lambda: gate.send(signal.SIGCONT),
                    outage,
                )

    def _hit_link(self) -> None:
        link = self._dice.choice(self._links)
        kind = self._dice.choice([*Trouble, "reset"])
        if kind == "reset":
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
        for gate in self._gates:
            gate.send(signal.SIGCONT)
            gate.start()

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
                    if len(good) == 3:
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
            if told.path != "/issue/1":
                continue
            count = runs[told.attempt]
            if count > 1:
                faults.append(f"{told.attempt} ran {count} times")
            if count and told.status in {408, 421, 429, 503}:
                faults.append(f"{told.attempt} was refused with {told.status} and ran")
        times = {
            name: [run.at for run in engine.runs]
            for name, engine in self._engines.items()
        }
        faults += self._leavers.list_late(times)
        asked = {told.attempt for told in callers.told}
        faults += [f"{one} was asked by nobody" for one in runs.keys() - asked]
        return faults


def play(seed: int, seconds: float, folder: str | None = None) -> Verdict:
    """Play one seed for so many seconds of faults; logs go to the folder."""
    with tempfile.TemporaryDirectory() as made:
        soak = Soak(seed=seed, seconds=seconds, folder=folder or made)
        return asyncio.run(soak.run())
