"""A whole system for one scenario, its callers, and what must hold of both."""

import asyncio
import hashlib
import json
import time

import msgspec

from eelgrassrack.agent import agent
from eelgrassrack.agent.agent import Agent
from eelgrassrack.entry import entry
from eelgrassrack.invariants import Invariants
from eelgrassrack.standins import system
from eelgrassrack.standins.answers import expected_text
from eelgrassrack.standins.caller import CALL_SECONDS, CallAnswer, Caller
from eelgrassrack.standins.engine import Engine
from eelgrassrack.standins.service import PlainService
from eelgrassrack.standins.system import EndpointPlan, System
from eelgrassrack.store.head import Applied
from eelgrassrack.store.objects import Unavailable
from eelgrassrack.store.totals import read_totals

from .links import Links

# Bills are flushed and looked after and engines polled this often instead of
# about each second, for quick tests.
FLUSH_SECONDS = 0.1
LOOK_SECONDS = 0.25
PATIENCE = 25.0
POLL_SECONDS = 0.01
TOKENS = 8
MOST_TO_FILL = 20
NOT_RUN = "not-run"
KEYS = {"school": "school-key", "college": "college-key"}
DIGESTS = {name: hashlib.sha256(key.encode()).hexdigest() for name, key in KEYS.items()}
DOCUMENT = f"""\
[team operations]
sections = *
[team releases]
sections = version *
[team traffic]
sections = domain *, endpoint *
[limits]
default_deadline = 20
[organisation school]
key_digest = {DIGESTS["school"]}
allows = tutor
services = registry
[organisation college]
key_digest = {DIGESTS["college"]}
allows = tutor/1
services = registry
[model tutor]
[version tutor/1]
weight = 1
[version tutor/2]
weight = 1
[service registry]
not_repeatable = POST /credentials
[domain east]
[domain west]
[pool tutors]
serves = tutor/1, tutor/2
concurrency = 8
[pool registry]
service = registry
"""
TUTOR_EAST = EndpointPlan(name="tutor-east", domain="east", pool="tutors")
TUTOR_WEST = EndpointPlan(name="tutor-west", domain="west", pool="tutors")
REGISTRY = EndpointPlan(name="registry", domain="east", pool="registry")


class PromiseBroken(AssertionError):  # noqa: N818
    """What a caller, a stand-in or the ledger shows breaks a promise."""


class Sent(msgspec.Struct, kw_only=True):
    """A request, and what came of it."""

    prompt: str
    is_service: bool
    tokens: int
    task: asyncio.Task
    answer: CallAnswer | None = None


class Clock:
    """A clock that a test can set ahead, as after a freeze."""

    def __init__(self):
        self.ahead = 0.0

    def __call__(self):
        return time.monotonic() + self.ahead


class World:
    """One system on a loop that runs only while a step waits.

    Each agent has a clock of its own in `clocks`.  A test in which a rule
    is switched off may lower `patience`, for bills that never come, and
    `call_seconds`, for answers that never come.
    """

    def __init__(self, monkeypatch):
        monkeypatch.setattr(system, "Agent", self._make_agent)
        monkeypatch.setattr(entry, "FLUSH_SECONDS", FLUSH_SECONDS)
        monkeypatch.setattr(agent, "SWEEP_SECONDS", LOOK_SECONDS)
        monkeypatch.setattr(agent, "POLL_SECONDS", LOOK_SECONDS)
        self.clocks = {}
        self.patience = PATIENCE
        self.call_seconds = CALL_SECONDS
        self.knows_leaving = True
        self.loop = asyncio.new_event_loop()
        self.links = Links(monkeypatch)
        self.sent = []
        self.system = None
        self.callers = {}

    def _make_agent(self, *, settings, **more):
        clock = self.clocks[settings.name] = Clock()
        return Agent(settings=settings, clock=clock, **more)

    def run(self, coroutine, seconds=PATIENCE):
        """Run a coroutine to its end within a bound."""

        async def bounded():
            async with asyncio.timeout(seconds):
                return await coroutine

        return self.loop.run_until_complete(bounded())

    def start(self, *, plans, document=DOCUMENT, **options):
        """Start a system and wait until it is ready."""
        options = {"tokens_per_second": 200.0, **options}

        async def begin():
            self.system = System(plans=plans, **options)
            self.callers = {name: Caller(key=key) for name, key in KEYS.items()}
            await self.system.start(document=document)

        self.run(begin())

    def close(self):
        async def end():
            for sent in self.sent:
                sent.task.cancel()
            for caller in self.callers.values():
                caller.close()
            if self.system is not None:
                await self.system.stop()

        self.run(end())
        self.loop.close()

    def wait(self, condition, seconds=PATIENCE):
        """Wait until a condition holds."""

        async def poll():
            while not condition():
                await asyncio.sleep(POLL_SECONDS)

        self.run(poll(), seconds)

    def standin(self, name):
        return self.system.endpoints[name].standin

    def agent(self, name):
        return self.system.endpoints[name].agent

    def entry(self, number=0):
        return self.system.entries[f"entry-{number}"]

    @property
    def engines(self):
        standins = (each.standin for each in self.system.endpoints.values())
        return [each for each in standins if isinstance(each, Engine)]

    @property
    def services(self):
        standins = (each.standin for each in self.system.endpoints.values())
        return [each for each in standins if isinstance(each, PlainService)]

    def crash_engine(self):
        """Crash an engine once one runs something."""
        self.wait(lambda: any(engine.running for engine in self.engines))

        async def crash():
            next(engine for engine in self.engines if engine.running).crash()

        self.run(crash())

    def hold_engines(self):
        """Let the engines run what they have without an end."""
        for engine in self.engines:
            engine.never_answer = True

    def release_engines(self):
        """Let the engines go on."""
        for engine in self.engines:
            engine.never_answer = False

    def fill(self, agents):
        """Send questions until one runs and one waits at each agent."""

        def is_full(agent):
            return agent._attempts.running and len(agent._core.queue)

        for number in range(MOST_TO_FILL):
            self.ask(f"filling {number}", entry=number % 2)
            count = number + 1
            self.wait(
                lambda count=count: (
                    sum(len(agent._attempts.live) for agent in agents) == count
                )
            )
            if all(is_full(agent) for agent in agents):
                return
        raise AssertionError("the agents never became full")

    def count_starts(self, prompt=None, version=None):
        """Return how often engines were given a prompt or a version."""
        return sum(
            (prompt is None or record.prompt == prompt)
            and (version is None or record.version == version)
            for engine in self.engines
            for record in engine.started
        )

    def count_effects(self, key):
        """Return how often services carried out a key."""
        return sum(service.effects_by_key[key] for service in self.services)

    def ask(
        self,
        prompt,
        *,
        entry=0,
        caller="school",
        model="tutor",
        tokens=TOKENS,
        fields=None,
        **more,
    ):
        """Send a chat request without waiting for its answer."""
        work = self.callers[caller].chat(
            url=self.entry(entry).url,
            model=model,
            prompt=prompt,
            max_tokens=tokens,
            fields=fields,
            timeout=self.call_seconds,
            **more,
        )
        return self._send(prompt, work, tokens=tokens)

    def issue(self, key, *, entry=0, fields=None):
        """Send a request that may not be repeated, without waiting."""
        work = self.callers["school"].send(
            url=f"{self.entry(entry).url}/v1/services/registry/credentials",
            body=key.encode(),
            fields={"Idempotency-Key": key, **(fields or {})},
        )
        return self._send(key, work, is_service=True)

    def _send(self, prompt, work, *, is_service=False, tokens=0):
        task = self.loop.create_task(work)
        sent = Sent(prompt=prompt, is_service=is_service, tokens=tokens, task=task)
        self.sent.append(sent)
        return sent

    def finish(self, *requests):
        """Wait for the answers of these requests, or of all."""
        chosen = requests or tuple(self.sent)

        async def gather():
            for sent in chosen:
                sent.answer = await sent.task

        self.run(gather())
        return [sent.answer for sent in chosen]

    def apply(self, old, new, *, team="operations", pattern="*", wait=True):
        """Change the document; wait until the change is in force."""

        async def change():
            head = await self.system.operator.read()
            assert old in head.text
            text = head.text.replace(old, new)
            result = await self._apply(text, team, pattern)
            while isinstance(result, Unavailable):
                result = await self._apply(text, team, pattern)
            assert isinstance(result, Applied), result
            return result.revision

        revision = self.run(change())
        if wait:
            self.wait(
                lambda: all(
                    entry.core.snapshot.revision >= revision
                    for entry in self.system.entries.values()
                )
            )
        return revision

    async def _apply(self, text, team, pattern):
        return await self.system.operator.apply(
            team=team,
            patterns=(pattern,),
            proposed=text,
            who="test",
            now=time.time(),
        )

    def withdraw(self, version, **more):
        header = f"[version {version}]\n"
        return self.apply(header, f"{header}state = withdrawn\n", **more)

    def take_out(self, domain, **more):
        header = f"[domain {domain}]\n"
        return self.apply(header, f"{header}state = out\n", **more)

    def kill_entry(self, number):
        """Kill an entry; the instance list drops it only after that.

        Its mailbox is closed first: a killed process withdraws no attempt.
        """

        async def kill():
            name = f"entry-{number}"
            killed = self.system.entries.pop(name)
            killed._mailbox.close()
            await killed.kill()
            self.system.instances.remove(name)

        self.run(kill())

    def heal(self, name):
        """Let everything through to a daemon, on the running loop."""

        async def heal():
            self.links.heal(name)

        self.run(heal())

    def wait_in_force(self, revision):
        """Wait until entries and agents have a revision in force."""
        self.wait(lambda: self.system.is_ready(revision=revision))

    def check_all(self):
        """Hold everything callers got against engines, services and ledgers."""
        answered = [sent for sent in self.sent if sent.answer is not None]
        for sent in answered:
            self._check_answer(sent)
        self._check_bills(answered)
        broken = dict(self.system.invariants.broken)
        check(not broken, f"broken inside the program: {broken}")

    def _check_answer(self, sent):
        answer = sent.answer
        if answer.run == NOT_RUN and answer.status != 200:
            runs = self._count_runs(sent)
            twins = [
                s
                for s in self.sent
                if s.prompt == sent.prompt and s.answer and s.answer.run != NOT_RUN
            ]
            check(not runs or twins, f"{sent.prompt}: not-run, ran {runs} times")
        if answer.status != 200:
            return
        if sent.is_service:
            body = json.loads(answer.text)["body"]
            check(body == sent.prompt, f"{sent.prompt} got the answer of {body}")
            return
        expected = expected_text(sent.prompt, answer.version, sent.tokens)
        whole = answer.is_whole and answer.text == expected
        broken_off = not answer.is_whole and b'"error"' in answer.body
        check(whole or broken_off, f"{sent.prompt}: got {answer.text!r}")

    def _count_runs(self, sent):
        if sent.is_service:
            return self.count_effects(sent.prompt)
        return self.count_starts(sent.prompt)

    def _check_bills(self, answered):
        # A resend has a request id of its own but is no other request.
        whole = {
            s.prompt if s.is_service else s.answer.request
            for s in answered
            if s.answer.status == 200
        }
        exact = all(s.answer.status == 200 or s.answer.run == NOT_RUN for s in answered)
        totals = self.wait_billed(len(whole))
        billed = count_billed(totals)
        check(not totals.doubled, f"billed twice: {totals.doubled}")
        fits = billed == len(whole) if exact else billed >= len(whole)
        check(fits, f"{billed} billed, {len(whole)} answered")

    def wait_billed(self, count):
        """Wait until so many requests are billed; return all bills."""
        totals = self.run(self._read_bills())
        ends_at = time.monotonic() + self.patience
        while count_billed(totals) < count and time.monotonic() < ends_at:
            self.run(asyncio.sleep(POLL_SECONDS))
            totals = self.run(self._read_bills())
        return totals

    def count_calls(self, caller):
        """Return how many calls to the object API a caller made."""
        return self.system.table.count_calls(caller=caller)

    async def _read_bills(self):
        store = self.system.make_store("test")
        return await read_totals(store=store, invariants=Invariants(strict=False))


def check(holds, detail):
    """Raise `PromiseBroken` unless a promise holds."""
    if not holds:
        raise PromiseBroken(detail)


def count_billed(totals):
    """Return how many requests are billed."""
    return sum(each.requests for each in totals.organisations)


def make_narrow():
    """Return the document for engines that run one request at a time."""
    narrow = "concurrency = 1\ncold_concurrency = 1"
    return DOCUMENT.replace("concurrency = 8", narrow)
