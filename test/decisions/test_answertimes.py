"""Tests of how much longer an answer took than its size lets expect."""

import math

import pytest

from eelgrassrack.decisions.answertimes import (
    MAX_SLOWNESS,
    AnswerTimes,
    PiecePace,
    find_slowness,
    find_unfinished_slowness,
)

PIECE = 0.1


def make_times(*, first=0.5, gap=PIECE, pieces=10, expected=0.5):
    times = AnswerTimes(sent_at=100.0, expected=expected)
    for number in range(pieces):
        times.note_pieces(1, now=100.0 + first + gap * number)
    return times


def measure(times, *, now=200.0):
    return find_slowness(times, piece_seconds=PIECE, now=now)


def measure_unfinished(times, *, seconds):
    return find_unfinished_slowness(times, piece_seconds=PIECE, now=100.0 + seconds)


@pytest.mark.parametrize("pieces", [3, 30, 300])
def test_an_answer_of_the_usual_pace_isnt_slow_at_any_length(pieces):
    found = measure(make_times(pieces=pieces))
    assert found.whole == pytest.approx(0.0, abs=1e-6)
    assert found.pace == pytest.approx(0.0, abs=1e-6)


def test_a_late_first_piece_shows():
    found = measure(make_times(first=2.0))
    assert found.first == pytest.approx(math.log(4.0))
    assert found.pace == pytest.approx(0.0, abs=1e-6)


def test_a_slow_pace_shows_though_the_first_piece_is_in_time():
    found = measure(make_times(gap=0.4, pieces=50))
    assert found.first == pytest.approx(0.0, abs=1e-6)
    assert found.pace == pytest.approx(math.log(4.0))
    assert found.whole > 1.2


def test_an_answer_in_one_piece_is_measured_by_its_end():
    found = measure(make_times(pieces=0, expected=0.5), now=102.0)
    assert found.whole == found.first == pytest.approx(math.log(4.0))


def test_an_answer_that_doesnt_begin_shows_while_it_is_awaited():
    """An endpoint accepts requests and never answers."""
    times = make_times(pieces=0)
    assert measure_unfinished(times, seconds=0.6).whole is None
    assert measure_unfinished(times, seconds=2.0).whole > 1.3
    assert measure_unfinished(times, seconds=1e6).whole == MAX_SLOWNESS


def test_an_answer_that_stops_in_the_middle_shows_while_it_is_awaited():
    times = make_times(pieces=5)
    usual = measure_unfinished(times, seconds=1.0)
    assert usual.whole == pytest.approx(0.0, abs=1e-6)
    assert not usual.is_overdue
    found = measure_unfinished(times, seconds=10.0)
    assert found.is_overdue
    assert found.pace > 2.0
    assert found.first == pytest.approx(0.0, abs=1e-6)


def test_the_usual_pace_is_learned_by_model():
    pace = PiecePace()
    for _ in range(100):
        pace.note("small", make_times(gap=0.02))
        pace.note("large", make_times(gap=0.3))
    assert pace.find("small") == pytest.approx(0.02)
    assert pace.find("large") == pytest.approx(0.3)
    pace.note("small", make_times(gap=5.0, pieces=2))
    assert pace.find("small") == pytest.approx(0.02)
