"""Tests of the backlog ahead of a request at an engine."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrassrack.decisions.backlog import IN_PROGRESS_SECONDS, ReadingBacklog
from eelgrassrack.decisions.modelchoice import Estimate, choose_next
from eelgrassrack.decisions.urgency import LEAST_URGENT

MODELS = ("small", "middle", "large")

prompt_lists = st.lists(
    st.tuples(st.integers(0, LEAST_URGENT), st.floats(0.001, 5.0)),
    min_size=0,
    max_size=30,
)


def ask_better(*, backlog, urgency, reading):
    """Return the model to ask after an answer of the smallest with low confidence."""
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
    """Only a third of the engines is left, each with seconds of long prompts to read.

    If that queue counted as the wait of short questions, their callers would get the
    smallest model's answer, which is worthless half of the time.
    """
    backlog = ReadingBacklog([(5, 0.2)] * 15)
    assert backlog.whole == pytest.approx(3.0)
    assert ask_better(backlog=backlog, urgency=0, reading=0.015) == "large"


def test_a_less_urgent_request_gets_no_better_model():
    """Under the same load a check of the lowest rank keeps the smallest's answer."""
    backlog = ReadingBacklog([(5, 0.2)] * 15)
    assert ask_better(backlog=backlog, urgency=7, reading=0.05) is None


def test_a_queue_of_the_same_rank_counts():
    """Questions alone overload the engines; better models would make all late."""
    backlog = ReadingBacklog([(0, 0.015)] * 60)
    assert ask_better(backlog=backlog, urgency=0, reading=0.015) is None


def test_a_prompt_in_progress_is_waited_for():
    backlog = ReadingBacklog([(LEAST_URGENT, 3.0)])
    assert backlog.split(0).wait == pytest.approx(IN_PROGRESS_SECONDS)
    assert backlog.split(0).burden > 0.0


def test_ended_prompts_leave_nothing_to_report():
    """The rounding errors of thousands of requests must not add up to reported work."""
    backlog = ReadingBacklog()
    for number in range(5_000):
        backlog.add(3, 0.1 / (number + 1))
    for number in range(5_000):
        backlog.add(3, -0.1 / (number + 1))
    assert backlog.list_parts() == []


@given(prompt_lists, st.integers(0, LEAST_URGENT))
def test_all_is_either_ahead_or_behind(prompts, urgency):
    backlog = ReadingBacklog(prompts)
    split = backlog.split(urgency)
    ahead = sum(seconds for rank, seconds in prompts if rank <= urgency)
    assert split.ahead == pytest.approx(ahead)
    assert split.ahead + split.behind == pytest.approx(backlog.whole)
    assert split.ahead <= split.wait + 1e-9
    assert ReadingBacklog(backlog.list_parts()).whole == pytest.approx(backlog.whole)
