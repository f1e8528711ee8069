"""Tests of the result of a step after one or more attempts."""

import asyncio
import random

import msgspec
import pytest

from eelgrassrack.decisions.domains import DomainRamp
from eelgrassrack.decisions.placement import Placement
from eelgrassrack.decisions.retries import RetryBudget
from eelgrassrack.document.sections import (
    Organisation,
    Pool,
    Version,
    VersionState,
)
from eelgrassrack.document.snapshot import Snapshot
from eelgrassrack.entry.channels import CANCEL_REPLY_SECONDS, Channels
from eelgrassrack.entry.directory import Directory
from eelgrassrack.entry.dispatcher import Dispatcher
from eelgrassrack.entry.headers import Run
from eelgrassrack.entry.identity import Identity
from eelgrassrack.entry.jobs import AttemptTarget, Job, build_start
from eelgrassrack.entry.meter import Meter
from eelgrassrack.entry.outcomes import judge_outcome
from eelgrassrack.entry.picker import Picker
from eelgrassrack.entry.suspects import SuspectRequests
from eelgrassrack.invariants import Invariants
from eelgrassrack.mailbox.messages import (
    Ended,
    Finish,
    Load,
    NotStarted,
    Refusal,
    Start,
    UnknownAttempt,
)
from eelgrassrack.metrics import Metrics
from eelgrassrack.settings import MetricSettings
from eelgrassrack.store.instances import Instance, Role

VERSION = "m/1"
ENDPOINTS = ("x", "y", "z")
SNAPSHOT = Snapshot(
    revision=1,
    organisations={"o": Organisation(name="o", key_digest="", allows=frozenset({"m"}))},
    versions={VERSION: Version(name=VERSION)},
    pools={"p": Pool(name="p", serves=(VERSION,))},
)


class FakeEntry:
    """A dispatcher with agents that send the given replies, one per start."""

    def __init__(self, replies):
        loop = asyncio.get_running_loop()
        self.replies = list(replies)
        self.started = []
        self.snapshot = SNAPSHOT
        self.channels = Channels(invariants=Invariants(strict=True))
        self.directory = Directory(on_agent_lost=lambda agent, reason: None)
        self.directory.take_listing(
            Instance(name=name, role=Role.ENDPOINT, domain="d", mailbox=name, pool="p")
            for name in ENDPOINTS
        )
        for name in ENDPOINTS:
            load = Load(
                endpoint=name,
                domain="d",
                pool="p",
                revision=1,
                serves=(VERSION,),
                window=4,
                running=0,
                queued=0,
                queued_tokens=0,
            )
            self.directory.take_load(load, name, f"{name}.1", loop.time())
        picker = Picker(
            directory=self.directory,
            placement=Placement(domain="d"),
            ramp=DomainRamp(seconds=1.0),
            rng=random.Random(1),
            clock=loop.time,
        )
        self.dispatcher = Dispatcher(
            channels=self.channels,
            find_snapshot=lambda: self.snapshot,
            identity=Identity(incarnation="e.1"),
            picker=picker,
            budget=RetryBudget(ratio=0.1, floor=10.0),
            invariants=Invariants(strict=True),
            meter=Meter(metrics=Metrics(settings=MetricSettings())),
            post=self.post,
            suspects=SuspectRequests(clock=loop.time, spread=lambda fingerprints: None),
        )

    def post(self, to, message):
        match message:
            case Start(attempt=attempt, agent=agent):
                self.started.append(to)
                reply = self.replies.pop(0)(attempt)
                asyncio.get_running_loop().call_soon(
                    self.channels.take, reply, agent, 0.0
                )


def end(finish):
    return lambda attempt: Ended(attempt=attempt, finish=finish)


def refuse(refusal):
    return lambda attempt: NotStarted(attempt=attempt, refusal=refusal)


def forget(attempt):
    """Reply as an agent that was restarted and lost the attempt."""
    return UnknownAttempt(attempt=attempt)


def withdraw(entry):
    """Put a snapshot in force in which the version is withdrawn."""
    version = Version(name=VERSION, state=VersionState.WITHDRAWN)
    entry.snapshot = msgspec.structs.replace(
        SNAPSHOT, revision=2, versions={VERSION: version}
    )


def ask(*replies, is_withdrawn=False):
    """Run a step; return the response, and the number of attempts sent.

    With `is_withdrawn` the version is withdrawn just after the first attempt.
    """

    async def run():
        entry = FakeEntry(replies)
        if is_withdrawn:
            asyncio.get_running_loop().call_soon(withdraw, entry)
        job = Job(
            request="r",
            organisation="o",
            snapshot=SNAPSHOT,
            deadline=asyncio.get_running_loop().time() + 30.0,
            version=VERSION,
        )
        return judge_outcome(await entry.dispatcher.run(job=job)), len(entry.started)

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("first", "run"),
    [
        (end(Finish.ENGINE_CRASHED), Run.RAN),
        (end(Finish.CUT), Run.RAN),
        (forget, Run.UNKNOWN),
    ],
)
@pytest.mark.parametrize(
    "second", [Refusal.ENGINE_DOWN, Refusal.DOMAIN_OUT, Refusal.WITHDRAWN]
)
def test_a_refused_retry_does_not_hide_that_the_request_ran(first, run, second):
    """An engine crashes while it runs a request, and the retry is refused.

    The version was withdrawn in the meantime, or the next engine is down too.
    If told "not run", the caller would repeat a request that has had its effect.
    """
    response, sent = ask(first, refuse(second), refuse(second), refuse(second))
    assert response.run is run
    assert sent >= 2


def test_a_request_that_never_started_was_not_run():
    response, sent = ask(refuse(Refusal.FULL), refuse(Refusal.WITHDRAWN))
    assert (response.run, response.code) == (Run.NOT_RUN, "version_withdrawn")
    assert sent == 2


@pytest.mark.parametrize("refusal", [Refusal.STALE, Refusal.FULL, Refusal.ENGINE_DOWN])
def test_a_withdrawn_version_is_reported_whatever_the_agents_refusal(refusal):
    """An agent refuses after a pause because its facts may be stale.

    The entry knows that the version is withdrawn. If told "stale", the caller
    would retry a request that can't succeed.
    """
    response, sent = ask(*[refuse(refusal)] * 3, is_withdrawn=True)
    assert (response.status, response.code, response.run) == (
        410,
        "version_withdrawn",
        Run.NOT_RUN,
    )
    assert sent == 1


def test_a_request_that_ran_is_reported_so_if_its_version_is_withdrawn():
    response, sent = ask(end(Finish.ENGINE_CRASHED), is_withdrawn=True)
    assert response.run is Run.RAN
    assert sent == 1


@pytest.mark.parametrize("finish", [Finish.CANCELLED, Finish.DEADLINE])
def test_an_answer_that_misses_its_deadline_is_reported_so(finish):
    """A request's deadline passes while it runs.

    The entry cancels it shortly before, and the agent confirms this. If told
    that the endpoint failed, the caller would retry although its time is up.
    """
    response, sent = ask(end(finish))
    assert (response.status, response.code, response.run) == (504, "deadline", Run.RAN)
    assert response.retry_after == 0
    assert sent == 1


def test_an_agents_deadline_is_when_the_entry_cancels():
    """A request reaches the head of the queue shortly before its deadline.

    The entry cancels requests a little before their deadline, to get the
    outcome. If the agent started this one in between, the caller would get a
    part of an answer instead of a refusal.
    """
    job = Job(request="r", organisation="o", snapshot=SNAPSHOT, deadline=10.0)
    target = AttemptTarget(attempt="a", endpoint="x", agent="x.1", address="x")
    start = build_start(job=job, target=target, now=4.0, alone=False)
    assert start.within == 10.0 - 4.0 - CANCEL_REPLY_SECONDS
