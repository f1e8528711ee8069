"""A demonstration: a complete system in one process under mixed traffic.

Each sample document runs in a separate system.  While callers send lookups,
questions, long reviews and non-repeatable requests, the demo withdraws a version,
takes a failure domain out of service and brings it back.  The last line of the
output sums up what callers received.
"""

import asyncio
import itertools
import time
from pathlib import Path

import msgspec

from .errors import UserError
from .invariants import Invariants
from .standins.answers import expected_text
from .standins.caller import CallAnswer, Caller
from .standins.service import PlainService
from .standins.system import EndpointPlan, System
from .store.head import Applied
from .store.totals import BillTotals, read_totals

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"

REQUESTS = 240
CONCURRENT_REQUESTS = 24
WITHDRAW_AT_REQUEST = 80
DOMAIN_OUT_AT_REQUEST = 120
DOMAIN_IN_AT_REQUEST = 180
SETTLE_SECONDS = 10.0
MAX_TRIES = 4
API_KEY_PREFIX = "sample-key-"
TOKENS_PER_SECOND = 400.0


class Scenario(msgspec.Struct, kw_only=True, frozen=True):
    """The document, endpoints and traffic of one sample system.

    `cheap` lists the models that the rating stand-in scores low on hard prompts.
    """

    document: str
    plans: list[EndpointPlan]
    calls: list["Call"]
    withdrawn: str
    domain: str
    cheap: tuple[str, ...]


class Call(msgspec.Struct, kw_only=True, frozen=True):
    """One kind of request: a service call if `service` is set, else a chat."""

    organisation: str
    model: str = ""
    max_tokens: int = 12
    stream: bool = True
    service: str = ""
    method: str = "GET"
    path: str = ""


class Outcome(msgspec.Struct, kw_only=True):
    """The results of all requests of a scenario."""

    requests: int = 0
    whole: int = 0
    refused: int = 0
    billed: int = 0
    faults: list[str] = []

    def add(self, other: "Outcome") -> None:
        """Add the outcome of another scenario."""
        self.requests += other.requests
        self.whole += other.whole
        self.refused += other.refused
        self.billed += other.billed
        self.faults += other.faults


def run() -> int:
    """Run the demonstration; return 1 if a promise was broken, else 0."""
    outcome = asyncio.run(_run_scenarios())
    for fault in outcome.faults:
        print(f"demo: fault: {fault}")
    print(
        f"demo: {outcome.requests} requests, {outcome.whole} answered whole, "
        f"{outcome.refused} refused, {outcome.billed} billed once"
    )
    return 1 if outcome.faults else 0


async def _run_scenarios() -> Outcome:
    total = Outcome()
    for scenario in (_make_keelwater(), _make_cimq()):
        total.add(await ScenarioRun(scenario=scenario).run())
    return total


class ScenarioRun:
    """Runs one scenario and checks its results."""

    def __init__(self, *, scenario: Scenario) -> None:
        self._scenario = scenario
        self._callers: dict[str, Caller] = {}
        self._outcome = Outcome()
        self._answered: set[str] = set()
        self._system = System(
            plans=scenario.plans,
            entries=2,
            cheap=scenario.cheap,
            tokens_per_second=TOKENS_PER_SECOND,
        )

    async def run(self) -> Outcome:
        """Run the scenario and return its outcome."""
        await self._system.start(document=self._scenario.document)
        self._callers = {
            call.organisation: Caller(key=f"{API_KEY_PREFIX}{call.organisation}")
            for call in self._scenario.calls
        }
        semaphore = asyncio.Semaphore(CONCURRENT_REQUESTS)
        calls = itertools.islice(itertools.cycle(self._scenario.calls), REQUESTS)
        tasks = []
        for number, call in enumerate(calls):
            await semaphore.acquire()
            await self._change_document(number)
            task = asyncio.create_task(self._call(number, call))
            task.add_done_callback(lambda _: semaphore.release())
            tasks.append(task)
        await asyncio.gather(*tasks)
        await self._check()
        for caller in self._callers.values():
            caller.close()
        await self._system.stop()
        return self._outcome

    async def _change_document(self, number: int) -> None:
        """Apply the operator's change that is due before this request, if any."""
        scenario = self._scenario
        if number == WITHDRAW_AT_REQUEST:
            old = f"[version {scenario.withdrawn}]\n"
            await self._edit(old, f"{old}state = withdrawn\n", "version *")
        if number == DOMAIN_OUT_AT_REQUEST:
            old = f"[domain {scenario.domain}]\n"
            await self._edit(old, f"{old}state = out\n", "domain *")
        if number == DOMAIN_IN_AT_REQUEST:
            new = f"[domain {scenario.domain}]\n"
            await self._edit(f"{new}state = out\n", new, "domain *")

    async def _edit(self, old: str, new: str, pattern: str) -> None:
        head = await self._system.operator.read()
        result = await self._system.operator.apply(
            team="operations",
            patterns=(pattern,),
            proposed=head.text.replace(old, new),
            who="demo",
            now=time.time(),
        )
        if not isinstance(result, Applied):
            self._outcome.faults.append(f"a change was refused: {result}")
            return
        print(f"demo: revision {result.revision}: {new.splitlines()[-1]}")
        await self._system.wait_ready(revision=result.revision)

    async def _call(self, number: int, call: Call) -> None:
        """Send one request; resend it if it did not run and may be retried."""
        self._outcome.requests += 1
        for _ in range(MAX_TRIES):
            answer = await self._send(number, call)
            if answer.status == 200 and answer.is_whole:
                self._record_answer(number, call, answer)
                return
            if answer.run != "not-run" or not answer.retry_after:
                break
            await asyncio.sleep(min(float(answer.retry_after), 2.0))
        self._outcome.refused += 1
        if answer.run != "not-run":
            self._outcome.faults.append(f"{call} got {answer.status} {answer.code}")

    async def _send(self, number: int, call: Call) -> CallAnswer:
        entries = list(self._system.entries.values())
        url = entries[number % len(entries)].url
        caller = self._callers[call.organisation]
        if call.service:
            has_body = call.method != "GET"
            return await caller.send(
                url=f"{url}/v1/services/{call.service}{call.path}",
                method=call.method,
                body=f"body {number}".encode() if has_body else None,
                fields={"Idempotency-Key": f"demo-{number}"} if has_body else None,
            )
        return await caller.chat(
            url=url,
            model=call.model,
            prompt=_make_prompt(number),
            max_tokens=call.max_tokens,
            stream=call.stream,
        )

    def _record_answer(self, number: int, call: Call, answer: CallAnswer) -> None:
        self._outcome.whole += 1
        self._answered.add(answer.request)
        if call.service:
            return
        expected = expected_text(_make_prompt(number), answer.version, call.max_tokens)
        if answer.text != expected:
            self._outcome.faults.append(f"request {number} got another answer")

    async def _check(self) -> None:
        """Record a fault for each broken promise."""
        totals = await self._wait_for_bills()
        self._outcome.billed = sum(bills.requests for bills in totals.organisations)
        if totals.doubled:
            self._outcome.faults.append(f"billed twice: {totals.doubled}")
        if self._outcome.billed != len(self._answered):
            text = f"{len(self._answered)} answered, {self._outcome.billed} billed"
            self._outcome.faults.append(text)
        self._outcome.faults += [
            f"{endpoint.plan.name} ran {key} {count} times"
            for endpoint in self._system.endpoints.values()
            if isinstance(endpoint.standin, PlainService)
            for key, count in endpoint.standin.effects_by_key.items()
            if count > 1
        ]
        self._outcome.faults += [
            f"{promise.value} broken {count} times"
            for promise, count in self._system.invariants.broken.items()
        ]

    async def _wait_for_bills(self) -> BillTotals:
        store = self._system.make_store("demo")
        ends_at = time.monotonic() + SETTLE_SECONDS
        while True:
            totals = await read_totals(store=store, invariants=Invariants(strict=False))
            billed = sum(bills.requests for bills in totals.organisations)
            if billed >= len(self._answered) or time.monotonic() > ends_at:
                return totals
            await asyncio.sleep(0.1)


def _make_prompt(number: int) -> str:
    return f"question {number}: {'hard' if number % 7 == 0 else 'plain'}"


def _read_example(name: str) -> str:
    path = EXAMPLES / name
    try:
        return path.read_text()
    except OSError as error:
        raise UserError(f"the sample {name} can't be read: {error.strerror}") from error


def _plan_endpoints(domains: tuple[str, ...], models: str, services: str) -> list:
    """Return plans for three engines and one service in each failure domain."""
    engines = [
        EndpointPlan(name=f"{domain}-engine-{number}", domain=domain, pool=models)
        for domain in domains
        for number in range(3)
    ]
    plain = [
        EndpointPlan(name=f"{domain}-service", domain=domain, pool=services)
        for domain in domains
    ]
    return engines + plain


def _make_keelwater() -> Scenario:
    return Scenario(
        document=_read_example("keelwater.ini"),
        plans=_plan_endpoints(
            ("lansing", "toledo", "windsor"), "assessment", "registry"
        ),
        calls=[
            Call(organisation="candidates", model="study"),
            Call(organisation="assessors", model="assess", max_tokens=24),
            Call(organisation="employer-huron", service="registry", path="/t/17"),
            Call(organisation="college-toledo", model="study-small", stream=False),
            Call(
                organisation="registrar",
                service="registry",
                method="POST",
                path="/credentials",
            ),
            Call(organisation="bay-garage", model="study-guide", max_tokens=8),
        ],
        withdrawn="assess/2026-10",
        domain="toledo",
        cheap=("study-small",),
    )


def _make_cimq() -> Scenario:
    return Scenario(
        document=_read_example("cimq.ini"),
        plans=_plan_endpoints(
            ("quebec-east-1", "quebec-east-2", "quebec-east-3"),
            "language",
            "collection",
        ),
        calls=[
            Call(organisation="secretariat", model="commentary"),
            Call(organisation="acier-saguenay", model="review", max_tokens=80),
            Call(organisation="lecteurs", model="commentary-small", stream=False),
            Call(
                organisation="papiers-mauricie",
                service="collection",
                method="POST",
                path="/submissions",
            ),
            Call(organisation="secretariat", service="collection", path="/index"),
        ],
        withdrawn="review/2026-11",
        domain="quebec-east-2",
        cheap=("commentary-small",),
    )
