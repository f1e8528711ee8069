"""The soak of real gateway processes: its checks, and a short seeded run."""

import pytest

from bench.gatewaysoak import draining
from bench.gatewaysoak.answers import Answers
from bench.gatewaysoak.callers import Told
from bench.gatewaysoak.draining import DRAIN_SECONDS, SLACK_SECONDS, Leavers
from bench.gatewaysoak.failed import PRODUCT
from bench.gatewaysoak.gateways import Blow, Life
from bench.gatewaysoak.play import play
from eelgrassrack.gateway.daemon import ROTATION_SECONDS

BOUND = DRAIN_SECONDS + SLACK_SECONDS


class Clock:
    """A steady clock that a test sets."""

    now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(draining, "time", clock)
    return clock


# The others that `bench.gatewaysoak --failed` plays take longer than CI has.
SEEDS = [1, 3, 6, 114]


@pytest.mark.processes
@pytest.mark.parametrize("seed", [7, *SEEDS])
def test_the_promises_hold_under_series_of_faults(seed):
    """Gateways are killed, stopped and paused; links and the store misbehave."""
    assert {*SEEDS} <= {*PRODUCT}
    verdict = play(seed, 6.0)
    assert not verdict.faults
    assert verdict.served > 50
    assert sum(verdict.hits.values()) > 5


class Gate:
    """A gate that read some attempts."""

    listen = "127.0.0.1:1"

    def __init__(self, *lives, read=(), started=(91.0,)):
        self.lives = lives
        self._read = set(read)
        self._started = list(started)

    def find_life(self, at):
        return self.lives[-1]

    def list_read(self):
        return self._read

    def list_started(self):
        return self._started


def make_told(**changes):
    usual = {
        "attempt": "a1",
        "path": "/chat/1",
        "gate": Gate.listen,
        "is_kept": False,
        "patience_ms": 4_000,
        "connected_at": 103.9,
        "sent_at": 104.0,
        "ended_at": 105.0,
        "status": 0,
        "is_whole": False,
        "has_part": False,
    }
    return Told(**usual | changes)


def judge(told, *blows, read=("a1",), broken=(), resets=(), started=(91.0,)):
    """Return what is wrong with an answer of a gate that was told to stop at 100."""
    life = Life(began=90.0, told_at=100.0, blows=list(blows))
    gate = Gate(life, read=read, started=started)
    answers = Answers(told=[told], gates=[gate], broken=dict(broken), resets=resets)
    return answers.list_faults()


def test_the_soak_notices_a_request_without_an_answer():
    assert judge(make_told())
    assert judge(make_told(sent_at=95.0))
    assert judge(make_told(sent_at=101.0), read=())
    assert not judge(make_told(status=503, is_whole=True))


def test_the_soak_notices_a_late_request_that_nobody_read():
    """Its connection was closed without a word, and it can't know that."""
    assert judge(make_told(), read=())


def test_only_a_caller_that_gave_up_before_the_start_may_go_without_an_answer():
    given_up = make_told(sent_at=92.0, ended_at=104.0, gave_up=True)
    assert judge(given_up)
    assert judge(given_up, started=[103.9])
    assert judge(given_up, started=[89.0, 103.9])
    assert not judge(given_up, started=[89.0, 104.1])
    assert judge(make_told(sent_at=92.0, ended_at=104.0), started=[104.1])


def test_the_soak_notices_a_late_answer_that_is_cut():
    cut = make_told(status=200, has_part=True)
    assert judge(cut)
    assert not judge(make_told(status=200, has_part=True, sent_at=102.9))
    # It had all the time that its caller gave it.
    assert not judge(make_told(status=200, has_part=True, ended_at=108.0))
    # Its endpoint broke off, just then or long before.
    assert not judge(cut, broken=[("a1", 104.9)])
    assert judge(cut, broken=[("a1", 104.1)])
    assert not judge(cut, resets=[104.9])
    assert judge(cut, resets=[104.1])


def test_a_stop_has_to_tell_callers_on_idle_and_on_new_connections():
    soon = 100.0 + ROTATION_SECONDS
    assert judge(make_told(sent_at=soon, is_kept=True), read=())
    assert judge(make_told(sent_at=soon, is_kept=True))
    assert judge(make_told(sent_at=soon, connected_at=soon - 0.1), read=())
    assert judge(make_told(sent_at=soon, connected_at=soon - 0.5), read=())
    assert judge(make_told(sent_at=soon - 0.1, is_kept=True), read=())
    assert not judge(make_told(sent_at=soon, status=408, is_whole=True), read=())


def test_only_an_unplanned_blow_at_the_time_excuses_a_gate():
    assert not judge(make_told(), Blow(began=104.5, ended=104.6))
    assert judge(make_told(), Blow(began=103.0, ended=103.9))


def test_the_soak_notices_a_gate_that_goes_on_beyond_its_grace():
    life = Life(began=90.0, told_at=100.0, is_overdue=True)
    assert Answers(told=[], gates=[Gate(life)], broken={}).list_faults()


def test_the_soak_notices_work_for_an_endpoint_that_left(clock):
    """A gateway that missed the news would go on sending there."""
    left = Leavers()
    left.note_left("p1")
    soon, late = 100.0 + BOUND - 0.1, 100.0 + BOUND + 0.1
    assert not left.list_late({"p1": [99.0, soon], "p2": [late]})
    assert left.list_late({"p1": [99.0, soon, late]})


def test_an_outage_gives_gateways_their_time_anew(clock):
    left = Leavers()
    left.note_left("p1")
    clock.now = 101.0
    outage = left.begin_outage()
    assert not left.list_late({"p1": [120.0]})
    outage.ended = 110.0
    assert not left.list_late({"p1": [110.0 + BOUND - 0.1]})
    assert left.list_late({"p1": [110.0 + BOUND + 0.1]})
