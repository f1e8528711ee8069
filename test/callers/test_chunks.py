"""Tests of the decoder for bodies in chunks."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import HTTPInputError

from eelgrassrack.callers.chunks import ChunkDecoder

MOST = 1_000
NEXT = b"GET / HTTP/1.1\r\n"


def encode(pieces):
    chunks = [f"{len(piece):X}\r\n".encode() + piece + b"\r\n" for piece in pieces]
    return b"".join(chunks) + b"0\r\n\r\n"


def decode(parts, most=MOST):
    """Return the decoded body, whether it ended, and what followed it."""
    decoder = ChunkDecoder(most=most)
    body = b"".join([decoder.feed(part) for part in parts])
    return body, decoder.is_done, decoder.rest


@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=12),
    st.lists(st.integers(0, 600), max_size=8),
)
def test_a_body_is_the_same_however_it_is_cut(pieces, places):
    data = encode(pieces)
    edges = sorted({0, len(data), *(place % len(data) for place in places)})
    parts = [data[one:two] for one, two in zip(edges, edges[1:], strict=False)]
    parts[-1] += NEXT
    assert decode(parts) == (b"".join(pieces), True, NEXT)


@given(st.binary(max_size=60))
def test_an_unended_body_is_never_done(data):
    """A body must not look complete before its last chunk has come."""
    encoded = encode([data + b"x"])
    for end in range(len(encoded)):
        assert not decode([encoded[:end]])[1]


@pytest.mark.parametrize(
    "data",
    [
        b"\r\n",
        b"+1\r\nx\r\n",
        b"-1\r\nx\r\n",
        b"0x1\r\nx\r\n",
        b"1_0\r\n",
        b" 1\r\nx\r\n",
        b"1 \r\nx\r\n",
        b"1;name=value\r\nx\r\n",
        b"1\nx\n",
        b"1\r\nxy\r\n",
        b"1\r\nx\n0\r\n\r\n",
        b"0\r\nName: value\r\n\r\n",
        b"0" * 63,
        b"g\r\n",
    ],
)
def test_what_isnt_framed_strictly_is_refused(data):
    """Guards against a request inside another one that a laxer reader would find."""
    with pytest.raises(HTTPInputError):
        decode([data])
    with pytest.raises(HTTPInputError):
        decode([data[place : place + 1] for place in range(len(data))])


def test_a_body_that_is_too_large_is_refused():
    assert decode([encode([b"x" * MOST])])[1]
    with pytest.raises(HTTPInputError):
        decode([encode([b"x" * MOST, b"x"])])
