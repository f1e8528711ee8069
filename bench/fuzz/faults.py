"""Inject faults into daemons, endpoints, the network and the platform."""

import asyncio
import itertools
from collections.abc import Awaitable

from eelgrassrack.standins.engine import Engine

from .calls import CallSender
from .faultlog import FaultLog
from .network import Network
from .oracle import CRASH, QUERY_OF_DEATH, STOP
from .rig import Rig
from .steps import StepKind

# How long a fault lasts.
DURATIONS_SECONDS = (0.3, 0.8, 1.5, 2.6, 3.4)

# A daemon is stopped this long after a burst of calls, while it serves them.
BURST_CALLS = 14
STOP_DELAY_SECONDS = 0.08

ENTRY_COUNT = 2

# How long the effects of a fault last after its end.  Entries consider a silent agent
# lost after five seconds.
DAEMON_RECOVERY_SECONDS = 6.0
ENGINE_RECOVERY_SECONDS = 2.0
PROPAGATION_RECOVERY_SECONDS = 2.0


class FaultInjector:
    """Inject faults into a system, and end them.

    `killed` names the daemons killed so far, `failures` describes the starts, stops
    and kills that raised an exception.
    """

    def __init__(
        self,
        *,
        rig: Rig,
        calls: CallSender,
        network: Network,
        fault_log: FaultLog,
    ) -> None:
        self.failures: list[str] = []
        self.killed: set[str] = set()
        self._calls = calls
        self._fault_log = fault_log
        self._network = network
        self._entry_numbers = itertools.count(10)
        self._changing_agents: set[str] = set()
        self._rig = rig
        self._tasks: set[asyncio.Task] = set()
        self._timers: list[asyncio.TimerHandle] = []
        for engine in rig.engines.values():
            engine.crash_text = QUERY_OF_DEATH
            engine.on_crash = self._record_crash

    async def wait(self) -> None:
        """Wait until every start, stop and kill of a daemon has ended."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def apply(self, kind: StepKind, pick: int) -> None:
        """Begin a fault, which ends by itself after a time derived from `pick`."""
        seconds = DURATIONS_SECONDS[pick // 64 % len(DURATIONS_SECONDS)]
        match kind:
            case StepKind.STOP_ENTRY | StepKind.STOP_AGENT:
                self._stop_under_load(kind, pick)
            case StepKind.KILL_ENTRY | StepKind.FREEZE_ENTRY:
                self._break_entry(kind, pick, seconds)
            case StepKind.KILL_AGENT | StepKind.FREEZE_AGENT:
                self._break_agent(kind, pick, seconds)
            case StepKind.START:
                self.start_missing()
            case StepKind.CUT | StepKind.LATE:
                self._break_network(kind, pick, seconds)
            case StepKind.CRASH_ENGINE | StepKind.COLD_ENGINE | StepKind.SLOW_ENGINE:
                self._break_engine(kind, pick, seconds)
            case StepKind.CRASH_SERVICE | StepKind.SLOW_SERVICE:
                self._break_service(kind, pick, seconds)
            case _:
                self._break_platform(kind, pick, seconds)

    def _stop_under_load(self, kind: StepKind, pick: int) -> None:
        """Send a burst of calls and stop a daemon while it serves them."""
        for number in range(BURST_CALLS):
            self._calls.chat(pick=pick + 17 * number)
        stop = self._break_entry if kind is StepKind.STOP_ENTRY else self._break_agent
        self.schedule(STOP_DELAY_SECONDS, stop, kind, pick, 0.0)

    def _break_entry(self, kind: StepKind, pick: int, seconds: float) -> None:
        names = sorted(self._rig.entries)
        if not names:
            return
        name = names[pick % len(names)]
        entry = self._rig.entries[name]
        match kind:
            case StepKind.FREEZE_ENTRY:
                self._record_freeze(name, seconds)
                self._network.freeze(entry)
                self.schedule(seconds, self._network.thaw, entry)
            case StepKind.KILL_ENTRY:
                is_last = len(names) == 1
                self._record(
                    "kill",
                    DAEMON_RECOVERY_SECONDS,
                    name,
                    may_cut_requests=True,
                    delays_changes=is_last,
                )
                self.killed.add(name)
                self._spawn(self._rig.kill_entry(name))
            case StepKind.STOP_ENTRY if not self._network.is_frozen(entry):
                self._record(
                    STOP, DAEMON_RECOVERY_SECONDS, name, delays_changes=len(names) == 1
                )
                self._spawn(self._rig.stop_entry(name))

    def _break_agent(self, kind: StepKind, pick: int, seconds: float) -> None:
        names = self._find_running_agents()
        if not names:
            return
        name = names[pick % len(names)]
        agent = self._rig.endpoints[name].agent
        match kind:
            case StepKind.FREEZE_AGENT:
                self._record_freeze(name, seconds)
                self._network.freeze(agent)
                self.schedule(seconds, self._network.thaw, agent)
            case StepKind.KILL_AGENT:
                self._record(
                    "kill", DAEMON_RECOVERY_SECONDS, name, may_cut_requests=True
                )
                self.killed.add(name)
                self._spawn(self._rig.kill_agent(name))
            case StepKind.STOP_AGENT if not self._network.is_frozen(agent):
                self._record(STOP, DAEMON_RECOVERY_SECONDS, name)
                self._change_agent(name, self._rig.stop_agent(name))

    def _find_running_agents(self) -> list[str]:
        return sorted(
            name
            for name, endpoint in self._rig.endpoints.items()
            if endpoint.agent is not None
        )

    def _break_network(self, kind: StepKind, pick: int, seconds: float) -> None:
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
        if kind is StepKind.CUT:
            self._record(
                "cut",
                seconds + DAEMON_RECOVERY_SECONDS,
                may_cut_requests=True,
                delays_changes=True,
            )
            network.drop_probability = (0.3, 0.6, 1.0)[pick // 7 % 3]
        else:
            self._record(
                "late", seconds + PROPAGATION_RECOVERY_SECONDS, delays_changes=True
            )
            network.delay_probability = (0.3, 0.7, 1.0)[pick // 7 % 3]
        self.schedule(seconds, self._heal_network)

    def _heal_network(self) -> None:
        self._network.drop_probability = self._network.delay_probability = 0.0
        self._network.links.clear()

    def _break_engine(self, kind: StepKind, pick: int, seconds: float) -> None:
        name = sorted(self._rig.engines)[pick % len(self._rig.engines)]
        engine = self._rig.engines[name]
        match kind:
            case StepKind.CRASH_ENGINE:
                self._record("ordered crash", ENGINE_RECOVERY_SECONDS)
                engine.crash()
            case StepKind.COLD_ENGINE:
                engine.make_cold()
            case StepKind.SLOW_ENGINE:
                self._degrade_engine(engine, pick, seconds)

    def _degrade_engine(self, engine: Engine, pick: int, seconds: float) -> None:
        """Make an engine slow or answer wrongly for some seconds."""
        fault = (None, "garbage", "end_early", "answer_other_id")[pick // 1024 % 4]
        if fault is None:
            self._record("slow", seconds, engine.name)
            engine.slow_factor = 8.0
            self.schedule(seconds, setattr, engine, "slow_factor", 1.0)
            return
        self._record(
            fault, seconds + ENGINE_RECOVERY_SECONDS, engine.name, may_cut_requests=True
        )
        setattr(engine, fault, True)
        self.schedule(seconds, setattr, engine, fault, False)

    def _break_service(self, kind: StepKind, pick: int, seconds: float) -> None:
        names = sorted(self._rig.services)
        service = self._rig.services[names[pick % len(names)]]
        if kind is StepKind.SLOW_SERVICE:
            service.delay = (0.0, 0.4)[pick // 2 % 2]
            service.answer_delay = (0.6, 0.2)[pick // 2 % 2]
            self.schedule(seconds, setattr, service, "delay", 0.0)
            self.schedule(seconds, setattr, service, "answer_delay", 0.0)
            return
        excused_seconds = seconds + ENGINE_RECOVERY_SECONDS
        self._record("service", excused_seconds, service.name, may_cut_requests=True)
        if pick // 2 % 2:
            service.crash_after_effect = True
            self.schedule(seconds, setattr, service, "crash_after_effect", False)
            return
        service.refuse()
        self.schedule(seconds, service.accept)

    def _break_platform(self, kind: StepKind, pick: int, seconds: float) -> None:
        table = self._rig.table
        if kind is StepKind.LIST_DOWN:
            self._rig.instances.outage = True
            self.schedule(seconds, setattr, self._rig.instances, "outage", False)
            return
        if kind is StepKind.STORE_DOWN and pick % 2 and self._rig.entries:
            # No delay of changes is recorded: the other entries still follow the
            # document, and agents apply the newest revision that any entry sends.
            names = sorted(self._rig.entries)
            store = self._rig.find_store(names[pick // 2 % len(names)])
            store.is_partitioned = True
            self.schedule(seconds, setattr, store, "is_partitioned", False)
            return
        self._record(
            "store", seconds + PROPAGATION_RECOVERY_SECONDS, delays_changes=True
        )
        match kind:
            case StepKind.STORE_DOWN:
                table.outage = True
                self.schedule(seconds, setattr, table, "outage", False)
            case StepKind.STORE_SLOW:
                table.delay = (0.1, 0.4)[pick % 2]
                self.schedule(seconds, setattr, table, "delay", 0.0)
            case StepKind.STORE_LOSES:
                table.lose_answers = 1 + pick % 4

    def start_missing(self) -> None:
        """Replace the agents and entries that were stopped or killed."""
        for name, endpoint in self._rig.endpoints.items():
            if endpoint.agent is None and name not in self._changing_agents:
                self._change_agent(name, self._rig.start_agent(name))
        for _ in range(ENTRY_COUNT - len(self._rig.entries)):
            self._spawn(self._rig.add_entry(f"entry-{next(self._entry_numbers)}"))

    def _change_agent(self, name: str, work: Awaitable[None]) -> None:
        """Start or stop an agent; `start_missing` skips it meanwhile."""
        self._changing_agents.add(name)
        self._spawn(self._change_exclusively(name, work))

    async def _change_exclusively(self, name: str, work: Awaitable[None]) -> None:
        try:
            await work
        finally:
            self._changing_agents.discard(name)

    def heal(self) -> None:
        """End all faults now."""
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

    def _record_crash(self, engine: str) -> None:
        self._record(CRASH, ENGINE_RECOVERY_SECONDS, engine, may_cut_requests=True)

    def _record_freeze(self, name: str, seconds: float) -> None:
        self._record(
            "frozen",
            seconds + DAEMON_RECOVERY_SECONDS,
            name,
            may_cut_requests=True,
            delays_changes=True,
        )

    def _record(
        self, name: str, seconds: float, target: str = "", **effects: bool
    ) -> None:
        self._fault_log.record(name=name, seconds=seconds, target=target, **effects)

    def schedule(self, seconds: float, act: object, *arguments: object) -> None:
        """Call `act` after `seconds`, unless `heal` is called before."""
        loop = asyncio.get_running_loop()
        self._timers.append(loop.call_later(seconds, act, *arguments))

    def _spawn(self, work: object) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(f"a step failed: {task.exception()!r}")
