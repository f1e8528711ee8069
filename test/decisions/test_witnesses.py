"""The choice of witnesses for an endpoint that seems unreachable."""

from eelgrassrack.decisions.witnesses import Candidate, choose_witnesses


def make(name, domain, heard_at, **rest):
    return Candidate(name=name, domain=domain, heard_at=heard_at, **rest)


def test_the_latest_heard_of_two_domains_are_asked():
    candidates = [
        make("e1", "north", 1.0),
        make("e2", "north", 5.0),
        make("e3", "south", 2.0),
        make("e4", "north", 4.0),
    ]
    assert choose_witnesses(candidates, suspect="e9") == ["e2", "e3"]


def test_a_suspect_is_no_witness_of_itself():
    """Guards against an endpoint whose own silence speaks for it."""
    candidates = [make("e1", "north", 5.0), make("e2", "north", 1.0)]
    assert choose_witnesses(candidates, suspect="e1") == ["e2"]
    assert choose_witnesses(candidates[:1], suspect="e1") == []


def test_endpoints_that_lost_answers_are_asked_last():
    candidates = [
        make("e1", "north", 5.0, is_suspected=True),
        make("e2", "north", 1.0),
        make("e3", "north", 0.5),
    ]
    assert choose_witnesses(candidates, suspect="e9") == ["e2", "e3"]
