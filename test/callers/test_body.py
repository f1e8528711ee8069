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


@given(parts=PARTS, place=st.integers(0, 6))
def test_a_body_of_which_a_part_was_dropped_cant_be_taken(parts, place):
    """Guards against the rest of a body that passes for the whole."""
    body = RequestBody()
    size = len(b"".join(parts))
    steps = [lambda part=part: body.add(part) for part in parts]
    steps.append(lambda: body.end(size))
    steps.insert(place, body.drop)
    for step in steps:
        step()
    with pytest.raises(IncompleteBodyError):
        body.take()


def test_a_body_to_which_a_part_came_after_its_end_cant_be_taken():
    """Guards against bytes of a next request that pass for a part of this one."""
    body = RequestBody()
    body.add(b"one")
    body.end(3)
    body.add(b"two")
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
