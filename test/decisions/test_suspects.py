"""Tests of where requests go that may not be repeated."""

from eelgrassrack.decisions.suspects import avoid_suspected


def avoid(endpoints, *doubted, is_repeatable=False):
    return avoid_suspected(
        endpoints,
        is_suspected=lambda one: one in doubted,
        is_repeatable=is_repeatable,
    )


def test_what_may_not_be_repeated_avoids_an_endpoint_that_loses_answers():
    """One endpoint of three resets its connections though it looks sound."""
    assert avoid("abc", "b") == ["a", "c"]


def test_repeatable_requests_find_out_whether_it_got_sound():
    assert avoid("abc", "b", is_repeatable=True) == ["a", "b", "c"]


def test_with_all_doubted_none_is_left_out():
    """All connections of an entry were reset: no endpoint is worse than others."""
    assert avoid("abc", *"abc") == ["a", "b", "c"]


def test_without_endpoints_there_are_none():
    assert avoid("") == []
