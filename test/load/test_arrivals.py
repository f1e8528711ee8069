"""Tests of the arrival times of requests."""

import pytest

from eelgrassrack.load.arrivals import Schedule, draw_arrivals
from eelgrassrack.load.workload import Limits, Phase, Plan, RequestKind

STEADY = RequestKind(name="steady", organisation="a", key="k", requests_per_second=10)
BURSTY = RequestKind(name="bursty", organisation="b", key="k", requests_per_second=10)
PLAN = Plan(
    kinds=(STEADY, BURSTY),
    phases=(
        Phase(name="calm", seconds=20),
        Phase(name="burst", seconds=10, factor=8, kinds=("bursty",)),
        Phase(name="nothing", seconds=5, factor=0),
        Phase(name="end", seconds=5),
    ),
)


@pytest.mark.parametrize(
    ("kind", "count", "at"),
    [
        (BURSTY, 0, 0.0),
        (BURSTY, 100, 10.0),
        (BURSTY, 600, 25.0),
        (BURSTY, 1000, 35.0),
        (BURSTY, 1049, 39.9),
        (BURSTY, 1050, None),
        (STEADY, 250, 25.0),
        (STEADY, 300, 35.0),
        (STEADY, 350, None),
    ],
)
def test_the_schedule_follows_the_phases(kind, count, at):
    time = Schedule(plan=PLAN, kind=kind).find_time(count)
    assert time == (at if at is None else pytest.approx(at))


def test_arrivals_follow_the_phases():
    arrivals = draw_arrivals(plan=PLAN)
    times = [arrival.at for arrival in arrivals]
    assert times == sorted(times)
    assert not any(30 <= at < 35 for at in times)
    burst = [request for request in arrivals if 20 <= request.at < 30]
    bursty = sum(request.kind is BURSTY for request in burst)
    # Six standard deviations of a Poisson count of 800 and of 100.
    assert abs(bursty - 800) < 170
    assert abs(len(burst) - bursty - 100) < 60
    assert arrivals == draw_arrivals(plan=PLAN)


def test_arrivals_are_bounded():
    limits = Limits(most_requests=50)
    plan = Plan(kinds=PLAN.kinds, phases=PLAN.phases, limits=limits)
    assert draw_arrivals(plan=plan) == draw_arrivals(plan=PLAN)[:50]
