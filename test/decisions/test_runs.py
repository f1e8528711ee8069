"""Tests of which requests are suspects of an endpoint's crash."""

from eelgrassrack.decisions.runs import (
    ESTABLISHED_SECONDS,
    LINGER_SECONDS,
    SURVIVAL_SECONDS,
    RunHistory,
    Traits,
)

LIFETIME = 7


def begin(history, request, now=0.0):
    return history.begin(lifetime=LIFETIME, traits=Traits(request), now=now)


def end(history, run, now, *, is_whole=False, has_run=True):
    history.end(run, has_run=has_run, is_whole=is_whole, now=now)


def find(history, now, *, is_abrupt=False):
    return history.find_crash(lifetime=LIFETIME, now=now, is_abrupt=is_abrupt)


def test_all_that_runs_as_connections_break_is_suspected():
    history = RunHistory()
    lost, running = begin(history, 2), begin(history, 4, now=0.5)
    end(history, lost, 1.0)
    history.note_broken(lifetime=LIFETIME, now=1.0)
    crash = find(history, 1.1)
    assert (crash.at, crash.sent_at) == (1.0, {2: 0.0, 4: 0.5})
    end(history, running, 1.2)
    assert find(history, 1.3) is None


def test_an_answer_that_was_dropped_just_before_a_crash_is_suspected():
    """The gateway asks a better model, and the first engine crashes only then."""
    history = RunHistory()
    end(history, begin(history, 2), 1.0)
    assert find(history, 1.1, is_abrupt=True).sent_at == {2: 0.0}


def test_an_answer_that_came_whole_just_before_a_crash_is_suspected():
    history = RunHistory()
    end(history, begin(history, 2), 1.0, is_whole=True)
    begin(history, 4, now=1.05)
    history.note_broken(lifetime=LIFETIME, now=1.1)
    assert find(history, 1.2).sent_at.keys() == {2, 4}
    assert history.list_survivors(now=9.0) == []


def test_a_request_that_ended_long_before_or_did_not_run_is_not_suspected():
    history = RunHistory()
    end(history, begin(history, 2), 1.0)
    end(history, begin(history, 4), 2.0, has_run=False)
    assert find(history, 1.1 + LINGER_SECONDS, is_abrupt=True) is None


def test_an_endpoint_that_leaves_without_breaking_connections_has_not_crashed():
    history = RunHistory()
    begin(history, 2)
    assert find(history, 1.0) is None


def test_an_answer_clears_once_its_endpoint_has_outlived_it():
    history = RunHistory()
    run = begin(history, 2)
    end(history, run, 1.0, is_whole=True)
    assert history.list_survivors(now=0.9 + SURVIVAL_SECONDS) == []
    assert history.list_survivors(now=1.0 + SURVIVAL_SECONDS) == [run]
    assert history.list_survivors(now=9.0) == []


def test_an_answer_does_not_clear_while_its_endpoint_may_be_crashing():
    history = RunHistory()
    end(history, begin(history, 2), 1.0, is_whole=True)
    history.note_broken(lifetime=LIFETIME, now=0.95 + SURVIVAL_SECONDS)
    assert history.list_survivors(now=1.0 + SURVIVAL_SECONDS) == []


def test_a_stream_clears_once_its_events_have_come_for_a_while():
    history = RunHistory()
    run = begin(history, 2)
    assert not history.note_event(run, now=1.0)
    assert not history.note_event(run, now=0.9 + ESTABLISHED_SECONDS)
    assert history.note_event(run, now=1.0 + ESTABLISHED_SECONDS)
    assert not history.note_event(run, now=5.0)


def test_a_crash_told_by_a_peer_suspects_own_requests():
    history = RunHistory()
    begin(history, 2)
    assert not history.has_crashed(LIFETIME)
    assert history.collect(lifetime=LIFETIME, at=1.0).sent_at == {2: 0.0}
    assert history.has_crashed(LIFETIME)
    assert history.has_crashed(LIFETIME + 1)


def test_endpoints_that_are_gone_are_forgotten():
    history = RunHistory()
    end(history, begin(history, 2), 1.0)
    history.list_survivors(now=60.0)
    assert history.has_crashed(LIFETIME)
