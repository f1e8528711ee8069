"""Tests of which answers count as complete."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassrack.agent.answers import JsonChatAnswer, PlainAnswer, StreamedAnswer
from eelgrassrack.agent.errors import AnswerError


def make_chunk(attempt="a", finish=None, text="x"):
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    return {"id": attempt, "choices": [choice]}


USAGE = {"id": "a", "choices": [], "usage": {"prompt_tokens": 2, "total_tokens": 9}}
WHOLE = [make_chunk(text='"finish_reason":"stop"'), make_chunk(finish="stop"), USAGE]


def write_stream(chunks, *, done=True, newline="\n"):
    events = [f"data: {json.dumps(chunk)}" for chunk in chunks]
    events += ["data: [DONE]"] if done else []
    text = "".join(event + 2 * newline for event in events)
    return f": comment{newline}{text}".encode()


def read_stream(data, cuts=()):
    pieces = []
    answer = StreamedAnswer(attempt="a", on_piece=pieces.append)
    places = [0, *sorted(cuts), len(data)]
    for begin, end in zip(places, places[1:], strict=False):
        answer.feed(data[begin:end])
    return pieces, answer.finish(())


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    cuts=st.lists(st.integers(min_value=0, max_value=200)),
    newline=st.sampled_from(["\n", "\r\n"]),
)
def test_a_stream_may_come_in_any_parts(cuts, newline):
    data = write_stream(WHOLE, newline=newline)
    pieces, usage = read_stream(data, [min(cut, len(data)) for cut in cuts])
    assert [json.loads(piece) for piece in pieces] == [
        chunk["choices"] for chunk in WHOLE[:2]
    ]
    assert usage == {"prompt_tokens": 2}


@settings(derandomize=True, deadline=None, max_examples=200)
@given(length=st.integers(min_value=0, max_value=len(write_stream(WHOLE)) - 3))
def test_no_beginning_of_a_stream_is_whole(length):
    """The engine's process ends in mid-stream and its socket closes neatly.

    The caller would read the half of a review that came as all of it.
    """
    with pytest.raises(AnswerError) as caught:
        read_stream(write_stream(WHOLE)[:length])
    assert caught.value.cut


@pytest.mark.parametrize(
    "chunks",
    [
        [make_chunk()],
        [make_chunk(attempt="b", finish="stop")],
        [{"error": {"message": "out of memory"}}],
        [],
    ],
)
def test_a_stream_that_ends_without_its_answer(chunks):
    with pytest.raises(AnswerError):
        read_stream(write_stream(chunks))


def test_nothing_follows_the_end():
    with pytest.raises(AnswerError):
        read_stream(write_stream(WHOLE) + write_stream([make_chunk()]))


@pytest.mark.parametrize(
    "body",
    [
        b"{",
        json.dumps(make_chunk(finish=None)).encode(),
        json.dumps(make_chunk(attempt="b", finish="stop")).encode(),
        json.dumps({**make_chunk(finish="stop"), "usage": {"prompt_tokens": "2"}}),
    ],
)
def test_a_body_that_is_no_whole_answer(body):
    answer = JsonChatAnswer(attempt="a", on_piece=[].append)
    answer.feed(body if isinstance(body, bytes) else body.encode())
    with pytest.raises(AnswerError):
        answer.finish(())


def test_a_body_without_a_length_may_be_cut():
    pieces = []
    answer = PlainAnswer(on_piece=pieces.append)
    answer.feed(b"part")
    with pytest.raises(AnswerError):
        answer.finish((("Content-Type", "text/plain"),))
    answer.finish((("content-length", "4"),))
    assert pieces == [b"part"]
