"""Fakes of what surrounds an agent's core: clock, endpoint and entries."""

import asyncio

from eelgrassrack.agent.admission import AgentState
from eelgrassrack.agent.attempts import Attempts
from eelgrassrack.agent.core import make_core
from eelgrassrack.agent.custody import BillKeeper
from eelgrassrack.agent.entries import EntryDirectory
from eelgrassrack.agent.inbox import Inbox
from eelgrassrack.agent.intake import Intake
from eelgrassrack.agent.outbox import Outbox
from eelgrassrack.agent.outcomes import Completed, NotConnected, Stopped, Usage
from eelgrassrack.agent.pause import PauseDetector
from eelgrassrack.agent.quarantine import Quarantine
from eelgrassrack.agent.relay import Relay
from eelgrassrack.agent.replies import Replies
from eelgrassrack.agent.runner import Runner
from eelgrassrack.invariants import Invariants
from eelgrassrack.mailbox.messages import Facts, MessageBatch, Presence, Start
from eelgrassrack.metrics import Metrics
from eelgrassrack.settings import MetricSettings

AGENT = "x.1"
ENTRY = "tcp://127.0.0.1:1"
OTHER = "tcp://127.0.0.1:2"
VERSION = "m/1"
FACTS = Facts(revision=1, serves=(VERSION,), concurrency=2, cold_concurrency=2)
WHOLE = Completed(status=200, usage=Usage(prompt_tokens=3, completion_tokens=5))

# Iterations of the event loop after which all pending work is done.
LOOP_ITERATIONS = 8


class Call:
    """One exchange with the fake endpoint."""

    def __init__(self, *, exchange, on_piece):
        self.exchange = exchange
        self.on_piece = on_piece
        self.connected = asyncio.Event()
        self.outcome = asyncio.get_running_loop().create_future()


class FakeEngine:
    """An endpoint whose connections and answers are controlled by the test.

    `connects` is whether it accepts connections at once, and `refuses` whether it
    refuses them.  `ran` lists the attempts that started.
    """

    def __init__(self):
        self.connects = True
        self.refuses = False
        self.calls = {}
        self.ran = []

    async def run(self, *, start, exchange, timeout, on_begun, on_piece):
        if self.refuses:
            return NotConnected(reason="refused")
        call = Call(exchange=exchange, on_piece=on_piece)
        self.calls[start.attempt] = call
        if not self.connects:
            await call.connected.wait()
        if exchange.stopped or not on_begun():
            return Stopped()
        self.ran.append(start.attempt)
        return await call.outcome

    def end(self, attempt, outcome=WHOLE):
        call = self.calls[attempt]
        if not call.outcome.done():
            call.outcome.set_result(outcome)

    def end_stopped(self):
        """End the stopped exchanges, as their closed connections would."""
        for attempt, call in self.calls.items():
            if call.exchange.stopped:
                call.connected.set()
                self.end(attempt, Stopped())


class Station:
    """An agent's core with fakes around it; time moves by `advance`.

    The state machine in test_attempts.py uses this class.  Hypothesis seeds that
    machine from its source, so a new name here would change the examples it draws.
    """

    def __init__(self):
        self.now = 100.0
        self.alive = True
        self.announced = []
        self.sent = []
        self.due = []
        self.engine = FakeEngine()
        self.invariants = Invariants(strict=True)
        self.standing = AgentState(
            endpoint="x", domain="d", pool="p", incarnation=AGENT
        )
        self.entries = EntryDirectory(name="x")
        self.attempts = Attempts(now=self.now)
        self.build()

    def build(self):
        outbox = Outbox(post=self.post, schedule=lambda _, call: self.due.append(call))
        metrics = Metrics(settings=MetricSettings())
        relay = Relay(attempts=self.attempts, outbox=outbox, metrics=metrics)
        self.pause = PauseDetector(
            state=self.standing,
            entries=self.entries,
            post=self.post,
            clock=self.clock,
        )
        self.core = make_core(
            state=self.standing,
            attempts=self.attempts,
            relay=relay,
            clock=self.clock,
            invariants=self.invariants,
            detect_pause=self.pause.detect_pause,
        )
        self.intake = Intake(core=self.core)
        self.runner = Runner(
            core=self.core,
            intake=self.intake,
            engine=self.engine,
            is_alive=self.is_alive,
            announce=self.announced.append,
        )
        self.keeper = BillKeeper(
            attempts=self.attempts,
            entries=self.entries,
            relay=relay,
            post=self.post,
        )
        self.inbox = Inbox(
            core=self.core,
            entries=self.entries,
            intake=self.intake,
            runner=self.runner,
            replies=Replies(
                attempts=self.attempts,
                relay=relay,
                state=self.standing,
                clock=self.clock,
            ),
            pause=self.pause,
            quarantine=Quarantine(),
            post=self.post,
            on_new_revision=lambda: None,
        )

    def clock(self):
        return self.now

    def answer(self, revision=1):
        """Return the heartbeat that confirms the facts after a pause."""
        return make_presence("e.1.1", revision=revision, answers=self.standing.question)

    def post(self, to, message):
        self.sent.append((to, message))

    async def is_alive(self, since):
        return self.alive

    async def take(self, *messages, sender=ENTRY, incarnation="e.1"):
        """Deliver a message batch and return the messages that the agent sends."""
        batch = MessageBatch(
            address=sender, incarnation=incarnation, messages=list(messages)
        )
        return await self.watch(lambda: self.inbox.deliver(batch))

    async def advance(self, seconds):
        """Let time pass in ticks and return the messages that the agent sends."""
        said = []
        steps = max(round(seconds / 0.25), 1)
        for _ in range(steps):
            self.now += seconds / steps
            said += await self.watch(self.tick)
        return said

    async def watch(self, action):
        begin = len(self.sent)
        action()
        await self.settle()
        return [message for _, message in self.sent[begin:]]

    async def settle(self):
        for _ in range(LOOP_ITERATIONS):
            self.engine.end_stopped()
            await asyncio.sleep(0)
            due, self.due[:] = list(self.due), []
            for call in due:
                call()

    async def end(self, attempt, outcome=WHOLE):
        return await self.watch(lambda: self.engine.end(attempt, outcome))

    def tick(self):
        self.pause.tick()
        self.intake.tick()
        self.runner.tick()
        self.attempts.expire(now=self.now)
        self.keeper.tick(now=self.now)


def make_start(attempt, **changes):
    values = {
        "attempt": attempt,
        "request": f"r-{attempt}",
        "agent": AGENT,
        "organisation": "o",
        "revision": 1,
        "ledger": "e.1.1",
        "version": VERSION,
        "within": 60.0,
    }
    return Start(**{**values, **changes})


def make_presence(ledger, revision=1, answers=0):
    return Presence(
        entry="e", domain="d", revision=revision, ledger=ledger, answers=answers
    )
