"""Tests of what a step of a request comes to after several attempts."""

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
    """A dispatcher before agents that say what the test wants."""

    def __init__(self, words):
        loop = asyncio.get_running_loop()
        self.words = list(words)
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
                word = self.words.pop(0)(attempt)
                asyncio.get_running_loop().call_soon(
                    self.channels.take, word, agent, 0.0
                )


def end(finish):
    return lambda attempt: Ended(attempt=attempt, finish=finish)


def refuse(refusal):
    return lambda attempt: NotStarted(attempt=attempt, refusal=refusal)


def forget(attempt):
    return UnknownAttempt(attempt=attempt)


def withdraw(entry):
    """Have the entry know that the version is withdrawn."""
    version = Version(name=VERSION, state=VersionState.WITHDRAWN)
    entry.snapshot = msgspec.structs.replace(
        SNAPSHOT, revision=2, versions={VERSION: version}
    )


def ask(*words, is_withdrawn=False):
    """Return what the caller is told and how often the step was sent.

    With `is_withdrawn` its version is withdrawn as soon as the step was sent.
    """

    async def play():
        entry = FakeEntry(words)
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

    return asyncio.run(play())


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
    """An engine crashes under a request, and its retry is refused.

    The version was withdrawn meanwhile, or the next endpoint is down too. A
    caller that is told "not run" sends again what has had its effect.
    """
    told, sent = ask(first, refuse(second), refuse(second), refuse(second))
    assert told.run is run
    assert sent >= 2


def test_a_request_that_never_started_was_not_run():
    told, sent = ask(refuse(Refusal.FULL), refuse(Refusal.WITHDRAWN))
    assert (told.run, told.code) == (Run.NOT_RUN, "version_withdrawn")
    assert sent == 2


@pytest.mark.parametrize("refusal", [Refusal.STALE, Refusal.FULL, Refusal.ENGINE_DOWN])
def test_a_withdrawn_version_is_told_as_such_whatever_an_agent_says(refusal):
    """An agent is in doubt after a pause, and its entry knows what is in force.

    Told "stale", a caller would come again and again for what is gone for good.
    """
    told, sent = ask(*[refuse(refusal)] * 3, is_withdrawn=True)
    assert (told.status, told.code, told.run) == (410, "version_withdrawn", Run.NOT_RUN)
    assert sent == 1


def test_a_request_that_ran_is_said_so_though_its_version_is_withdrawn():
    told, sent = ask(end(Finish.ENGINE_CRASHED), is_withdrawn=True)
    assert told.run is Run.RAN
    assert sent == 1


@pytest.mark.parametrize("finish", [Finish.CANCELLED, Finish.DEADLINE])
def test_an_answer_cut_by_its_deadline_is_told_as_such(finish):
    """A request's deadline passes while it runs.

    Shortly before, the entry withdraws it, and the agent's word that it is
    cancelled comes first. A caller that is told of a failed endpoint and to
    try again sends it once more, though its time is up.
    """
    told, sent = ask(end(finish))
    assert (told.status, told.code, told.run) == (504, "deadline", Run.RAN)
    assert told.retry_after == 0
    assert sent == 1


def test_an_agent_is_given_the_time_until_the_entry_withdraws():
    """A request reaches the head of the queue shortly before its deadline.

    The entry withdraws it a little before that, to learn what became of it.
    Started in between, it would be cut for certain, and its caller would get
    a part of an answer in place of a refusal.
    """
    job = Job(request="r", organisation="o", snapshot=SNAPSHOT, deadline=10.0)
    target = AttemptTarget(attempt="a", endpoint="x", agent="x.1", address="x")
    start = build_start(job=job, target=target, now=4.0, alone=False)
    assert start.within == 10.0 - 4.0 - CANCEL_REPLY_SECONDS
