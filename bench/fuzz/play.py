"""One run: the steps on a system, and the oracle's verdict."""

import asyncio
import collections
import functools

import msgspec

from . import oracle
from .billed import find_unbilled
from .calls import Call, Calls
from .disturbances import Disturbances
from .faults import Faults
from .network import Network
from .operators import Operators
from .rig import DOCUMENT, DOMAINS, VERSIONS, Rig
from .steps import Kind, Step

BURST = 14
IN_SESSION = 3
POISON_SECONDS = 6.0
POISON_RESENDS = (1.5, 2.5)
WATCH_SECONDS = 0.05
READY_SECONDS = 30.0
PROBE_SECONDS = 25.0
BILL_SECONDS = 40.0
RETRY_SECONDS = 0.2

# When all faults have ended, daemons find each other again in this time.
HEALED_SECONDS = 1.5


class Verdict(msgspec.Struct, kw_only=True):
    """What a run came to."""

    faults: list[str] = []
    counts: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )
    timeline: list[str] = []


class Play:
    """One run of steps."""

    def __init__(self, *, steps: list[Step], seed: int = 1) -> None:
        self._steps = steps
        self._seed = seed
        self._network = Network(seed=seed)
        self._disturbances = Disturbances()
        self._verdict = Verdict()
        self._highest: dict[str, int] = {}

    async def run(self) -> Verdict:
        """Run the steps, heal everything and judge."""
        with self._network.install():
            self._rig = Rig(seed=self._seed)
            await self._rig.start(document=DOCUMENT)
            self._calls = Calls(rig=self._rig)
            self._operators = Operators(rig=self._rig)
            self._faults = Faults(
                rig=self._rig,
                calls=self._calls,
                network=self._network,
                disturbances=self._disturbances,
            )
            watches = [
                asyncio.create_task(self._watch()),
                asyncio.create_task(self._disturbances.watch_loop()),
            ]
            try:
                await self._run_steps()
                await self._settle()
                await self._judge()
            finally:
                for watch in watches:
                    watch.cancel()
                self._calls.close()
                await self._rig.stop()
        return self._verdict

    async def _run_steps(self) -> None:
        began = asyncio.get_running_loop().time()
        for step in self._steps:
            at = asyncio.get_running_loop().time() - began
            self._verdict.timeline.append(f"{at:.2f} {step.kind.value} {step.pick}")
            self._take(step)
            await asyncio.sleep(step.wait)

    def _take(self, step: Step) -> None:
        pick = step.pick
        match step.kind:
            case Kind.CHAT:
                self._calls.chat(pick=pick)
            case Kind.BURST:
                for number in range(BURST):
                    self._calls.chat(pick=pick + 17 * number)
            case Kind.SESSION:
                for number in range(IN_SESSION):
                    self._calls.chat(
                        pick=pick + 16 * number, model="large", session=f"s{pick % 2}"
                    )
            case Kind.CASCADE:
                self._calls.chat(pick=pick, model="study")
            case Kind.FORBIDDEN:
                self._calls.chat(pick=pick, organisation="club", model="large")
            case Kind.LOOKUP:
                self._calls.look_up(pick=pick)
            case Kind.ISSUE:
                self._calls.issue(pick=pick)
            case Kind.RESEND:
                self._resend(pick)
            case Kind.GIVE_UP:
                self._calls.chat(pick=pick, gave_up=True)
            case Kind.POISON:
                self._poison(pick)
            case Kind.VERSION | Kind.DOMAIN | Kind.RACE:
                self._change(step.kind, pick)
            case Kind.HEAL:
                self._faults.heal()
            case Kind.WAIT:
                pass
            case _:
                self._faults.apply(step.kind, pick)

    def _poison(self, pick: int) -> None:
        """Send what crashes engines, and again through any entry."""
        self._disturbances.note(name=oracle.POISON, seconds=POISON_SECONDS)
        if self._calls.chat(pick=pick, mark=oracle.POISON) is None:
            return
        prompt = self._calls.last.prompt
        for number, seconds in enumerate(POISON_RESENDS):
            again = functools.partial(self._calls.repeat, prompt=prompt)
            self._faults.later(
                seconds, lambda pick, again=again: again(pick=pick), 16 * number
            )

    def _resend(self, pick: int) -> None:
        keys = [call.key for call in self._calls.all if call.key]
        key = keys[-1 - pick // 4 % min(len(keys), 3)] if keys else ""
        self._calls.issue(pick=pick, key=key)
        self._calls.issue(pick=pick + 16, key=key)

    def _change(self, kind: Kind, pick: int) -> None:
        if kind is not Kind.DOMAIN:
            self._operators.toggle(kind="version", name=VERSIONS[1 + pick % 2])
        if kind is not Kind.VERSION:
            self._operators.toggle(kind="domain", name=DOMAINS[pick // 2 % 3])
        if kind is Kind.RACE:
            self._operators.toggle(kind="version", name=VERSIONS[1 + (pick + 1) % 2])

    async def _settle(self) -> None:
        """End all faults and wait for what is under way."""
        self._faults.heal()
        await self._operators.wait()
        await self._try_absences()
        self._operators.restore()
        await self._operators.wait()
        await self._calls.wait()
        await self._faults.wait()
        self._faults.start_missing()
        await self._faults.wait()

    async def _try_absences(self) -> None:
        """Send work when all that is out must be out everywhere."""
        now = asyncio.get_running_loop().time()
        self._disturbances.end_hindrance(at=now + HEALED_SECONDS)
        horizon = oracle.find_last_horizon(self._operators, self._disturbances)
        if not horizon:
            return
        await asyncio.sleep(max(horizon - now, 0.0))
        for number in range(BURST):
            self._calls.chat(pick=2 + 5 * number)
        await self._calls.wait()

    async def _judge(self) -> None:
        await self._check_recovery()
        faults = self._verdict.faults
        calls = self._calls.all
        self._verdict.counts.update(_name_end(call) for call in calls)
        faults += oracle.check_calls(calls, self._disturbances, self._rig)
        faults += oracle.check_stops(calls, self._disturbances, self._rig)
        faults += oracle.check_sessions(calls)
        faults += oracle.check_runs(calls, self._rig)
        faults += oracle.check_poison(calls, self._disturbances, self._rig)
        faults += oracle.check_keys(calls, self._rig)
        faults += oracle.check_absences(self._operators, self._disturbances, self._rig)
        faults += oracle.check_overloads(self._rig)
        faults += oracle.check_invariants(self._rig)
        faults += self._faults.failed
        faults += self._operators.refused
        faults += await self._operators.find_lost()
        faults += await self._wait_billed()

    async def _check_recovery(self) -> None:
        try:
            await self._rig.wait_ready(
                revision=self._operators.revision, seconds=READY_SECONDS
            )
        except TimeoutError:
            self._verdict.faults.append("not ready again after all faults ended")
            return
        probes = (
            lambda pick: self._calls.chat(pick=pick, model="small"),
            lambda pick: self._calls.chat(pick=pick, model="large"),
            lambda pick: self._calls.look_up(pick=pick),
            lambda pick: self._calls.issue(pick=pick),
        )
        picks = (8, 24)
        await asyncio.gather(
            *(self._probe(probe, pick) for probe in probes for pick in picks)
        )

    async def _probe(self, probe: object, pick: int) -> None:
        ends_at = asyncio.get_running_loop().time() + PROBE_SECONDS
        while asyncio.get_running_loop().time() < ends_at:
            call = await probe(pick)
            if call.answer.status == oracle.OK and call.answer.is_whole:
                return
            await asyncio.sleep(RETRY_SECONDS)
        self._verdict.faults.append(
            f"not served again: {call.model or call.path} {call.answer}"
        )

    async def _wait_billed(self) -> list[str]:
        store = self._rig.make_store("oracle")
        ends_at = asyncio.get_running_loop().time() + BILL_SECONDS
        while True:
            faults = await find_unbilled(
                self._calls.all, store, self._rig, self._faults.killed
            )
            if not faults or asyncio.get_running_loop().time() > ends_at:
                return faults
            await asyncio.sleep(RETRY_SECONDS)

    async def _watch(self) -> None:
        """Look at every daemon's revision, for ever."""
        while True:
            for name, revision in self._list_revisions():
                if revision < self._highest.get(name, 0):
                    self._verdict.faults.append(
                        f"{name} fell back to revision {revision}"
                    )
                self._highest[name] = max(revision, self._highest.get(name, 0))
            await asyncio.sleep(WATCH_SECONDS)

    def _list_revisions(self) -> list[tuple[str, int]]:
        found = [
            (entry.incarnation, entry.core.snapshot.revision)
            for entry in self._rig.entries.values()
        ]
        agents = [endpoint.agent for endpoint in self._rig.endpoints.values()]
        return found + [
            (agent.incarnation, agent._state.facts.revision)
            for agent in agents
            if agent is not None and agent._state.facts is not None
        ]


def _name_end(call: Call) -> str:
    answer = call.answer
    if answer.status == oracle.OK:
        return "whole" if answer.is_whole else "cut"
    return answer.run or "no answer"


def run_steps(*, steps: list[Step], seed: int = 1) -> Verdict:
    """Run steps on a loop of their own and return the verdict."""
    return asyncio.run(Play(steps=steps, seed=seed).run())
