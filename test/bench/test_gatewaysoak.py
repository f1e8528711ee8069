"""Tests of the gateway soak: short runs of some seeds, and its checks."""

import pytest

from bench.bodies import Difference
from bench.gatewaysoak import draining
from bench.gatewaysoak.answers import AnswerCheck
from bench.gatewaysoak.callers import RequestResult
from bench.gatewaysoak.draining import DRAIN_SECONDS, SLACK_SECONDS, DrainTracker
from bench.gatewaysoak.failed import PRODUCT_FAULTS
from bench.gatewaysoak.gateways import (
    Disruption,
    GatewayProcess,
    ProcessLifetime,
)
from bench.gatewaysoak.play import play
from bench.gatewaysoak.requests import METHOD
from bench.gatewaysoak.runs import RunCheck
from bench.leaving import Leaving
from eelgrassrack.gateway.gracefulstop import ROTATION_SECONDS
from eelgrassrack.standins.directengine import RunRecord

BOUND = DRAIN_SECONDS + SLACK_SECONDS


class Clock:
    """A monotonic clock that a test sets."""

    now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(draining, "time", clock)
    return clock


# Some of the seeds that `bench.gatewaysoak --failed` plays; all of them take too long
# for CI.
SEEDS = [1, 3, 6, 114, 403]


@pytest.mark.processes
@pytest.mark.parametrize("seed", [7, *SEEDS])
def test_the_promises_hold_under_series_of_faults(seed):
    """Gateways are killed, stopped and paused; links and the store misbehave."""
    assert {*SEEDS} <= {*PRODUCT_FAULTS}
    verdict = play(seed, 6.0)
    assert not verdict.faults
    assert verdict.served > 50
    assert sum(verdict.fault_counts.values()) > 5


@pytest.mark.processes
def test_the_promises_hold_beside_endpoints_that_send_without_end():
    """One broken endpoint takes a gateway with all that it serves."""
    verdict = play(11, 6.0, endless=True)
    assert not verdict.faults
    assert verdict.served > 50
    assert verdict.fault_counts["endless"]


class FakeGateway:
    """A gateway with given lifetimes, read attempts and start times."""

    listen = "127.0.0.1:1"

    def __init__(self, *lifetimes, read=(), started=(91.0,)):
        self.lifetimes = lifetimes
        self._read = set(read)
        self._started = list(started)

    def find_lifetime(self, at):
        return self.lifetimes[-1]

    def list_read_attempts(self):
        return self._read

    def list_start_times(self):
        return self._started


def make_result(**changes):
    usual = {
        "attempt": "a1",
        "path": "/chat/1",
        "gateway": FakeGateway.listen,
        "is_reused": False,
        "timeout_ms": 4_000,
        "connected_at": 103.9,
        "sent_at": 104.0,
        "ended_at": 105.0,
        "status": 0,
        "is_whole": False,
        "has_partial_answer": False,
    }
    return RequestResult(**usual | changes)


def judge(result, *disruptions, read=("a1",), broken=(), resets=(), started=(91.0,)):
    """Return the faults of an answer from a gateway that got SIGTERM at 100 s."""
    lifetime = ProcessLifetime(
        began=90.0, sigterm_at=100.0, disruptions=list(disruptions)
    )
    gateway = FakeGateway(lifetime, read=read, started=started)
    check = AnswerCheck(
        results=[result], gateways=[gateway], broken=dict(broken), resets=resets
    )
    return check.list_faults()


def test_the_soak_notices_a_request_without_an_answer():
    assert judge(make_result())
    assert judge(make_result(sent_at=95.0))
    assert judge(make_result(sent_at=101.0), read=())
    assert not judge(make_result(status=503, is_whole=True))


def test_the_soak_notices_a_late_request_that_was_not_read():
    """The gateway closed the connection without an answer.

    The caller can't know that its request wasn't read.
    """
    assert judge(make_result(), read=())


def test_only_a_caller_that_gave_up_before_the_start_may_go_without_an_answer():
    given_up = make_result(sent_at=92.0, ended_at=104.0, gave_up=True)
    assert judge(given_up)
    assert judge(given_up, started=[103.9])
    assert judge(given_up, started=[89.0, 103.9])
    assert not judge(given_up, started=[89.0, 104.1])
    assert judge(make_result(sent_at=92.0, ended_at=104.0), started=[104.1])


def test_the_soak_notices_a_late_answer_that_is_cut():
    cut = make_result(status=200, has_partial_answer=True)
    assert judge(cut)
    assert not judge(make_result(status=200, has_partial_answer=True, sent_at=102.9))
    # It lasted for its whole timeout.
    assert not judge(make_result(status=200, has_partial_answer=True, ended_at=108.0))
    # Its endpoint or link broke off, just before the end or long before.
    assert not judge(cut, broken=[("a1", 104.9)])
    assert judge(cut, broken=[("a1", 104.1)])
    assert not judge(cut, resets=[104.9])
    assert judge(cut, resets=[104.1])


def test_a_stop_must_answer_on_idle_and_on_new_connections():
    soon = 100.0 + ROTATION_SECONDS
    assert judge(make_result(sent_at=soon, is_reused=True), read=())
    assert judge(make_result(sent_at=soon, is_reused=True))
    assert judge(make_result(sent_at=soon, connected_at=soon - 0.1), read=())
    assert judge(make_result(sent_at=soon, connected_at=soon - 0.5), read=())
    assert judge(make_result(sent_at=soon - 0.1, is_reused=True), read=())
    assert not judge(make_result(sent_at=soon, status=408, is_whole=True), read=())


def test_only_a_disruption_at_the_time_excuses_a_gateway():
    assert not judge(make_result(), Disruption(began=104.5, ended=104.6))
    assert judge(make_result(), Disruption(began=103.0, ended=103.9))


def test_the_soak_notices_a_gateway_that_exceeds_its_grace():
    lifetime = ProcessLifetime(began=90.0, sigterm_at=100.0, exceeded_grace=True)
    assert AnswerCheck(
        results=[], gateways=[FakeGateway(lifetime)], broken={}
    ).list_faults()


def test_the_soak_notices_requests_to_a_drained_endpoint(clock):
    """A gateway that missed the change would keep sending requests to it."""
    drains = DrainTracker()
    drains.note_draining("p1")
    soon, late = 100.0 + BOUND - 0.1, 100.0 + BOUND + 0.1
    assert not drains.list_late({"p1": [99.0, soon], "p2": [late]})
    assert drains.list_late({"p1": [99.0, soon, late]})


def test_the_drain_bound_starts_again_after_an_outage(clock):
    drains = DrainTracker()
    drains.note_draining("p1")
    clock.now = 101.0
    outage = drains.begin_outage()
    assert not drains.list_late({"p1": [120.0]})
    outage.ended = 110.0
    assert not drains.list_late({"p1": [110.0 + BOUND - 0.1]})
    assert drains.list_late({"p1": [110.0 + BOUND + 0.1]})


def test_a_stop_of_an_earlier_process_doesnt_excuse_a_late_one(tmp_path):
    """All processes of a gateway write to one log."""
    gateway = GatewayProcess(number=1, news_port=1, store="", folder=str(tmp_path))
    log = tmp_path / "entry-1.log"
    log.write_text("gateway: stopping, 0 open\ngateway: stopped, 0 cut\n")
    began = ProcessLifetime(began=0.0, log_begin=log.stat().st_size)
    gateway.lifetimes.append(began)
    assert not gateway._has_logged_stop()
    with log.open("a") as lines:
        lines.write("gateway: stopping, 0 open\ngateway: stopped, 0 cut\n")
    assert gateway._has_logged_stop()


def check_runs(
    result, *, attempt="a1", method=METHOD, target="/chat/1", differences=()
):
    """Return the faults of one run at an endpoint."""
    run = RunRecord(
        attempt=attempt,
        model="",
        method=method,
        target=target,
        headers={},
        body=b"",
        at=104.5,
    )
    check = RunCheck(results=[result], runs=[run], differences=[*differences])
    return [*check.list_faults()]


def test_the_soak_notices_runs_of_what_nobody_sent():
    """Guards against a soak that doesn't compare what ran with what was sent."""
    left = make_result(leaving=Leaving.CLOSE)
    assert not check_runs(left)
    assert check_runs(left, attempt="a2")
    assert check_runs(left, method="GET")
    assert check_runs(left, target="/chat/2")
    assert check_runs(make_result(leaving=Leaving.CLOSE, is_cut=True))
    assert not check_runs(make_result(is_behind=True))
    assert check_runs(make_result(is_behind=True, must_not_run=True))
    shortened = Difference(request="a1", endpoint="m0", size=0, is_prefix=True)
    assert check_runs(left, differences=[shortened])


def test_only_callers_that_stay_need_an_answer():
    """Guards against counting callers that left, and against leaving out others."""
    assert judge(make_result())
    assert not judge(make_result(leaving=Leaving.HALF_CLOSE))
    assert not judge(make_result(is_behind=True))
