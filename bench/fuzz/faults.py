"""The faults of a run: what breaks daemons, endpoints, network and platform."""

import asyncio
import itertools
from collections.abc import Awaitable

from eelgrassrack.standins.engine import Engine

from .calls import Calls
from .disturbances import Disturbances
from .network import Network
from .oracle import CRASH, POISON, STOP
from .rig import Rig
from .steps import Kind

DURATIONS = (0.3, 0.8, 1.5, 2.6, 3.4)
BURST = 14
STOP_AFTER = 0.08
ENTRIES = 2

# How long the effects of a fault last: an agent that is silent is given up
# after five seconds.
TAIL_SECONDS = 6.0
ENGINE_TAIL_SECONDS = 2.0
NEWS_TAIL_SECONDS = 2.0


class Faults:
    """Break and heal a system; `killed` names the daemons killed so far."""

    def __init__(
        self,
        *,
        rig: Rig,
        calls: Calls,
        network: Network,
        disturbances: Disturbances,
    ) -> None:
        self.failed: list[str] = []
        self.killed: set[str] = set()
        self._calls = calls
        self._disturbances = disturbances
        self._network = network
        self._numbers = itertools.count(10)
        self._occupied: set[str] = set()
        self._rig = rig
        self._tasks: set[asyncio.Task] = set()
        self._timers: list[asyncio.TimerHandle] = []
        for engine in rig.engines.values():
            engine.crash_text = POISON
            engine.on_crash = self._note_crash

    async def wait(self) -> None:
        """Wait until every start, stop and kill is done."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def apply(self, kind: Kind, pick: int) -> None:
        """Let a fault begin; it ends by itself."""
        seconds = DURATIONS[pick // 64 % len(DURATIONS)]
        match kind:
            case Kind.STOP_ENTRY | Kind.STOP_AGENT:
                self._stop_under_load(kind, pick)
            case Kind.KILL_ENTRY | Kind.FREEZE_ENTRY:
                self._break_entry(kind, pick, seconds)
            case Kind.KILL_AGENT | Kind.FREEZE_AGENT:
                self._break_agent(kind, pick, seconds)
            case Kind.START:
                self.start_missing()
            case Kind.CUT | Kind.LATE:
                self._break_network(kind, pick, seconds)
            case Kind.CRASH_ENGINE | Kind.COLD_ENGINE | Kind.SLOW_ENGINE:
                self._break_engine(kind, pick, seconds)
            case Kind.CRASH_SERVICE | Kind.SLOW_SERVICE:
                self._break_service(kind, pick, seconds)
            case _:
                self._break_platform(kind, pick, seconds)

    def _stop_under_load(self, kind: Kind, pick: int) -> None:
        """Stop a daemon when it has just been given work."""
        for number in range(BURST):
            self._calls.chat(pick=pick + 17 * number)
        stop = self._break_entry if kind is Kind.STOP_ENTRY else self._break_agent
        self.later(STOP_AFTER, stop, kind, pick, 0.0)

    def _break_entry(self, kind: Kind, pick: int, seconds: float) -> None:
        names = sorted(self._rig.entries)
        if not names:
            return
        name = names[pick % len(names)]
        entry = self._rig.entries[name]
        match kind:
            case Kind.FREEZE_ENTRY:
                self._note_freeze(name, seconds)
                self._network.freeze(entry)
                self.later(seconds, self._network.thaw, entry)
            case Kind.KILL_ENTRY:
                is_last = len(names) == 1
                self._note("kill", TAIL_SECONDS, name, cuts=True, hinders=is_last)
                self.killed.add(name)
                self._spawn(self._rig.kill_entry(name))
            case Kind.STOP_ENTRY if not self._network.is_frozen(entry):
                self._note(STOP, TAIL_SECONDS, name, hinders=len(names) == 1)
                self._spawn(self._rig.stop_entry(name))

    def _break_agent(self, kind: Kind, pick: int, seconds: float) -> None:
        names = self._find_running_agents()
        if not names:
            return
        name = names[pick % len(names)]
        agent = self._rig.endpoints[name].agent
        match kind:
            case Kind.FREEZE_AGENT:
                self._note_freeze(name, seconds)
                self._network.freeze(agent)
                self.later(seconds, self._network.thaw, agent)
            case Kind.KILL_AGENT:
                self._note("kill", TAIL_SECONDS, name, cuts=True)
                self.killed.add(name)
                self._spawn(self._rig.kill_agent(name))
            case Kind.STOP_AGENT if not self._network.is_frozen(agent):
                self._note(STOP, TAIL_SECONDS, name)
                self._occupy(name, self._rig.stop_agent(name))

    def _find_running_agents(self) -> list[str]:
        return sorted(
            name
            for name, endpoint in self._rig.endpoints.items()
            if endpoint.agent is not None
        )

    def _break_network(self, kind: Kind, pick: int, seconds: float) -> None:
        network = self._network
        if pick % 3:
            addresses = [entry.address for entry in self._rig.entries.values()] + [
                self._rig.endpoints[name].agent.address
                for name in self._find_running_agents()
            ]
            pairs = list(itertools.combinations(sorted(addresses), 2))
            if not pairs:
                return
            network.links.add(frozenset(pairs[pick // 3 % len(pairs)]))
        if kind is Kind.CUT:
            self._note("cut", seconds + TAIL_SECONDS, cuts=True, hinders=True)
            network.drops = (0.3, 0.6, 1.0)[pick // 7 % 3]
        else:
            self._note("late", seconds + NEWS_TAIL_SECONDS, hinders=True)
            network.delays = (0.3, 0.7, 1.0)[pick // 7 % 3]
        self.later(seconds, self._heal_network)

    def _heal_network(self) -> None:
        self._network.drops = self._network.delays = 0.0
        self._network.links.clear()

    def _break_engine(self, kind: Kind, pick: int, seconds: float) -> None:
        name = sorted(self._rig.engines)[pick % len(self._rig.engines)]
        engine = self._rig.engines[name]
        match kind:
            case Kind.CRASH_ENGINE:
                self._note("ordered crash", ENGINE_TAIL_SECONDS)
                engine.crash()
            case Kind.COLD_ENGINE:
                engine.make_cold()
            case Kind.SLOW_ENGINE:
                self._degrade_engine(engine, pick, seconds)

    def _degrade_engine(self, engine: Engine, pick: int, seconds: float) -> None:
        """Make an engine slow, or let it answer wrongly."""
        fault = (None, "garbage", "end_early", "answer_other_id")[pick // 1024 % 4]
        if fault is None:
            self._note("slow", seconds, engine.name)
            engine.slow_factor = 8.0
            self.later(seconds, setattr, engine, "slow_factor", 1.0)
            return
        self._note(fault, seconds + ENGINE_TAIL_SECONDS, engine.name, cuts=True)
        setattr(engine, fault, True)
        self.later(seconds, setattr, engine, fault, False)

    def _break_service(self, kind: Kind, pick: int, seconds: float) -> None:
        names = sorted(self._rig.services)
        service = self._rig.services[names[pick % len(names)]]
        if kind is Kind.SLOW_SERVICE:
            service.delay = (0.0, 0.4)[pick // 2 % 2]
            service.answer_delay = (0.6, 0.2)[pick // 2 % 2]
            self.later(seconds, setattr, service, "delay", 0.0)
            self.later(seconds, setattr, service, "answer_delay", 0.0)
            return
        tail = seconds + ENGINE_TAIL_SECONDS
        self._note("service", tail, service.name, cuts=True)
        if pick // 2 % 2:
            service.crash_after_effect = True
            self.later(seconds, setattr, service, "crash_after_effect", False)
            return
        service.refuse()
        self.later(seconds, service.accept)

    def _break_platform(self, kind: Kind, pick: int, seconds: float) -> None:
        table = self._rig.table
        if kind is Kind.LIST_DOWN:
            self._rig.instances.outage = True
            self.later(seconds, setattr, self._rig.instances, "outage", False)
            return
        if kind is Kind.STORE_DOWN and pick % 2 and self._rig.entries:
            # The others still follow the document, and agents heed the newest
            # revision they hear of.
            names = sorted(self._rig.entries)
            store = self._rig.find_store(names[pick // 2 % len(names)])
            store.is_cut = True
            self.later(seconds, setattr, store, "is_cut", False)
            return
        self._note("store", seconds + NEWS_TAIL_SECONDS, hinders=True)
        match kind:
            case Kind.STORE_DOWN:
                table.outage = True
                self.later(seconds, setattr, table, "outage", False)
            case Kind.STORE_SLOW:
                table.delay = (0.1, 0.4)[pick % 2]
                self.later(seconds, setattr, table, "delay", 0.0)
            case Kind.STORE_LOSES:
                table.lose_answers = 1 + pick % 4

    def start_missing(self) -> None:
        """Start agents and entries in place of those that are gone."""
        for name, endpoint in self._rig.endpoints.items():
            if endpoint.agent is None and name not in self._occupied:
                self._occupy(name, self._rig.start_agent(name))
        for _ in range(ENTRIES - len(self._rig.entries)):
            self._spawn(self._rig.add_entry(f"entry-{next(self._numbers)}"))

    def _occupy(self, name: str, work: Awaitable[None]) -> None:
        """Start or stop an agent while nobody else starts it."""
        self._occupied.add(name)
        self._spawn(self._release_after(name, work))

    async def _release_after(self, name: str, work: Awaitable[None]) -> None:
        try:
            await work
        finally:
            self._occupied.discard(name)

    def heal(self) -> None:
        """End every fault."""
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        self._network.heal()
        table = self._rig.table
        table.outage = False
        table.delay = 0.0
        table.lose_answers = 0
        self._rig.connect_stores()
        self._rig.instances.outage = False
        for engine in self._rig.engines.values():
            engine.slow_factor = 1.0
            engine.garbage = engine.end_early = engine.answer_other_id = False
        for service in self._rig.services.values():
            service.delay = service.answer_delay = 0.0
            service.crash_after_effect = False
            service.accept()

    def _note_crash(self, engine: str) -> None:
        self._note(CRASH, ENGINE_TAIL_SECONDS, engine, cuts=True)

    def _note_freeze(self, name: str, seconds: float) -> None:
        self._note("frozen", seconds + TAIL_SECONDS, name, cuts=True, hinders=True)

    def _note(self, name: str, seconds: float, where: str = "", **what: bool) -> None:
        self._disturbances.note(name=name, seconds=seconds, where=where, **what)

    def later(self, seconds: float, act: object, *arguments: object) -> None:
        """Do something later unless everything is healed before."""
        loop = asyncio.get_running_loop()
        self._timers.append(loop.call_later(seconds, act, *arguments))

    def _spawn(self, work: object) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failed.append(f"a step failed: {task.exception()!r}")
