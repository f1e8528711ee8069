"""Tests of limits that entries share without coordination."""

import collections

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassrack.decisions.sharedbudget import (
    COLD_SHARE,
    allow_retry,
    share_cold_rate,
)
from eelgrassrack.gateway.requests.retries import RetryWindow

WINDOW = 10.0

EVENTS = st.lists(
    st.tuples(
        st.integers(0, 4),
        st.floats(0.0, 0.4),
        st.sampled_from(["request", "failure", "restart"]),
    ),
    max_size=300,
)


@settings(max_examples=150, deadline=None)
@given(events=EVENTS, slack=st.integers(20, 100))
def test_the_budget_holds_over_all_entries(events, slack):
    """Entries restart with empty memories, and the load is uneven.

    A restarted entry has forgotten its repeats in the window; the unused part of the
    limit covers those.  As on a platform that replaces instances, at most one entry
    restarts per window.
    """
    entries = 5
    sends = {number: RetryWindow(seconds=WINDOW) for number in range(entries)}
    restarted = dict.fromkeys(range(entries), float("-inf"))
    requests, repeats = collections.deque(), collections.deque()
    now = 0.0
    for entry, pause, kind in events:
        now += pause
        if kind == "restart" and sum(at > now - WINDOW for at in restarted.values()):
            continue
        if kind == "restart":
            sends[entry] = RetryWindow(seconds=WINDOW)
            restarted[entry] = now
            continue
        if kind == "request":
            sends[entry].note_request(now)
            requests.append(now)
            continue
        counts = sends[entry].count(now)
        if allow_retry(
            requests=counts.requests,
            repeats=counts.repeats,
            ratio=0.9,
            slack=slack,
            entries=entries,
        ):
            sends[entry].note_repeat(now)
            repeats.append(now)
        in_window = sum(at >= now - WINDOW for at in repeats)
        earned = sum(at >= now - WINDOW for at in requests)
        assert in_window <= 0.9 * earned + slack


def test_escalations_leave_budget_for_retries_after_a_crash():
    """Half of all requests ask a second model, and then endpoints crash.

    If the budget didn't allow retries, the callers of crashed endpoints would be
    refused although two thirds of the common limit aren't used.
    """
    assert allow_retry(requests=50, repeats=35, ratio=0.9, slack=104, entries=32)


def test_nothing_sent_still_leaves_a_share_of_the_slack():
    assert allow_retry(requests=0, repeats=0, ratio=0.9, slack=50, entries=5)
    assert not allow_retry(requests=0, repeats=7, ratio=0.9, slack=50, entries=5)


@given(
    rate=st.floats(1, 200),
    slack=st.floats(0, 20),
    entries=st.integers(1, 400),
)
def test_cold_shares_add_up_to_the_limit(rate, slack, entries):
    """More entries than a cold endpoint can handle requests find it idle at once."""
    shares = [
        share_cold_rate(
            rate=rate, overage=1.5, slack=slack, entries=entries, before=before
        )
        for before in range(entries)
    ]
    assert 1 <= sum(shares) <= rate * 1.5 + slack
    assert min(shares) >= int(entries <= (rate * 1.5 + slack) * COLD_SHARE - 1)
