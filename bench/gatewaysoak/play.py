"""Plays one seed of the soak: starts processes, injects faults, checks the results."""

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
from eelgrassrack.standins.metadatastore import Fault, MetadataStore
from test.gateway.world import make_manifest
from test.ports import find_port

from ..bodies import BodyCheck
from .answers import AnswerCheck
from .callers import Callers
from .draining import DRAIN_SECONDS, SLACK_SECONDS, DrainTracker, Outage
from .gateways import GatewayProcess
from .lateness import Lateness
from .links import Link, LinkFault
from .runs import ComparingEngine, RunCheck
from .steps import Behaviour, make_endless, make_script

GATEWAYS = 3
CALLERS_PER_GATEWAY = 6
# More callers would wait for each other in this process rather than for gateways.
MAX_CALLERS = 60
# Grace periods of the gateways; each seed draws one.
GRACE_CHOICES_SECONDS = (5.0, 6.5, 8.0)
RECOVERY_SECONDS = 12.0
# How long a seed runs on without faults, beyond the bound for draining endpoints.
FAULT_FREE_SECONDS = 1.0
START_SECONDS = 10.0
# How long gateways may take to load on an overloaded machine; the product doesn't
# guarantee this.
MAX_START_SECONDS = 60.0
START_POLL_SECONDS = 0.2
# Within this time all gateways of a small fleet get SIGTERM, one after the other.
SERIES_SECONDS = 2.5
# Between two gateways' SIGTERM, so that many of them don't load their libraries at
# the same time when they are started again.
MIN_GAP_SECONDS = 0.1
# One fault stops all gateways at most this many times.
MAX_SERIES = 3

# Pauses of stopping gateways, and the grace that remains after each.
BETWEEN_PAUSES_SECONDS = (0.02, 0.2)
MIN_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 1.2
MIN_REMAINING_GRACE_SECONDS = 0.3

# Time between two endpoints that send without end, and how long each does so.
BETWEEN_ENDLESS_SECONDS = (0.3, 2.0)
ENDLESS_SECONDS = (0.3, 1.5)

# Services of the endpoints, by the first letter of their names.
SERVICES = {"p": "plain", "m": "models"}

# The soak waits until requests to all of these paths are served.
REQUIRED_PATHS = {"/look/1", "/issue/1", "/chat/1"}

# How often each fault is drawn.  Each name is that of a method of `Soak` without its
# leading underscore; the order and the weights determine what a seed plays.
WEIGHTS = {
    "hit_gate": 4,
    "hit_link": 4,
    "hit_store": 2,
    "configure": 1,
    "replace": 2,
    "hit_engine": 3,
    "hit_all_gates": 1,
}
# The weights of seeds in which gateways aren't killed or paused, and the share of
# such seeds.
PLANNED_STOP_WEIGHTS = WEIGHTS | {"hit_gate": 0, "hit_link": 1, "hit_all_gates": 4}
PLANNED_STOP_SHARE = 0.6

# With these statuses a gateway states that it hasn't run the request.
NOT_EXECUTED_STATUSES = {408, 421, 429, 503}


class Verdict(msgspec.Struct, kw_only=True):
    """The result of one seed.

    `fault_counts` counts the injected faults by name, `late_outcomes` the requests
    that were sent late in a stop, by outcome, `leavers` those of callers that left.
    """

    seed: int
    faults: list[str]
    sent: int
    served: int
    fault_counts: dict[str, int]
    late_outcomes: dict[str, int]
    leavers: dict[str, int]


class Soak:
    """The processes and stand-ins of one seed, and the faults injected into them."""

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        folder: str,
        gateways: int,
        pauses: bool,
        endless: bool,
    ) -> None:
        self.seed = seed
        self._pauses = pauses
        self._endless = endless
        self._gateway_count = gateways
        self._seconds = seconds
        self._folder = folder
        # The faults have a random generator of their own, because what callers draw
        # depends on timing and would change the faults of a seed.
        self._rng = random.Random(f"faults of {seed}")
        self._store = MetadataStore()
        self._engines: dict[str, ComparingEngine] = {}
        self._addresses: dict[str, str] = {}
        self._links: list[Link] = []
        # Monotonic times at which links to endpoints were reset.
        self._reset_times: list[float] = []
        self._gateways: list[GatewayProcess] = []
        self._numbers = itertools.count(3)
        self._background: set[asyncio.Task] = set()
        self._versions = itertools.count(2)
        self._fault_counts: collections.Counter[str] = collections.Counter()
        self._is_series_running = False
        self._lateness = Lateness()
        self._drains = DrainTracker(self._lateness)
        self._bodies = BodyCheck()

    async def run(self) -> Verdict:
        """Play the seed and check its results."""
        watching = asyncio.ensure_future(self._lateness.watch())
        await self._start()
        callers = Callers(
            rng=random.Random(self.seed),
            addresses=lambda: [gateway.listen for gateway in self._gateways],
            lateness=self._lateness,
        )
        count = min(len(self._gateways) * CALLERS_PER_GATEWAY, MAX_CALLERS)
        tasks = [asyncio.ensure_future(callers.run()) for _ in range(count)]
        try:
            await self._wait_served(callers)
            await self._disturb()
            await self._heal()
            await self._wait_started()
            recovered = await self._wait_served(callers)
            # Without faults for longer than the bound, so that requests to draining
            # endpoints are noticed.
            await asyncio.sleep(DRAIN_SECONDS + SLACK_SECONDS + FAULT_FREE_SECONDS)
        finally:
            callers.is_stopping = True
            await asyncio.gather(*tasks)
            await self._stop()
            watching.cancel()
        engines = self._engines.values()
        broken = dict(pair for one in engines for pair in one.broken_at.items())
        answer_check = AnswerCheck(
            results=callers.results,
            gateways=self._gateways,
            broken=broken,
            resets=self._reset_times,
            lateness=self._lateness,
        )
        run_check = RunCheck(
            results=callers.results,
            runs=[run for engine in engines for run in engine.runs],
            differences=self._bodies.differences,
        )
        faults = self._check(callers) + answer_check.list_faults()
        faults += run_check.list_faults()
        if not recovered:
            faults.append("nothing was served after all faults were over")
        served = sum(result.status == 200 for result in callers.results)
        return Verdict(
            seed=self.seed,
            faults=faults,
            sent=len(callers.results),
            served=served,
            fault_counts=dict(self._fault_counts),
            late_outcomes=dict(answer_check.counts),
            leavers=run_check.count_leavers(),
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
        grace = self._rng.choice(GRACE_CHOICES_SECONDS)
        self._gateways = [
            GatewayProcess(
                number=number,
                news_port=news_port,
                store=store.address,
                folder=self._folder,
                grace=grace,
            )
            for number in range(1, self._gateway_count + 1)
        ]
        for gateway in self._gateways:
            gateway.start()

    async def _add_engine(self, name: str) -> None:
        behaviour = self._rng.choice(
            [Behaviour.STEADY, Behaviour.STEADY, Behaviour.MIXED]
        )
        script = make_script(name[0], behaviour, self._rng)
        engine = ComparingEngine(name=name, script=script, bodies=self._bodies)
        await engine.start()
        link = Link(target=engine.address)
        await link.start()
        self._links.append(link)
        self._engines[name] = engine
        self._addresses[name] = link.address
        self._store_endpoint(name, state="ready")

    def _store_endpoint(self, name: str, *, state: str) -> None:
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
        # In some seeds gateways end by SIGTERM only, so that no kill or pause
        # excuses a request that isn't answered.
        stops_only = self._rng.random() < PLANNED_STOP_SHARE
        weights = PLANNED_STOP_WEIGHTS if stops_only else WEIGHTS
        if self._pauses:
            self._track(asyncio.ensure_future(self._pause_stopping(ends_at)))
        if self._endless:
            self._track(asyncio.ensure_future(self._send_endlessly(ends_at)))
        while loop.time() < ends_at:
            (name,) = self._rng.choices([*weights], weights=weights.values())
            self._fault_counts[name] += 1
            getattr(self, f"_{name}")()
            await asyncio.sleep(self._rng.uniform(0.05, 0.7))

    def _hit_gate(self) -> None:
        gateway = self._rng.choice(self._gateways)
        outage = self._drains.begin_outage()
        match self._rng.choice(["kill", "stop", "pause"]):
            case "kill":
                gateway.kill()
                self._run_later(self._rng.uniform(0.2, 1.5), gateway.start, outage)
            case "stop":
                self._track(asyncio.ensure_future(_stop_all([gateway], 0.0, outage)))
            case "pause":
                gateway.pause()
                self._run_later(self._rng.uniform(0.2, 2.5), gateway.resume, outage)

    async def _pause_stopping(self, ends_at: float) -> None:
        """Pause stopping gateways for a moment, which excuses no missing answer."""
        # A generator of its own, so that the seed's other faults stay the same.
        rng = random.Random(f"pauses of {self.seed}")
        while asyncio.get_running_loop().time() < ends_at:
            await asyncio.sleep(rng.uniform(*BETWEEN_PAUSES_SECONDS))
            gateway = rng.choice(self._gateways)
            longest = min(
                gateway.remaining_grace - MIN_REMAINING_GRACE_SECONDS, MAX_PAUSE_SECONDS
            )
            if longest < MIN_PAUSE_SECONDS:
                continue
            gateway.send(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(MIN_PAUSE_SECONDS, longest))
            gateway.send(signal.SIGCONT)
            self._fault_counts["stop held up"] += 1

    async def _send_endlessly(self, ends_at: float) -> None:
        """Let one endpoint at a time answer without end."""
        # A generator of its own, so that the seed's other faults stay the same.
        rng = random.Random(f"endless of {self.seed}")
        while asyncio.get_running_loop().time() < ends_at:
            await asyncio.sleep(rng.uniform(*BETWEEN_ENDLESS_SECONDS))
            name = rng.choice(sorted(self._engines))
            engine = self._engines[name]
            engine.play(*make_endless(name[0]))
            self._fault_counts["endless"] += 1
            await asyncio.sleep(rng.uniform(*ENDLESS_SECONDS))
            engine.play(*make_script(name[0], Behaviour.STEADY, rng))

    def _hit_all_gates(self) -> None:
        """Stop all gateways shortly after one another, perhaps several times."""
        if self._is_series_running:
            return
        self._is_series_running = True
        series = self._stop_all_repeatedly(self._rng.randint(1, MAX_SERIES))
        self._track(asyncio.ensure_future(series))

    async def _stop_all_repeatedly(self, count: int) -> None:
        # Has a generator of its own because other faults draw from the shared one
        # meanwhile, at times that depend on the machine.
        rng = random.Random(self._rng.random())
        for _ in range(count):
            gateways = rng.sample(self._gateways, len(self._gateways))
            within = rng.uniform(0.1, SERIES_SECONDS)
            gap = max(within / len(gateways), MIN_GAP_SECONDS)
            await _stop_all(gateways, gap, self._drains.begin_outage())
            self._fault_counts["series"] += 1
            await asyncio.sleep(rng.uniform(0.0, 2.0))
        self._is_series_running = False

    def _hit_engine(self) -> None:
        """Change the behaviour of an endpoint for a while."""
        name = self._rng.choice(sorted(self._engines))
        engine = self._engines[name]
        behaviour = self._rng.choice(list(Behaviour))
        engine.play(*make_script(name[0], behaviour, self._rng))
        steady = make_script(name[0], Behaviour.STEADY, self._rng)
        self._run_later(self._rng.uniform(0.5, 6.0), lambda: engine.play(*steady))

    def _hit_link(self) -> None:
        link = self._rng.choice(self._links)
        kind = self._rng.choice([*LinkFault, "reset"])
        if kind == "reset":
            if link.address in self._addresses.values():
                self._reset_times.append(time.monotonic())
            link.reset()
            return
        link.fault = kind
        # Also for a link to an endpoint: the requests that it holds back arrive when
        # the fault ends.
        self._run_later(
            self._rng.uniform(0.2, 2.5),
            lambda: setattr(link, "fault", LinkFault.NONE),
            self._drains.begin_outage(),
        )

    def _hit_store(self) -> None:
        self._store.fault = self._rng.choice(list(Fault))
        if self._rng.random() < 0.5:
            self._store.forget_history()
        self._run_later(
            self._rng.uniform(0.3, 2.5),
            lambda: setattr(self._store, "fault", Fault.NONE),
            self._drains.begin_outage(),
        )

    def _replace(self) -> None:
        """Drain an endpoint and add another one of the same service."""
        staying = sorted(self._engines.keys() - self._drains.names)
        name = self._rng.choice(staying)
        number = next(self._numbers)
        self._store_endpoint(name, state="draining")
        self._drains.note_draining(name)
        adding = self._add_engine(f"{name[0]}{number}")
        self._track(asyncio.ensure_future(adding))

    def _configure(self) -> None:
        manifest = make_manifest(version=next(self._versions))
        self._store.put(kind=Kinds.CONFIGURATION, name="main", spec=manifest)

    def _run_later(
        self, seconds: float, action: Callable[[], None], outage: Outage | None = None
    ) -> None:
        """Run an action after some seconds and then end the outage, if any."""

        async def wait() -> None:
            await asyncio.sleep(seconds)
            action()
            if outage is not None:
                outage.ended = time.monotonic()

        self._track(asyncio.ensure_future(wait()))

    def _track(self, task: asyncio.Future) -> None:
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _heal(self) -> None:
        await asyncio.gather(*self._background)
        self._store.fault = Fault.NONE
        for link in self._links:
            link.fault = LinkFault.NONE
        for name, engine in self._engines.items():
            engine.play(*make_script(name[0], Behaviour.STEADY, self._rng))
        for gateway in self._gateways:
            gateway.resume()
            gateway.start()

    async def _wait_started(self) -> None:
        """Wait until all gateways have loaded, so that only recovery is timed."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_START_SECONDS):
                while not all(gateway.has_started for gateway in self._gateways):
                    await asyncio.sleep(START_POLL_SECONDS)

    async def _wait_served(self, callers: Callers) -> bool:
        """Wait until all `REQUIRED_PATHS` are served; return whether they are."""
        before = len(callers.results)
        try:
            async with asyncio.timeout(START_SECONDS + RECOVERY_SECONDS):
                while True:
                    await asyncio.sleep(0.05)
                    good = {
                        one.path
                        for one in callers.results[before:]
                        if one.status == 200
                    }
                    if good >= REQUIRED_PATHS:
                        return True
        except TimeoutError:
            return False

    async def _stop(self) -> None:
        for task in tuple(self._background):
            task.cancel()
        for gateway in self._gateways:
            gateway.close()
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
            f"{result.attempt}: {result.fault}"
            for result in callers.results
            if result.fault
        ]
        for result in callers.results:
            count = runs[result.attempt]
            if count > 1 and result.path == "/issue/1":
                faults.append(f"{result.attempt} ran {count} times")
            if count and result.status in NOT_EXECUTED_STATUSES:
                faults.append(
                    f"{result.attempt} was refused with {result.status} and ran"
                )
        times = {
            name: [run.at for run in engine.runs]
            for name, engine in self._engines.items()
        }
        faults += self._drains.list_late(times)
        return faults


async def _stop_all(gateways: list[GatewayProcess], gap: float, outage: Outage) -> None:
    """Stop gateways, each `gap` seconds after the previous one."""

    async def stop(gateway: GatewayProcess, after: float) -> None:
        await asyncio.sleep(after)
        await gateway.stop()

    stops = (stop(gateway, gap * number) for number, gateway in enumerate(gateways))
    await asyncio.gather(*stops)
    outage.ended = time.monotonic()


def play(
    seed: int,
    seconds: float,
    folder: str | None = None,
    gateways: int = GATEWAYS,
    *,
    pauses: bool = False,
    endless: bool = False,
) -> Verdict:
    """Play one seed, with `seconds` of faults; write the logs to `folder`.

    `pauses` adds short pauses of gateways that are stopping, `endless` endpoints that
    send without end.
    """
    with tempfile.TemporaryDirectory() as made:
        soak = Soak(
            seed=seed,
            seconds=seconds,
            folder=folder or made,
            gateways=gateways,
            pauses=pauses,
            endless=endless,
        )
        return asyncio.run(soak.run())
