"""Endpoints that said that they leave."""

from eelgrassrack.decisions.leaving import MAX_LIFETIMES, LeavingEndpoints


def test_a_lifetime_leaves_and_the_next_one_doesnt():
    leaving = LeavingEndpoints()
    leaving.note(("e1", 1_000))
    assert ("e1", 1_000) in leaving
    assert ("e1", 2_000) not in leaving


def test_the_oldest_lifetimes_are_forgotten():
    """Guards against memory that grows with each endpoint that ever left."""
    leaving = LeavingEndpoints()
    for number in range(MAX_LIFETIMES):
        leaving.note((f"e{number}", 1))
    leaving.note(("e0", 1))
    leaving.note(("new", 1))
    assert ("e0", 1) in leaving
    assert ("e1", 1) not in leaving
    assert ("new", 1) in leaving
