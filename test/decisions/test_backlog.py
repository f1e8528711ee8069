"""Tests of what waits before a request at an engine."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrassrack.decisions.backlog import UNDER_WAY_SECONDS, ReadingBacklog
from eelgrassrack.decisions.modelchoice import Estimate, choose_next
from eelgrassrack.decisions.urgency import LEAST_URGENT

MODELS = ("small", "middle", "large")

parts = st.lists(
    st.tuples(st.integers(0, LEAST_URGENT), st.floats(0.001, 5.0)),
    min_size=0,
    max_size=30,
)


def ask_better(*, backlog, urgency, reading):
    """Return the model that is asked after a poor answer of the smallest."""
    wait = backlog.split(urgency).wait
    return choose_next(
        models=MODELS,
        model="small",
        confidence=20,
        objective=1.0,
        remaining=14.0,
        estimate=lambda _: Estimate(wait + reading, wait, wait + reading + 1.0),
    )


def test_an_urgent_question_gets_the_best_model_before_a_queue_of_long_prompts():
    """A third of the engines is left, each with seconds of long prompts to read.

    Taken for its own wait, that queue would leave callers of short questions
    with the smallest model's answer, which half of the time is worth nothing.
    """
    backlog = ReadingBacklog([(5, 0.2)] * 15)
    assert backlog.whole == pytest.approx(3.0)
    assert ask_better(backlog=backlog, urgency=0, reading=0.015) == "large"


def test_what_is_less_urgent_gives_way():
    """Under the same load a check of the lowest rank takes what it has."""
    backlog = ReadingBacklog([(5, 0.2)] * 15)
    assert ask_better(backlog=backlog, urgency=7, reading=0.05) is None


def test_a_queue_of_the_same_rank_counts():
    """Questions alone overload the engines: better models would make all late."""
    backlog = ReadingBacklog([(0, 0.015)] * 60)
    assert ask_better(backlog=backlog, urgency=0, reading=0.015) is None


def test_a_prompt_under_way_is_waited_for():
    backlog = ReadingBacklog([(LEAST_URGENT, 3.0)])
    assert backlog.split(0).wait == pytest.approx(UNDER_WAY_SECONDS)
    assert backlog.split(0).burden > 0.0


def test_what_ended_leaves_nothing_to_tell():
    """Rounding of thousands of requests must not add up to work for peers."""
    backlog = ReadingBacklog()
    for number in range(5_000):
        backlog.add(3, 0.1 / (number + 1))
    for number in range(5_000):
        backlog.add(3, -0.1 / (number + 1))
    assert backlog.list_parts() == []


@given(parts, st.integers(0, LEAST_URGENT))
def test_all_is_either_ahead_or_behind(added, urgency):
    backlog = ReadingBacklog(added)
    split = backlog.split(urgency)
    ahead = sum(seconds for rank, seconds in added if rank <= urgency)
    assert split.ahead == pytest.approx(ahead)
    assert split.ahead + split.behind == pytest.approx(backlog.whole)
    assert split.ahead <= split.wait + 1e-9
    assert ReadingBacklog(backlog.list_parts()).whole == pytest.approx(backlog.whole)
