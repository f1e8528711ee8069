"""Tests of the records of attempts that are no longer kept."""

import pytest

from eelgrassrack.agent import records
from eelgrassrack.agent.records import (
    RECORD_TTL_SECONDS,
    AttemptRecord,
    AttemptRecords,
    ExpiredRecord,
)
from eelgrassrack.mailbox.messages import Ended, Finish, NotStarted, Refusal


def make_ended(key):
    return Ended(attempt=key, finish=Finish.WHOLE)


def make_refused(key):
    return NotStarted(attempt=key, refusal=Refusal.FULL)


def test_an_attempt_that_ran_is_never_reported_as_unseen():
    """A caller resends a price submission days after its entry was lost.

    Another entry finds the claim and asks the agent that ran it.  If the agent had
    forgotten the attempt and answered that it never saw it, the submission would
    run again and be counted twice.
    """
    kept = AttemptRecords(now=0.0)
    kept.add(key="a", message=make_ended("a"), now=0.0)
    kept.expire(now=100 * RECORD_TTL_SECONDS)
    assert isinstance(kept.find(key="a"), ExpiredRecord)
    assert kept.find(key="b") is None


def test_a_refusal_outlives_a_full_table(monkeypatch):
    """An overloaded agent refuses more attempts than its table of records holds.

    A start that arrives after its refusal was passed on to the caller must still
    not run.
    """
    monkeypatch.setattr(records, "MAX_RECORDS", 2)
    kept = AttemptRecords(now=0.0)
    for number in range(5):
        key = f"a{number}"
        kept.add(key=key, message=make_refused(key), now=1.0)
    for number in range(5):
        found = kept.find(key=f"a{number}")
        assert isinstance(found, AttemptRecord)
        assert isinstance(found.message, NotStarted)
    for hours in (2, 4, 6):
        kept.expire(now=hours * RECORD_TTL_SECONDS)
    assert kept.find(key="a0") is None


@pytest.mark.parametrize("make_message", [make_ended, make_refused])
def test_is_full_when_the_digests_are_full(monkeypatch, make_message):
    monkeypatch.setattr(records, "MAX_RECORDS", 1)
    monkeypatch.setattr(records, "MAX_DIGESTS", 3)
    kept = AttemptRecords(now=0.0)
    for number in range(4):
        assert not kept.is_full
        kept.add(key=str(number), message=make_message(str(number)), now=0.0)
    assert kept.is_full
    kept.clear()
    assert not kept.is_full
