"""The rate at which an entry takes connections while its event loop can't keep up."""

import random

import pytest

from eelgrassrack.decisions.acceptrate import (
    LONG_TURN_SECONDS,
    MIN_RATE,
    AcceptRate,
    have_room,
)

LONG = 2 * LONG_TURN_SECONDS
SHORT = LONG_TURN_SECONDS / 10


def play_turns(rate, seconds, *, turn, arrivals, now=0.0):
    """Let connections arrive evenly; return the time and the share that was taken."""
    taken = []
    until = now + seconds
    while now < until:
        now += turn
        count = max(round(arrivals * turn), 1)
        taken += [not rate.exceeds(now) for _ in range(count)]
        rate.note_turn(turn, now)
    return now, sum(taken) / len(taken)


def test_one_long_turn_leaves_no_connection_unread():
    """Guards against callers sent away by a process that was only paused."""
    rate = AcceptRate()
    now, _ = play_turns(rate, 1.0, turn=SHORT, arrivals=100)
    rate.note_turn(5.0, now + 5.0)
    _, share = play_turns(rate, 1.0, turn=SHORT, arrivals=100, now=now + 5.0)
    assert share == 1.0


def test_long_turns_leave_connections_unread_and_short_ones_end_that():
    """Guards against an entry that reads all, and one that refuses for good."""
    rate = AcceptRate()
    now, share = play_turns(rate, 3.0, turn=LONG, arrivals=100)
    assert share < 0.5
    assert rate.is_limited
    assert not rate.has_room
    now, _ = play_turns(rate, 10.0, turn=SHORT, arrivals=100, now=now)
    _, share = play_turns(rate, 1.0, turn=SHORT, arrivals=100, now=now)
    assert share == 1.0
    assert rate.has_room


def test_an_entry_that_can_t_keep_up_takes_some_connections_all_the_same():
    """Guards against an entry that says that it is ready and takes nobody."""
    rate = AcceptRate()
    now, _ = play_turns(rate, 10.0, turn=LONG, arrivals=100)
    _, share = play_turns(rate, 5.0, turn=LONG, arrivals=100, now=now)
    assert share * 100 == pytest.approx(MIN_RATE, rel=0.3)


def test_an_entry_without_load_is_no_longer_limited():
    """Guards against a limit that outlasts the load by which it came."""
    rate = AcceptRate()
    now, _ = play_turns(rate, 3.0, turn=LONG, arrivals=100)
    rate.note_turn(SHORT, now + 10.0)
    assert not rate.is_limited


def test_an_entry_whose_work_runs_late_tells_that_it_has_no_room():
    """Guards against callers sent to entries that are about to be full as well."""
    rate = AcceptRate()
    for _ in range(20):
        rate.note_late(LONG)
    assert not rate.has_room
    for _ in range(20):
        rate.note_late(0.0)
    assert rate.has_room


@pytest.mark.parametrize(
    ("rooms", "expected"),
    (
        ((), False),
        ((True,), True),
        ((False, False), False),
        ((True, False), True),
        ((True, False, False), False),
    ),
)
def test_others_have_room_if_half_of_them_do(rooms, expected):
    """Guards against callers who go round in vain when most entries are full."""
    assert have_room(rooms) is expected


@pytest.mark.parametrize("seed", range(5))
def test_what_an_entry_takes_settles_near_what_it_can_serve(seed):
    """Guards against a queue that grows, and against an entry that stands idle.

    A request costs a fixed time, and each turn lasts as long as the work taken in the
    turn before.
    """
    rng = random.Random(seed)
    rate = AcceptRate()
    cost = rng.uniform(0.005, 0.02)
    arrivals = 3.0 / cost
    now, backlog, taken, longest = 0.0, 0.0, 0, 0.0
    while now < 30.0:
        turn = max(backlog, 0.001)
        now += turn
        came = sum(rng.random() < arrivals * turn / 1_000 for _ in range(1_000))
        admitted = sum(not rate.exceeds(now) for _ in range(came))
        backlog = admitted * cost
        rate.note_turn(turn, now)
        taken += admitted
        if now > 5.0:
            longest = max(longest, turn)
    assert taken * cost / 30.0 > 0.4
    assert longest < 1.5
