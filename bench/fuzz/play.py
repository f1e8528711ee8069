"""One run: the steps on a system, and the result of the oracle's checks."""

import asyncio
import collections
import functools

import msgspec

from . import oracle
from .billing import find_unbilled
from .calls import CallSender, SentCall
from .faultlog import FaultLog
from .faults import FaultInjector
from .leavers import Leavers, check_bodies, count_leavers
from .network import Network
from .operators import Operators
from .rig import DOCUMENT, DOMAINS, VERSIONS, Rig
from .steps import Step, StepKind

BURST_CALLS = 14
SESSION_CALLS = 3
LEAVING_CALLS = 4

# Steps beside which callers of the plain service leave.
LEAVING_STEPS = {
    StepKind.LOOKUP,
    StepKind.ISSUE,
    StepKind.RESEND,
    StepKind.GIVE_UP,
}

# A query of death counts as a fault for this time, and is resent after these delays.
QUERY_OF_DEATH_SECONDS = 6.0
RESEND_DELAYS_SECONDS = (1.5, 2.5)

WATCH_INTERVAL_SECONDS = 0.05
READY_TIMEOUT_SECONDS = 30.0
PROBE_TIMEOUT_SECONDS = 25.0
BILLING_TIMEOUT_SECONDS = 40.0
RETRY_SECONDS = 0.2

# Daemons reconnect within this time after all faults have ended.
RECONNECT_SECONDS = 1.5


class Verdict(msgspec.Struct, kw_only=True):
    """The result of a run.

    `faults` describes each failed check, `counts` the calls by kind of answer, and
    `timeline` the steps with their times in seconds.
    """

    faults: list[str] = []
    counts: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )
    timeline: list[str] = []


class Play:
    """Run a list of steps on a new system and check the result."""

    def __init__(self, *, steps: list[Step], seed: int = 1) -> None:
        self._steps = steps
        self._seed = seed
        self._network = Network(seed=seed)
        self._fault_log = FaultLog()
        self._verdict = Verdict()
        self._highest_revisions: dict[str, int] = {}

    async def run(self) -> Verdict:
        """Run the steps, end all faults and check the run."""
        with self._network.install():
            self._rig = Rig(seed=self._seed)
            await self._rig.start(document=DOCUMENT)
            self._calls = CallSender(rig=self._rig)
            self._leavers = Leavers(rig=self._rig)
            self._operators = Operators(rig=self._rig)
            self._faults = FaultInjector(
                rig=self._rig,
                calls=self._calls,
                network=self._network,
                fault_log=self._fault_log,
            )
            watches = [
                asyncio.create_task(self._watch_revisions()),
                asyncio.create_task(self._fault_log.watch_event_loop_lag()),
            ]
            try:
                await self._run_steps()
                await self._settle()
                await self._check()
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
            self._apply(step)
            await asyncio.sleep(step.wait)

    def _apply(self, step: Step) -> None:
        pick = step.pick
        if step.kind in LEAVING_STEPS:
            for number in range(LEAVING_CALLS):
                self._leavers.start(pick=pick + 17 * number)
        match step.kind:
            case StepKind.CHAT:
                self._calls.chat(pick=pick)
            case StepKind.BURST:
                for number in range(BURST_CALLS):
                    self._calls.chat(pick=pick + 17 * number)
            case StepKind.SESSION:
                for number in range(SESSION_CALLS):
                    self._calls.chat(
                        pick=pick + 16 * number, model="large", session=f"s{pick % 2}"
                    )
            case StepKind.CASCADE:
                self._calls.chat(pick=pick, model="study")
            case StepKind.FORBIDDEN:
                self._calls.chat(pick=pick, organisation="club", model="large")
            case StepKind.LOOKUP:
                self._calls.look_up(pick=pick)
            case StepKind.ISSUE:
                self._calls.issue(pick=pick)
            case StepKind.RESEND:
                self._resend(pick)
            case StepKind.GIVE_UP:
                self._calls.chat(pick=pick, gave_up=True)
            case StepKind.POISON:
                self._send_query_of_death(pick)
            case StepKind.VERSION | StepKind.DOMAIN | StepKind.RACE:
                self._change(step.kind, pick)
            case StepKind.HEAL:
                self._faults.heal()
            case StepKind.WAIT:
                pass
            case _:
                self._faults.apply(step.kind, pick)

    def _send_query_of_death(self, pick: int) -> None:
        """Send a request that crashes engines, and resend it through any entry."""
        self._fault_log.record(
            name=oracle.QUERY_OF_DEATH, seconds=QUERY_OF_DEATH_SECONDS
        )
        if self._calls.chat(pick=pick, mark=oracle.QUERY_OF_DEATH) is None:
            return
        prompt = self._calls.last.prompt
        for number, seconds in enumerate(RESEND_DELAYS_SECONDS):
            resend = functools.partial(self._calls.repeat, prompt=prompt)
            self._faults.schedule(
                seconds, lambda pick, resend=resend: resend(pick=pick), 16 * number
            )

    def _resend(self, pick: int) -> None:
        keys = [call.key for call in self._calls.all if call.key]
        key = keys[-1 - pick // 4 % min(len(keys), 3)] if keys else ""
        self._calls.issue(pick=pick, key=key)
        self._calls.issue(pick=pick + 16, key=key)

    def _change(self, kind: StepKind, pick: int) -> None:
        if kind is not StepKind.DOMAIN:
            self._operators.toggle(kind="version", name=VERSIONS[1 + pick % 2])
        if kind is not StepKind.VERSION:
            self._operators.toggle(kind="domain", name=DOMAINS[pick // 2 % 3])
        if kind is StepKind.RACE:
            self._operators.toggle(kind="version", name=VERSIONS[1 + (pick + 1) % 2])

    async def _settle(self) -> None:
        """End all faults and wait for all calls, changes and restarts."""
        self._faults.heal()
        await self._operators.wait()
        await self._probe_exclusions()
        self._operators.restore()
        await self._operators.wait()
        await self._calls.wait()
        await self._leavers.wait()
        await self._faults.wait()
        self._faults.start_missing()
        await self._faults.wait()

    async def _probe_exclusions(self) -> None:
        """Send calls once every current exclusion must be in force."""
        now = asyncio.get_running_loop().time()
        self._fault_log.end_change_delays(at=now + RECONNECT_SECONDS)
        deadline = oracle.find_last_propagation_deadline(
            self._operators, self._fault_log
        )
        if not deadline:
            return
        await asyncio.sleep(max(deadline - now, 0.0))
        for number in range(BURST_CALLS):
            self._calls.chat(pick=2 + 5 * number)
        await self._calls.wait()

    async def _check(self) -> None:
        await self._check_recovery()
        faults = self._verdict.faults
        calls = self._calls.all
        self._verdict.counts.update(_classify_answer(call) for call in calls)
        faults += oracle.check_calls(calls, self._fault_log, self._rig)
        faults += oracle.check_stops(calls, self._fault_log, self._rig)
        faults += oracle.check_sessions(calls)
        faults += oracle.check_runs(calls, self._rig)
        faults += oracle.check_queries_of_death(calls, self._fault_log, self._rig)
        faults += oracle.check_keys(calls, self._rig)
        keys = {call.key for call in calls}
        faults += check_bodies(keys, self._leavers, self._rig)
        self._verdict.counts.update(count_leavers(self._leavers, self._rig))
        faults += oracle.check_exclusions(self._operators, self._fault_log, self._rig)
        faults += oracle.check_overloads(self._rig)
        faults += oracle.check_invariants(self._rig)
        faults += self._faults.failures
        faults += self._operators.refused
        faults += await self._operators.find_lost_changes()
        faults += await self._wait_billed()

    async def _check_recovery(self) -> None:
        try:
            await self._rig.wait_ready(
                revision=self._operators.revision, seconds=READY_TIMEOUT_SECONDS
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
        ends_at = asyncio.get_running_loop().time() + PROBE_TIMEOUT_SECONDS
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
        ends_at = asyncio.get_running_loop().time() + BILLING_TIMEOUT_SECONDS
        while True:
            faults = await find_unbilled(
                self._calls.all, store, self._rig, self._faults.killed
            )
            if not faults or asyncio.get_running_loop().time() > ends_at:
                return faults
            await asyncio.sleep(RETRY_SECONDS)

    async def _watch_revisions(self) -> None:
        """Check that no daemon's revision decreases, until cancelled."""
        while True:
            for name, revision in self._list_revisions():
                if revision < self._highest_revisions.get(name, 0):
                    self._verdict.faults.append(
                        f"{name} fell back to revision {revision}"
                    )
                self._highest_revisions[name] = max(
                    revision, self._highest_revisions.get(name, 0)
                )
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)

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


def _classify_answer(call: SentCall) -> str:
    answer = call.answer
    if answer.status == oracle.OK:
        return "whole" if answer.is_whole else "cut"
    return answer.run or "no answer"


def run_steps(*, steps: list[Step], seed: int = 1) -> Verdict:
    """Run steps on a new event loop and return the result."""
    return asyncio.run(Play(steps=steps, seed=seed).run())
