"""Measure the CPU time of each decision with 400 known endpoints.

`python -m bench.decisions` prints the median and the 99th percentile in
microseconds of process time.  The median of a decision should be at most 100.
"""

import functools
import random
import time
from collections.abc import Callable

from rich.console import Console
from rich.table import Table

from eelgrassrack.decisions.admission import Admission, Arrival, Backlog
from eelgrassrack.decisions.candidate import Candidate
from eelgrassrack.decisions.cascade import CascadePlanner, Rung
from eelgrassrack.decisions.coldstart import Window
from eelgrassrack.decisions.domains import DomainRamp
from eelgrassrack.decisions.fairqueue import FairQueue, QueuedRequest
from eelgrassrack.decisions.placement import Placement
from eelgrassrack.decisions.quarantine import Quarantine
from eelgrassrack.decisions.retries import Outcome, RetryBudget
from eelgrassrack.decisions.rollout import (
    PlannedVersion,
    RolloutHealth,
    Sample,
    choose_version,
)
from eelgrassrack.document.sections import Organisation, Preference

ENDPOINTS = 400
SUBSET = 32
DOMAINS = 20
ORGANISATIONS = 100
QUEUED = 2_000
VERSIONS = 19
ROUNDS = 5_000
# The target for the median of each decision.
MAX_MEDIAN_US = 100.0

Decision = Callable[[], object]


def measure(decision: Decision) -> tuple[float, float]:
    """Return the median and 99th percentile of a call in microseconds."""
    times = []
    for _ in range(ROUNDS):
        start = time.process_time_ns()
        decision()
        times.append((time.process_time_ns() - start) / 1_000)
    times.sort()
    return times[ROUNDS // 2], times[ROUNDS * 99 // 100]


def make_placement(rng: random.Random) -> dict[str, Decision]:
    """Return the choice of an endpoint among all endpoints and among a subset."""
    candidates = [
        Candidate(
            name=f"endpoint-{number}",
            domain=f"d{number % DOMAINS}",
            running=rng.randrange(16),
            window=16,
            local=rng.randrange(4),
        )
        for number in range(ENDPOINTS)
    ]
    placement = Placement(domain="d0")
    # With a failing endpoint, the choice checks all endpoints for ejection.
    for _ in range(3):
        placement.note_finished(
            endpoint="endpoint-7", succeeded=False, seconds=1, now=0.0
        )

    def choose(among: list[Candidate], affine: bool) -> None:
        chosen = placement.choose(
            candidates=among,
            affinity=f"session-{rng.random()}" if affine else None,
            chances=(rng.random(), rng.random()),
            now=1.0,
        )
        placement.note_sent(endpoint=chosen.name)
        placement.note_finished(
            endpoint=chosen.name, succeeded=True, seconds=0.5, now=1.0
        )

    return {
        f"placement among {len(among)}{', affinity' if affine else ''}": (
            functools.partial(choose, among, affine)
        )
        for among in (candidates, candidates[:SUBSET])
        for affine in (False, True)
    }


def make_queue(rng: random.Random) -> dict[str, Decision]:
    """Return a push to and a pop from a queue that is full."""
    queue = FairQueue()
    keys = iter(range(10**9))

    def push() -> None:
        waiting = QueuedRequest(
            key=str(next(keys)),
            organisation=f"o{rng.randrange(ORGANISATIONS)}",
            tokens=rng.randrange(1, 2_000),
            deadline=1e9,
            arrived=0.0,
        )
        queue.push(waiting)

    def turn() -> None:
        push()
        queue.find_displaced(limit=0)
        queue.pop(now=0.0)

    for _ in range(QUEUED):
        push()
    return {"fair queue, push, displaced and pop": turn}


def make_admission(rng: random.Random) -> dict[str, Decision]:
    """Return the admission of a request while there is a backlog."""
    admission = Admission()
    organisation = Organisation(name="o", key_digest="")
    arrival = Arrival(organisation="o", within=60.0, tokens=200)
    backlog = Backlog(tokens=60_000, drain=1_000.0, own=50_000, weights=2.0)

    def judge() -> None:
        admission.judge(
            arrival=arrival,
            organisation=organisation,
            backlog=backlog,
            now=0.0,
            chance=rng.random(),
        )

    return {"admission": judge}


def make_cascade(rng: random.Random) -> dict[str, Decision]:
    """Return a cascade of three rungs: plan it, judge and record an answer."""
    planner = CascadePlanner()
    rungs = tuple(
        Rung(model=f"m{number}", cost=4.0**number, quality=0.7 + number / 10)
        for number in range(3)
    )

    def run() -> None:
        plan = planner.plan(
            kind="k",
            target=0.8,
            preference=Preference.LATENCY,
            rungs=rungs,
            chance=rng.random(),
        )
        rung, rating = rungs[plan.first], rng.random()
        planner.judge(rating=rating, target=0.8, rung=rung, last=False, kind="k")
        planner.note(kind="k", rung_model=rung.model, rating=rating, now=0.0)

    return {"cascade, plan, judge and note": run}


def make_rollout(rng: random.Random) -> dict[str, Decision]:
    """Return the choice of a version and the recording of a sample."""
    health = RolloutHealth()
    plan = tuple(
        PlannedVersion(name=f"m/{number}", weight=1.0, active=True)
        for number in range(VERSIONS)
    )

    def choose() -> None:
        choose_version(shares=health.find_shares(versions=plan, now=0.0), chance=0.5)

    def note() -> None:
        sample = Sample(
            version=f"m/{rng.randrange(VERSIONS)}",
            failed=False,
            rating=rng.random(),
            seconds=1.0,
        )
        health.note(sample=sample, now=0.0)

    return {"roll-out, choose": choose, "roll-out, note": note}


def make_cheap() -> dict[str, Decision]:
    """Return decisions that are cheap."""
    budget = RetryBudget(ratio=0.1, floor=10.0)
    quarantine = Quarantine()
    quarantine.note_crash(endpoint="e", fingerprints=("x",), alone=False, now=0.0)
    window = Window(floor=2, ceiling=16, now=0.0)
    ramp = DomainRamp(seconds=30.0)
    ramp.note_state(domain="d", is_in=False, now=0.0)
    ramp.note_state(domain="d", is_in=True, now=0.0)
    return {
        "retry": functools.partial(
            budget.judge,
            outcome=Outcome.FAILED,
            repeatable=True,
            first_byte_sent=False,
            tries=1,
            most_tries=3,
            within=30.0,
        ),
        "quarantine": functools.partial(quarantine.judge, fingerprint="x", now=1.0),
        "window": functools.partial(window.complete, now=1.0),
        "domain ramp": functools.partial(ramp.admits, domain="d", chance=0.5, now=9.0),
    }


def main() -> None:
    """Measure all decisions and print the table."""
    rng = random.Random(1)
    decisions = (
        make_placement(rng)
        | make_queue(rng)
        | make_admission(rng)
        | make_cascade(rng)
        | make_rollout(rng)
        | make_cheap()
    )
    table = Table(
        "decision", "median us", "p99 us", f"median within {MAX_MEDIAN_US:.0f}"
    )
    for name, decision in decisions.items():
        median, high = measure(decision)
        within = "yes" if median <= MAX_MEDIAN_US else "no"
        table.add_row(name, f"{median:.1f}", f"{high:.1f}", within)
    Console().print(table)


if __name__ == "__main__":
    main()
