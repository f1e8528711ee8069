"""Tests of the retry budget."""

import itertools

import pytest

from eelgrassrack.decisions.retries import (
    GiveUp,
    GiveUpReason,
    Outcome,
    Retry,
    RetryBudget,
)


def judge(budget, **rest):
    fields = {
        "outcome": Outcome.FAILED,
        "repeatable": True,
        "first_byte_sent": False,
        "tries": 1,
        "most_tries": 3,
        "within": 30.0,
    }
    return budget.judge(**(fields | rest))


def test_retries_stay_within_a_part_of_the_successes():
    """Half of all attempts fail for a long time.

    Without a budget the retries would add half of the load again.
    """
    budget = RetryBudget(ratio=0.1, floor=10.0)
    retried = 0
    for _ in range(10_000):
        budget.note_success()
        retried += isinstance(judge(budget), Retry)
    assert 1_000 <= retried <= 1_010
    assert judge(budget) == GiveUp(reason=GiveUpReason.BUDGET)


def test_long_success_does_not_allow_a_retry_storm():
    budget = RetryBudget(ratio=0.1, floor=10.0)
    for _ in range(100_000):
        budget.note_success()
    retried = sum(isinstance(judge(budget), Retry) for _ in range(1_000))
    assert retried == 100


def test_unrepeatable_requests_run_once():
    """A request for a credential times out, and it is unknown whether it ran.

    A retry could issue two certificates.
    """
    budget = RetryBudget(ratio=0.1, floor=100.0)
    for outcome, sent in itertools.product(Outcome, [False, True]):
        verdict = judge(budget, outcome=outcome, repeatable=False, first_byte_sent=sent)
        may = outcome is Outcome.NOT_STARTED and not sent
        assert isinstance(verdict, Retry) == may


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"first_byte_sent": True}, GiveUpReason.FIRST_BYTE_SENT),
        ({"tries": 3}, GiveUpReason.TOO_MANY_TRIES),
        ({"within": 0.1}, GiveUpReason.TOO_LATE),
    ],
)
def test_gives_up_and_spends_nothing(change, reason):
    budget = RetryBudget(ratio=0.1, floor=5.0)
    assert judge(budget, **change) == GiveUp(reason=reason)
    assert budget.remaining == 5.0
    assert judge(budget) == Retry(within=30.0)
    assert budget.remaining == 4.0
