"""Tests of requests that crash endpoints."""

from eelgrassrack.decisions.queryofdeath import (
    MOST_CRASHES,
    MOST_TOLD,
    Crash,
    QueryOfDeathDetector,
)


def crash(poison, fingerprint, endpoint, now, *, is_down=True):
    poison.note_loss(crash=Crash(fingerprint, endpoint, 1), now=now)
    if is_down:
        poison.note_down(endpoint=endpoint, born=1, now=now + 0.1)


def test_what_crashes_three_lifetimes_is_kept_back():
    poison = QueryOfDeathDetector()
    for number in range(MOST_CRASHES):
        assert not poison.is_culprit(fingerprint="bad", now=number)
        crash(poison, "bad", f"e{number}", float(number))
    assert poison.is_culprit(fingerprint="bad", now=4.0)
    assert not poison.is_culprit(fingerprint="good", now=4.0)


def test_lost_answers_alone_make_nobody_guilty():
    """Endpoints lose answers for other reasons and stay up."""
    poison = QueryOfDeathDetector()
    for number in range(9):
        crash(poison, "good", f"e{number}", float(number), is_down=False)
    assert not poison.is_culprit(fingerprint="good", now=9.0)


def test_the_innocent_beside_the_guilty_are_spared():
    poison = QueryOfDeathDetector()
    for number in range(MOST_CRASHES):
        poison.note_loss(crash=Crash(f"beside{number}", f"e{number}", 1), now=number)
        crash(poison, "bad", f"e{number}", float(number))
    assert not any(
        poison.is_culprit(fingerprint=f"beside{number}", now=4.0)
        for number in range(MOST_CRASHES)
    )


def test_entries_count_together_and_a_crash_once():
    """The caller comes to another entry each time."""
    poison = QueryOfDeathDetector()
    crash(poison, "bad", "e0", 0.0)
    told = (Crash("bad", "e1", 1), Crash("bad", "e1", 1), Crash("bad", "e0", 1))
    poison.merge(crashes=told, now=1.0)
    assert not poison.is_culprit(fingerprint="bad", now=1.0)
    poison.merge(crashes=(Crash("bad", "e2", 1),), now=1.0)
    assert poison.is_culprit(fingerprint="bad", now=1.0)


def test_crashes_are_forgotten():
    poison = QueryOfDeathDetector()
    for number in range(MOST_CRASHES):
        crash(poison, "bad", f"e{number}", 0.0)
    assert not poison.is_culprit(fingerprint="bad", now=200.0)


def test_a_crash_of_many_is_told_for_a_moment_and_not_whole():
    """An endpoint crashes with hundreds of requests; the news must stay short."""
    poison = QueryOfDeathDetector()
    for number in range(500):
        poison.note_loss(crash=Crash(f"r{number}", "e0", 1), now=0.0)
    poison.note_down(endpoint="e0", born=1, now=0.1)
    assert len(poison.report(now=0.2)) == MOST_TOLD
    assert not poison.report(now=2.0)
    poison.merge(crashes=(Crash("other", "e1", 1),), now=2.0)
    assert not poison.report(now=2.0)
