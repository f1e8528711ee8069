"""Tests of answers of the platform that can't be read."""

import asyncio
import math

import pytest

from eelgrassrack.document.snapshot import Snapshot
from eelgrassrack.store.http import Answer, HttpCaller, NoAnswer
from eelgrassrack.store.objects import Unavailable
from eelgrassrack.store.platform import NotRated, read_rating
from eelgrassrack.store.records import decode_record
from eelgrassrack.store.replies import make_unavailable, read_names, read_version

from ..oddanswers import ODD_ANSWERS, SOUND_ANSWERS, serve_bytes

DEEP = b"[" * 5_000 + b"]" * 5_000

# An array of one element in MessagePack, around another, and so on.
DEEP_PACKED = b"\x91" * 5_000 + b"\xc0"


async def fetch(answer):
    async with serve_bytes(answer) as address:
        caller = HttpCaller(url=f"http://{address}", max_clients=2)
        try:
            return await caller.fetch(path="/x", timeout=5.0)
        finally:
            caller.close()


@pytest.mark.parametrize("odd", ODD_ANSWERS)
def test_an_odd_answer_is_none(odd):
    """What isn't an answer of the platform would count as its word."""
    assert isinstance(asyncio.run(fetch(ODD_ANSWERS[odd])), NoAnswer)


@pytest.mark.parametrize("sound", SOUND_ANSWERS)
def test_a_sound_answer_is_taken(sound):
    found = asyncio.run(fetch(SOUND_ANSWERS[sound]))
    assert isinstance(found, Answer)
    assert (found.status, found.body) == (200, b"done")


@pytest.mark.parametrize("body", (DEEP, b"[%s]" % DEEP, b'["\xff"]', b"9" * 5_000))
def test_names_that_cant_be_read_leave_the_store_unavailable(body):
    """The sweeper's task would end with the exception, and then the process."""
    assert isinstance(read_names(body), Unavailable)


@pytest.mark.parametrize(
    "body", (DEEP, b'{"score":%s}' % DEEP, b'{"score":%s}' % (b"9" * 400))
)
def test_a_rating_that_cant_be_read_is_none(body):
    assert isinstance(read_rating(body), NotRated)


@pytest.mark.parametrize("body", (DEEP_PACKED, b"", b"\xc1", b"\xa1\xff"))
def test_a_record_that_cant_be_read_is_none(body):
    """The process that reads it would end."""
    assert decode_record(body, Snapshot) is None


@pytest.mark.parametrize(
    "text", ("9" * 5_000, "\u0663", "\u00b2", "-1", "", "1.0", "1\n")
)
def test_a_version_that_is_no_number_is_none(text):
    answer = Answer(status=200, headers={"etag": f'"{text}"'}, body=b"")
    assert read_version(answer) is None


@pytest.mark.parametrize("text", ("inf", "nan", "1e999", "-1", "9" * 400, "odd"))
def test_a_time_to_come_back_that_is_out_of_range_is_ignored(text):
    """A daemon would never call the store again."""
    found = make_unavailable(
        Answer(status=503, headers={"retry-after": text}, body=b"")
    )
    assert math.isfinite(found.retry_after) and 0.0 <= found.retry_after < 10.0
