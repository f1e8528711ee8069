"""Tests of short runs against a small but complete system."""

import asyncio

from eelgrassrack.document.parser import digest_api_key
from eelgrassrack.load.plan import parse_plan
from eelgrassrack.load.runner import run_plan
from eelgrassrack.standins.system import EndpointPlan, System

DOCUMENT = f"""\
[team operations]
sections = *
[organisation school]
key_digest = {digest_api_key("school")}
allows = tutor
services = registry
[organisation limited]
key_digest = {digest_api_key("limited")}
allows = tutor
requests_per_second = 0.01
burst = 1
[model tutor]
[version tutor/1]
[service registry]
not_repeatable = POST /credentials
[domain east]
[pool tutors]
serves = tutor/1
[pool registry]
service = registry
"""
PLAN = """\
[kind streamed]
organisation = school
key = school
model = tutor
requests_per_second = 12
max_tokens = 8
session_share = 0.5
[kind plain]
organisation = school
key = school
model = tutor
stream = no
requests_per_second = 6
max_tokens = 8
[kind issue]
organisation = school
key = school
service = registry
method = POST
path = /credentials
once = yes
requests_per_second = 6
[kind limited]
organisation = limited
key = limited
model = tutor
requests_per_second = 6
max_tokens = 8
[kind stranger]
organisation = nobody
key = wrong
model = tutor
requests_per_second = 3
[phase all]
seconds = 2
"""
PLANS = [
    EndpointPlan(name="tutor-0", domain="east", pool="tutors"),
    EndpointPlan(name="registry-0", domain="east", pool="registry"),
]


async def run_system(text):
    system = System(plans=PLANS, tokens_per_second=200.0)
    try:
        await system.start(document=DOCUMENT)
        urls = [entry.url for entry in system.entries.values()]
        async with asyncio.timeout(60):
            report = await run_plan(parse_plan(text=text), entries=urls)
        service = system.endpoints["registry-0"].standin
        return report, dict(service.effects_by_key)
    finally:
        await system.stop()


def test_a_run_counts_what_callers_received():
    report, effects = asyncio.run(run_system(PLAN))
    rows = {row.kind: row for row in report.rows}
    for row in rows.values():
        results = (row.in_time, row.late, row.refused, row.broken, row.unknown)
        assert row.requests == sum(results) + row.not_sent > 0
    for name in ("streamed", "plain", "issue"):
        row = rows[name]
        assert (row.in_time, row.tries) == (row.requests, row.requests), row
        assert row.whole.count == row.requests
    streamed = rows["streamed"]
    assert streamed.first.count == streamed.requests
    assert streamed.gaps.count > 0
    assert streamed.versions == {"tutor/1": streamed.requests}
    assert list(effects.values()) == [1] * rows["issue"].requests
    limited = rows["limited"]
    assert limited.codes == {"rate": limited.refusals}
    # Each entry admits a burst of one; the next token comes 100 s later.
    assert 0 < limited.in_time <= 2
    # `Retry-After` exceeds their deadline, so they don't retry.
    assert limited.wait.p50 > 30_000
    assert limited.tries == limited.requests
    stranger = rows["stranger"]
    assert stranger.codes == {"wrong_key": stranger.requests}
    assert stranger.wait.count == 0
    assert sum(second.in_time for second in report.seconds) == sum(
        row.in_time for row in report.rows
    )


def test_arrivals_beyond_the_limit_are_not_sent():
    """Guards against requests that wait in the load generator itself.

    At its connection limit it must not queue them: the time in its queue
    would be measured as a delay of the entries.
    """
    text = f"{PLAN}[limits]\nmost_at_once = 1\nmost_requests = 30\n"
    report, _ = asyncio.run(run_system(text))
    assert report.totals.most_at_once == 1
    assert report.totals.arrivals == 30
    assert sum(row.not_sent for row in report.rows) > 0
    assert sum(row.requests for row in report.rows) == 30
