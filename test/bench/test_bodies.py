"""Tests of the bodies that soaks send, and of how their callers leave."""

import random

from bench.bodies import MAX_BODY_BYTES, BodyCheck, make_body
from bench.leaving import draw_cut, draw_parts

BODIES = [make_body(f"a{number}") for number in range(200)]


def test_a_body_follows_from_its_request():
    """Guards against comparing with a body that wasn't sent."""
    assert make_body("a1") == make_body("a1")
    assert len({body.content for body in BODIES if len(body.content) > 8}) > 150
    sizes = [len(body.content) for body in BODIES]
    assert min(sizes) == 0
    assert MAX_BODY_BYTES / 2 < max(sizes) <= MAX_BODY_BYTES


def test_both_framings_hold_the_whole_body():
    """Guards against a soak that sends too little itself."""
    chunked = [body for body in BODIES if body.chunk_bytes]
    assert 50 < len(chunked) < 150
    for body in BODIES:
        if not body.chunk_bytes:
            assert body.frame() == body.content
            assert body.header == f"Content-Length: {len(body.content)}"
    for body in chunked:
        assert _decode(body.frame()) == body.content


def _decode(framed):
    """Return the content of chunks."""
    content = b""
    while True:
        line, _, framed = framed.partition(b"\r\n")
        size = int(line, 16)
        content += framed[:size]
        assert framed[size : size + 2] == b"\r\n"
        framed = framed[size + 2 :]
        if not size:
            assert not framed
            return content


def test_a_body_that_differs_is_noticed():
    """Guards against a soak that takes an empty or shortened body for the right one."""
    check = BodyCheck()
    sent = BODIES[3].content
    check.note(request="a3", endpoint="p0", content=sent)
    assert sent
    assert not check.differences
    for content, is_prefix in ((sent[:-1], True), (b"", True), (sent + b"x", False)):
        check.note(request="a3", endpoint="p0", content=content)
        assert check.differences[-1].is_prefix is is_prefix
        assert check.differences[-1].size == len(content)


def test_callers_leave_after_the_last_byte_and_before_it():
    """Guards against a soak whose callers always leave at the same byte."""
    rng = random.Random(1)
    cuts = [draw_cut(rng, 1_000) for _ in range(500)]
    assert cuts.count(1_000) > 200
    assert sum(992 <= cut < 1_000 for cut in cuts) > 50
    assert sum(cut < 992 for cut in cuts) > 50
    assert min(cuts) >= 0
    assert b"".join(draw_parts(rng, b"x" * 1_000)) == b"x" * 1_000
