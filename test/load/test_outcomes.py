"""Tests of the outcomes of tries and of the pauses before retries."""

import pytest

from eelgrassrack.load.outcomes import (
    UNREACHABLE_WAIT_SECONDS,
    AttemptFailed,
    Completed,
    OutcomeUnknown,
    Refused,
    Response,
    Unreachable,
    classify_response,
    find_retry_delay,
    read_retry_after,
)
from eelgrassrack.load.workload import RequestKind, RetryPolicy


def make_kind(returns, tries=3):
    return RequestKind(
        name="n", organisation="o", key="k", returns=returns, tries=tries
    )


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (Response(status=200, is_whole=True, version="m/1"), Completed(version="m/1")),
        (Response(status=200, run="ran", code="cut"), AttemptFailed(code="cut")),
        (Response(status=502, run="ran", code="engine"), AttemptFailed(code="engine")),
        (Response(status=504, run="unknown"), OutcomeUnknown(code="504")),
        (Response(status=599, code="no_answer"), OutcomeUnknown(code="no_answer")),
        (Response(status=500), OutcomeUnknown(code="500")),
        (
            Response(status=429, run="not-run", retry_after="3", code="rate"),
            Refused(code="rate", wait=3.0),
        ),
        (Response(status=403, run="not-run"), Refused(code="403")),
        (Response(status=503, retry_after="1"), Refused(code="503", wait=1.0)),
        (Response(status=503, run="unknown"), OutcomeUnknown(code="503")),
    ],
)
def test_a_response_is_classified(response, outcome):
    assert classify_response(response) == outcome


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("2", 2.0), ("0", 0.0), ("", None), ("soon", None), ("-1", None), ("inf", None)],
)
def test_retry_after_is_read(text, seconds):
    assert read_retry_after(text) == seconds


@pytest.mark.parametrize(
    ("outcome", "returns", "tries", "remaining", "pause"),
    [
        (Refused(code="rate", wait=2.0), RetryPolicy.WAIT, 1, 5.0, 2.0),
        (Refused(code="rate", wait=2.0), RetryPolicy.WAIT, 3, 5.0, None),
        (Refused(code="rate", wait=2.0), RetryPolicy.WAIT, 1, 2.0, None),
        (Refused(code="rate", wait=2.0), RetryPolicy.AT_ONCE, 1, 1.0, 0.0),
        (Refused(code="rate", wait=2.0), RetryPolicy.NEVER, 1, 5.0, None),
        (Refused(code="no"), RetryPolicy.AT_ONCE, 1, 5.0, None),
        (Unreachable(), RetryPolicy.WAIT, 1, 5.0, UNREACHABLE_WAIT_SECONDS),
        (Unreachable(), RetryPolicy.AT_ONCE, 1, 5.0, 0.0),
        (Completed(), RetryPolicy.AT_ONCE, 1, 5.0, None),
        (AttemptFailed(code="cut"), RetryPolicy.AT_ONCE, 1, 5.0, None),
        (OutcomeUnknown(code="504"), RetryPolicy.AT_ONCE, 1, 5.0, None),
    ],
)
def test_only_requests_that_did_not_run_are_retried(
    outcome, returns, tries, remaining, pause
):
    kind = make_kind(returns)
    assert (
        find_retry_delay(outcome, kind=kind, tries=tries, remaining=remaining) == pause
    )
