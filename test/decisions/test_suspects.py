"""Tests of the endpoints that get unrepeatable requests."""

from eelgrassrack.decisions.suspects import avoid_suspected


def avoid(endpoints, *suspected, is_repeatable=False):
    return avoid_suspected(
        endpoints,
        is_suspected=lambda one: one in suspected,
        is_repeatable=is_repeatable,
    )


def test_unrepeatable_requests_avoid_an_endpoint_that_loses_answers():
    """One endpoint of three resets its connections although it looks healthy."""
    assert avoid("abc", "b") == ["a", "c"]


def test_repeatable_requests_find_out_whether_it_has_recovered():
    assert avoid("abc", "b", is_repeatable=True) == ["a", "b", "c"]


def test_with_all_suspected_none_is_left_out():
    """All connections of an entry were reset, so no endpoint is worse than another."""
    assert avoid("abc", *"abc") == ["a", "b", "c"]


def test_without_endpoints_there_are_none():
    assert avoid("") == []
