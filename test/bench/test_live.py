"""Tests of the live scenarios' texts and figures, without their processes."""

import pytest

from bench.live.figures import describe_changes, list_tables
from bench.live.play import Change, Played
from bench.live.variants import (
    LARGE,
    QUIET,
    SCENARIOS,
    VARIANTS,
    build_document,
    build_plan,
    build_warm_up,
)
from eelgrassrack.document.parser import digest_api_key, parse_document
from eelgrassrack.document.snapshot import Snapshot
from eelgrassrack.load.arrivals import draw_arrivals
from eelgrassrack.load.plan import parse_plan
from eelgrassrack.load.report import Report, Row, Times, Totals
from eelgrassrack.load.workload import Plan


@pytest.mark.parametrize(
    "text", [build_warm_up(), *(build_plan(variant) for variant in VARIANTS)]
)
def test_plans_fit_the_document(text):
    document = parse_document(text=build_document())
    assert isinstance(document, Snapshot), str(document)
    plan = parse_plan(text=text)
    assert isinstance(plan, Plan), str(plan)
    digests = {one.key_digest for one in document.organisations.values()}
    for kind in plan.kinds:
        assert digest_api_key(kind.key) in digests
        assert kind.model in document.versions


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_all_ways_of_a_scenario_get_the_same_load_of_the_quiet(scenario):
    plans = [
        parse_plan(text=build_plan(variant))
        for variant in VARIANTS
        if variant.scenario == scenario
    ]
    times = [
        [one.at for one in draw_arrivals(plan=plan) if one.kind.name == QUIET]
        for plan in plans
    ]
    assert len(plans) >= 2
    assert all(other == times[0] for other in times)


def make_played(in_time, change=None):
    times = Times(count=1, p50=10.0, p95=20.0, p99=30.0, longest=40.0)
    row = Row(
        organisation=LARGE,
        kind=LARGE,
        requests=10,
        in_time=in_time,
        late=0,
        refused=10 - in_time,
        broken=0,
        unknown=0,
        not_sent=0,
        tries=20,
        refusals=10,
        responses=20,
        wait=Times(count=1, p50=1500.0, p95=2500.0, p99=2500.0, longest=2500.0),
        first=times,
        gaps=times,
        whole=times,
        codes={},
        versions={},
    )
    totals = Totals(arrivals=10, seconds=1.0, cpu_share=0.1, most_at_once=5)
    report = Report(totals=totals, lag=times, rows=(row,), seconds=())
    return Played(report=report, change=change)


def test_figures_are_medians_of_the_runs():
    (table,) = list_tables([(VARIANTS[0], [make_played(n) for n in (9, 2, 7)])])
    (row,) = table.rows
    assert len(row) == len(table.headings)
    assert row[:6] == ["router", "large", "10", "70.0 %", "0", "3"]
    assert row[8:11] == ["2.00", "1.5 / 2.5", "10 / 20 / 30"]


def test_stray_requests_of_all_runs_are_reported():
    """A domain that is out was given a request in one run of three."""
    changes = [Change(idle_after=1.0, busy_after=2.0, stray=n) for n in (0, 1, 0)]
    played = [make_played(9, change) for change in changes]
    assert describe_changes(played).endswith("seen busy in between 1 times")
    assert describe_changes([make_played(9)]) == ""
