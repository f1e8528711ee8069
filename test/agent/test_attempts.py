"""Random steps against an oracle: nothing runs twice or after "not run"."""

import asyncio

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from eelgrassrack.agent.outcomes import AnswerFailed, ConnectionBroken
from eelgrassrack.mailbox.messages import (
    Ask,
    Begun,
    Cancel,
    Ended,
    Facts,
    NotStarted,
    Refusal,
    Resume,
    Settle,
)

from .fakes import FACTS, OTHER, WHOLE, FakeEngine, Station, make_presence, make_start

NAMES = st.sampled_from([f"a{number}" for number in range(6)])
VERSIONS = ("m/1", "m/2")
OUTCOMES = st.sampled_from(
    [WHOLE, AnswerFailed(reason="bad"), ConnectionBroken(reason="reset")]
)


class AgentSteps(RuleBasedStateMachine):
    """Drive an agent's core by entries, operators, time and failures.

    The oracle notes what began at the endpoint, what agents said, and which
    changes of the document they were given.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.incarnations = 1
        self.revision = 1
        self.withdrawn = frozenset()
        self.is_out = False
        self.ran = []
        self.not_run = set()
        self.begun = set()
        self.bills = {}
        self.station = self.call(self.make_station())
        self.call(self.tell_facts())

    def teardown(self):
        self.stop_station()
        self.loop.close()

    def stop_station(self):
        """End what runs without a new start."""
        station = self.station
        station.standing.leaving = True
        station.core.slots.stop_all()
        self.call(station.settle())
        self.call(station.core.slots.wait())

    def call(self, job):
        return self.loop.run_until_complete(job)

    async def make_station(self):
        station = Station()
        station.standing.incarnation = self.agent
        station.engine = engine = FakeEngine()
        station.runner._engine = engine
        engine.ran = Watched(self)
        return station

    @property
    def agent(self):
        return f"x.{self.incarnations}"

    def make_facts(self):
        return Facts(
            revision=self.revision,
            serves=VERSIONS,
            withdrawn=tuple(sorted(self.withdrawn)),
            domains_out=("d",) if self.is_out else (),
            concurrency=2,
            cold_concurrency=1,
        )

    async def tell_facts(self):
        return await self.station.take(
            self.make_facts(), self.station.answer(self.revision)
        )

    def note(self, said):
        """Check what the agent says against what happened before."""
        for message in said:
            match message:
                case NotStarted(refusal=Refusal.OTHER_INCARNATION):
                    continue
                case NotStarted(attempt=attempt):
                    assert attempt not in self.ran, "said not run, but it ran"
                    self.not_run.add(attempt)
                case Begun(attempt=attempt):
                    assert attempt in self.ran, "said begun, but it wasn't"
                    assert attempt not in self.not_run
                case Ended(attempt=attempt, bill=bill):
                    assert attempt in self.ran
                    if bill is not None:
                        known = self.bills.setdefault(attempt, bill)
                        assert known == bill, "two bills for one attempt"

    def note_run(self, attempt):
        """Check a start at the moment when the endpoint sees it."""
        assert attempt not in self.ran, "ran twice"
        assert attempt not in self.not_run, "ran after it was called not run"
        start = self.station.attempts.live[attempt].start
        assert start.version not in self.withdrawn, "ran a withdrawn version"
        assert not self.is_out, "ran in a domain that is out"
        self.ran.append(attempt)

    @rule(
        name=NAMES,
        version=st.sampled_from(VERSIONS),
        stale=st.booleans(),
        ahead=st.integers(min_value=0, max_value=1),
        within=st.sampled_from([1.0, 60.0]),
        alone=st.booleans(),
        connects=st.booleans(),
    )
    def start(self, name, version, stale, ahead, within, alone, connects):
        # An attempt is meant for one agent, and is always the same one.
        agent = f"x.{self.incarnations - stale}" if stale else self.agent
        self.station.engine.connects = connects
        start = make_start(
            f"{name}@{agent}",
            agent=agent,
            version=version,
            revision=self.revision + ahead,
            within=within,
            alone=alone,
        )
        self.note(self.call(self.station.take(start)))

    @rule(name=NAMES)
    def connect(self, name):
        call = self.station.engine.calls.get(f"{name}@{self.agent}")
        if call is not None:
            self.note(self.call(self.station.watch(call.connected.set)))

    @rule(name=NAMES, outcome=OUTCOMES, alive=st.booleans())
    def end(self, name, outcome, alive):
        attempt = f"{name}@{self.agent}"
        if attempt in self.ran:
            self.station.alive = alive
            self.note(self.call(self.station.end(attempt, outcome)))

    @rule(name=NAMES, only_waiting=st.booleans(), knows=st.booleans())
    def cancel(self, name, only_waiting, knows):
        cancel = Cancel(
            attempt=f"{name}@{self.agent}",
            agent=self.agent if knows else "",
            only_waiting=only_waiting,
        )
        self.note(self.call(self.station.take(cancel)))

    @rule(name=NAMES, back=st.integers(min_value=0, max_value=1))
    def ask(self, name, back):
        agent = f"x.{self.incarnations - back}"
        ask = Ask(attempt=f"{name}@{agent}", agent=agent)
        self.note(self.call(self.station.take(ask)))

    @rule(name=NAMES)
    def resume(self, name):
        resume = Resume(attempt=f"{name}@{self.agent}", offset=0)
        self.note(self.call(self.station.take(resume, sender=OTHER)))

    @rule(name=NAMES)
    def settle(self, name):
        settle = Settle(attempts=(f"{name}@{self.agent}",))
        self.note(self.call(self.station.take(settle)))

    @rule(version=st.sampled_from(VERSIONS), out=st.booleans())
    def change(self, version, out):
        self.revision += 1
        self.withdrawn = self.withdrawn ^ {version}
        self.is_out = out
        self.note(self.call(self.tell_facts()))

    @rule()
    def offer_old_facts(self):
        old = msgspec.structs.replace(FACTS, revision=self.revision - 1)
        self.note(self.call(self.station.take(old)))

    @rule(version=st.sampled_from(VERSIONS))
    def change_during_a_pause(self, version):
        self.revision += 1
        self.withdrawn = self.withdrawn ^ {version}
        old = make_presence("e.1.1", revision=self.revision - 1)
        self.station.now += 10.0
        self.note(self.call(self.station.take(old)))
        self.note(self.call(self.station.advance(0.5)))
        self.note(self.call(self.station.take(old)))

    @rule()
    def learn(self):
        self.note(self.call(self.station.advance(0.5)))
        self.note(self.call(self.tell_facts()))

    @rule(seconds=st.sampled_from([0.25, 2.0, 70.0]))
    def wait(self, seconds):
        self.note(self.call(self.wait_confirmed(seconds)))

    async def wait_confirmed(self, seconds):
        """Let time pass in which the entry tells its revision."""
        said = []
        for _ in range(max(round(seconds), 1)):
            said += await self.station.advance(min(seconds, 1.0))
            said += await self.tell_facts()
        return said

    @rule()
    def recover_engine(self):
        self.station.standing.engine_up = True
        self.note(self.call(self.station.watch(self.station.runner.pump)))

    @rule()
    def restart(self):
        self.stop_station()
        self.incarnations += 1
        self.station = self.call(self.make_station())
        self.call(self.tell_facts())

    @invariant()
    def nothing_is_lost(self):
        """Check that each attempt is queued, runs, has ended or is remembered."""
        for attempt in self.ran:
            if attempt.endswith(self.agent):
                assert self.station.attempts.find(key=attempt) is not None
        assert len(self.station.attempts.running) <= 2


class Watched(list):
    """A list that reports each appended attempt to the state machine."""

    def __init__(self, machine):
        super().__init__()
        self._machine = machine

    def append(self, attempt):
        super().append(attempt)
        self._machine.note_run(attempt)


AgentSteps.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
TestAgentSteps = AgentSteps.TestCase
