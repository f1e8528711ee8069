"""Lifetimes of endpoints."""

from eelgrassrack.decisions.lifetimes import MAX_LIFETIMES, Lifetimes


def test_a_lifetime_is_noted_and_the_next_one_isnt():
    lifetimes = Lifetimes()
    lifetimes.note(("e1", 1_000))
    assert ("e1", 1_000) in lifetimes
    assert ("e1", 2_000) not in lifetimes


def test_the_oldest_lifetimes_are_forgotten():
    """Guards against memory that grows with each endpoint that ever left."""
    lifetimes = Lifetimes()
    for number in range(MAX_LIFETIMES):
        lifetimes.note((f"e{number}", 1))
    lifetimes.note(("e0", 1))
    lifetimes.note(("new", 1))
    assert ("e0", 1) in lifetimes
    assert ("e1", 1) not in lifetimes
    assert ("new", 1) in lifetimes
