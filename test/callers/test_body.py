"""Tests of the owner of a request's body."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrassrack.bodysize import IncompleteBodyError
from eelgrassrack.callers.body import RequestBody

PARTS = st.lists(st.binary(max_size=5), max_size=5)


@given(parts=PARTS)
def test_a_body_that_was_read_to_its_end_is_taken_once(parts):
    body = RequestBody()
    for part in parts:
        body.add(part)
    body.end(len(b"".join(parts)))
    assert body.take() == b"".join(parts)
    with pytest.raises(IncompleteBodyError):
        body.take()


@given(parts=PARTS, place=st.integers(0, 5))
def test_a_body_of_which_a_part_was_dropped_cant_be_taken(parts, place):
    """Guards against the rest of a body that passes for the whole."""
    body = RequestBody()
    for number, part in enumerate(parts):
        if number == place:
            body.drop()
        body.add(part)
    if place >= len(parts):
        body.drop()
    body.end(len(b"".join(parts)))
    with pytest.raises(IncompleteBodyError):
        body.take()


@given(parts=PARTS, missing=st.integers(1, 3))
def test_a_body_with_fewer_bytes_than_were_decoded_cant_be_taken(parts, missing):
    """Guards against a part that was decoded and never kept."""
    body = RequestBody()
    for part in parts:
        body.add(part)
    body.end(len(b"".join(parts)) + missing)
    with pytest.raises(IncompleteBodyError):
        body.take()


def test_a_body_that_has_not_ended_cant_be_taken():
    """Guards against a request that runs before it was read to its end."""
    body = RequestBody()
    body.add(b"part")
    with pytest.raises(IncompleteBodyError):
        body.take()


def test_the_next_request_begins_with_an_empty_body():
    """Guards against a body that goes on with that of the request before."""
    body = RequestBody()
    body.add(b"one")
    body.drop()
    body.begin()
    body.add(b"two")
    body.end(3)
    assert body.take() == b"two"
