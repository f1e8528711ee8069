"""Tests of the detection of queries of death."""

from eelgrassrack.decisions.queryofdeath import (
    CULPRIT_CRASHES,
    MAX_REPORTED,
    Crash,
    QueryOfDeathDetector,
)


def crash(detector, fingerprint, endpoint, now, *, is_down=True):
    detector.note_loss(crash=Crash(fingerprint, endpoint, 1), now=now)
    if is_down:
        detector.note_down(endpoint=endpoint, born=1, now=now + 0.1)


def test_a_request_that_crashes_three_lifetimes_is_blocked():
    detector = QueryOfDeathDetector()
    for number in range(CULPRIT_CRASHES):
        assert not detector.is_culprit(fingerprint="bad", now=number)
        crash(detector, "bad", f"e{number}", float(number))
    assert detector.is_culprit(fingerprint="bad", now=4.0)
    assert not detector.is_culprit(fingerprint="good", now=4.0)


def test_lost_answers_alone_prove_nothing():
    """Endpoints lose answers for other reasons and stay up."""
    detector = QueryOfDeathDetector()
    for number in range(9):
        crash(detector, "good", f"e{number}", float(number), is_down=False)
    assert not detector.is_culprit(fingerprint="good", now=9.0)


def test_requests_beside_a_query_of_death_are_not_blocked():
    detector = QueryOfDeathDetector()
    for number in range(CULPRIT_CRASHES):
        detector.note_loss(crash=Crash(f"beside{number}", f"e{number}", 1), now=number)
        crash(detector, "bad", f"e{number}", float(number))
    assert not any(
        detector.is_culprit(fingerprint=f"beside{number}", now=4.0)
        for number in range(CULPRIT_CRASHES)
    )


def test_crashes_are_counted_across_entries_and_only_once():
    """The caller reaches another entry each time."""
    detector = QueryOfDeathDetector()
    crash(detector, "bad", "e0", 0.0)
    crashes = (Crash("bad", "e1", 1), Crash("bad", "e1", 1), Crash("bad", "e0", 1))
    detector.merge(crashes=crashes, now=1.0)
    assert not detector.is_culprit(fingerprint="bad", now=1.0)
    detector.merge(crashes=(Crash("bad", "e2", 1),), now=1.0)
    assert detector.is_culprit(fingerprint="bad", now=1.0)


def test_crashes_are_forgotten():
    detector = QueryOfDeathDetector()
    for number in range(CULPRIT_CRASHES):
        crash(detector, "bad", f"e{number}", 0.0)
    assert not detector.is_culprit(fingerprint="bad", now=200.0)


def test_a_large_crash_is_reported_briefly_and_in_part():
    """An endpoint crashes with hundreds of requests; updates must stay small."""
    detector = QueryOfDeathDetector()
    for number in range(500):
        detector.note_loss(crash=Crash(f"r{number}", "e0", 1), now=0.0)
    detector.note_down(endpoint="e0", born=1, now=0.1)
    assert len(detector.report(now=0.2)) == MAX_REPORTED
    assert not detector.report(now=2.0)
    detector.merge(crashes=(Crash("other", "e1", 1),), now=2.0)
    assert not detector.report(now=2.0)
