"""One scenario's system and callers, and checks that the promises hold."""

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

from ..loops import end_loop
from .links import Links

# Entries flush bills, and agents resend bills and poll engines, this often instead
# of about once a second.  This keeps the tests quick.
FLUSH_SECONDS = 0.1
AGENT_POLL_SECONDS = 0.25
WAIT_SECONDS = 25.0
POLL_SECONDS = 0.01
TOKENS = 8
MAX_FILLING_REQUESTS = 20
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
    """Callers, stand-ins or the ledger show that a promise is broken."""


class SentRequest(msgspec.Struct, kw_only=True):
    """A request and its answer; `answer` is None until `World.finish` waits for it.

    `prompt` is the idempotency key if the request goes to a service.
    """

    prompt: str
    is_service: bool
    tokens: int
    task: asyncio.Task
    answer: CallAnswer | None = None


class Clock:
    """A monotonic clock that a test can set ahead, as if its agent had frozen."""

    def __init__(self):
        self.ahead = 0.0

    def __call__(self):
        return time.monotonic() + self.ahead


class World:
    """One system on an event loop that runs only while a step waits.

    Each agent has its own clock in `clocks`.  A test that switches a rule off may
    lower `wait_seconds`, the wait for bills or changes that never come, and
    `call_seconds`, the wait for answers that never come.  It sets `knows_leaving`
    to False if agents then don't notice that their instances are leaving.
    """

    def __init__(self, monkeypatch):
        monkeypatch.setattr(system, "Agent", self._make_agent)
        monkeypatch.setattr(entry, "FLUSH_SECONDS", FLUSH_SECONDS)
        monkeypatch.setattr(agent, "SWEEP_SECONDS", AGENT_POLL_SECONDS)
        monkeypatch.setattr(agent, "POLL_SECONDS", AGENT_POLL_SECONDS)
        self.clocks = {}
        self.wait_seconds = WAIT_SECONDS
        self.call_seconds = CALL_SECONDS
        self.knows_leaving = True
        self.loop = asyncio.new_event_loop()
        self.links = Links(monkeypatch)
        self.sent = []
        self.system = None
        self.callers = {}

    def _make_agent(self, *, settings, **options):
        clock = self.clocks[settings.name] = Clock()
        return Agent(settings=settings, clock=clock, **options)

    def run(self, coroutine, seconds=WAIT_SECONDS):
        """Run a coroutine and return its result; raise TimeoutError after `seconds`."""

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
        """Cancel requests that still run and stop the system."""

        async def end():
            for sent in self.sent:
                sent.task.cancel()
            for caller in self.callers.values():
                caller.close()
            if self.system is not None:
                await self.system.stop()

        self.run(end())
        end_loop(self.loop)

    def wait(self, condition, seconds=WAIT_SECONDS):
        """Wait until a condition holds; raise TimeoutError after `seconds`."""

        async def poll():
            while not condition():
                await asyncio.sleep(POLL_SECONDS)

        self.run(poll(), seconds)

    def standin(self, name):
        """Return the engine or service stand-in of an endpoint."""
        return self.system.endpoints[name].standin

    def agent(self, name):
        """Return the agent of an endpoint."""
        return self.system.endpoints[name].agent

    def entry(self, number=0):
        """Return an entry by its number; raise KeyError if it was killed."""
        return self.system.entries[f"entry-{number}"]

    @property
    def engines(self):
        """The engine stand-ins of all endpoints."""
        standins = (endpoint.standin for endpoint in self.system.endpoints.values())
        return [standin for standin in standins if isinstance(standin, Engine)]

    @property
    def services(self):
        """The service stand-ins of all endpoints."""
        standins = (endpoint.standin for endpoint in self.system.endpoints.values())
        return [standin for standin in standins if isinstance(standin, PlainService)]

    def crash_engine(self):
        """Wait until an engine runs a request, then crash that engine."""
        self.wait(lambda: any(engine.running for engine in self.engines))

        async def crash():
            next(engine for engine in self.engines if engine.running).crash()

        self.run(crash())

    def hold_engines(self):
        """Keep the requests of all engines running until `release_engines`."""
        for engine in self.engines:
            engine.never_answer = True

    def release_engines(self):
        """Let the engines finish their requests again."""
        for engine in self.engines:
            engine.never_answer = False

    def fill(self, agents):
        """Send questions until at least one runs and one waits at each agent."""

        def is_full(agent):
            return agent._attempts.running and len(agent._core.queue)

        for number in range(MAX_FILLING_REQUESTS):
            self.ask(f"filling {number}", entry=number % 2)
            count = number + 1
            self.wait(
                lambda count=count: (
                    sum(len(agent._attempts.live) for agent in agents) == count
                )
            )
            if all(is_full(agent) for agent in agents):
                return
        raise AssertionError("some agent has no running or no waiting request")

    def count_starts(self, prompt=None, version=None):
        """Return how many requests reached engines, of a prompt or a version."""
        return sum(
            (prompt is None or record.prompt == prompt)
            and (version is None or record.version == version)
            for engine in self.engines
            for record in engine.started
        )

    def count_effects(self, key):
        """Return how often services carried out the request with a key."""
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
        **options,
    ):
        """Send a chat request without waiting for its answer.

        `fields` are headers of the request.
        """
        work = self.callers[caller].chat(
            url=self.entry(entry).url,
            model=model,
            prompt=prompt,
            max_tokens=tokens,
            fields=fields,
            timeout=self.call_seconds,
            **options,
        )
        return self._send(prompt, work, tokens=tokens)

    def issue(self, key, *, entry=0, fields=None):
        """Ask for a credential without waiting for the answer.

        Such a request may not be repeated.  `key` is its idempotency key.
        """
        work = self.callers["school"].send(
            url=f"{self.entry(entry).url}/v1/services/registry/credentials",
            body=key.encode(),
            fields={"Idempotency-Key": key, **(fields or {})},
        )
        return self._send(key, work, is_service=True)

    def _send(self, prompt, work, *, is_service=False, tokens=0):
        task = self.loop.create_task(work)
        sent = SentRequest(
            prompt=prompt, is_service=is_service, tokens=tokens, task=task
        )
        self.sent.append(sent)
        return sent

    def finish(self, *requests):
        """Wait for the answers to these requests, or to all, and return them."""
        awaited = requests or tuple(self.sent)

        async def gather():
            for sent in awaited:
                sent.answer = await sent.task

        self.run(gather())
        return [sent.answer for sent in awaited]

    def apply(self, old, new, *, team="operations", pattern="*", wait=True):
        """Replace `old` by `new` in the document; return the new revision.

        Retries while the object API is unavailable.  With `wait` it returns once
        all entries have the revision.
        """

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

    def withdraw(self, version, **options):
        """Withdraw a version; return the new revision.  Options as in `apply`."""
        header = f"[version {version}]\n"
        return self.apply(header, f"{header}state = withdrawn\n", **options)

    def take_out(self, domain, **options):
        """Take a domain out; return the new revision.  Options as in `apply`."""
        header = f"[domain {domain}]\n"
        return self.apply(header, f"{header}state = out\n", **options)

    def kill_entry(self, number):
        """Kill an entry, then remove it from the instance list.

        Closes its mailbox first, since a killed process can't withdraw attempts.
        """

        async def kill():
            name = f"entry-{number}"
            killed = self.system.entries.pop(name)
            killed._mailbox.close()
            await killed.kill()
            self.system.instances.remove(name)

        self.run(kill())

    def heal(self, address):
        """Restore the link to a mailbox while the event loop runs."""

        async def heal():
            self.links.heal(address)

        self.run(heal())

    def wait_in_force(self, revision):
        """Wait until all entries and agents have a revision in force."""
        self.wait(lambda: self.system.is_ready(revision=revision))

    def check_all(self):
        """Check all answers against engines, services and ledgers.

        Raises `PromiseBroken` if one of them shows a broken promise, or if the
        program has counted one.
        """
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
            # Another request with the same prompt may account for the runs.
            others = [
                s
                for s in self.sent
                if s.prompt == sent.prompt and s.answer and s.answer.run != NOT_RUN
            ]
            check(not runs or others, f"{sent.prompt}: not-run, ran {runs} times")
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
        # A resend has its own request id, but it is billed with the first request.
        whole = {
            s.prompt if s.is_service else s.answer.request
            for s in answered
            if s.answer.status == 200
        }
        # Requests with another outcome may have been billed as well.
        is_exact = all(
            s.answer.status == 200 or s.answer.run == NOT_RUN for s in answered
        )
        totals = self.wait_billed(len(whole))
        billed = count_billed(totals)
        check(not totals.doubled, f"billed twice: {totals.doubled}")
        fits = billed == len(whole) if is_exact else billed >= len(whole)
        check(fits, f"{billed} billed, {len(whole)} answered")

    def wait_billed(self, count):
        """Wait until `count` requests are billed; return the totals of all bills.

        After `wait_seconds` it returns the totals as they are.
        """
        totals = self.run(self._read_bills())
        ends_at = time.monotonic() + self.wait_seconds
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


def make_serial_document():
    """Return the document for engines that run one request at a time."""
    serial = "concurrency = 1\ncold_concurrency = 1"
    return DOCUMENT.replace("concurrency = 8", serial)
