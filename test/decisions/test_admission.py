"""Tests of admission control: limits, deadlines and retry times."""

from eelgrassrack.decisions.admission import (
    MAX_RETRY_SECONDS,
    Admission,
    Admitted,
    Arrival,
    Backlog,
    Refused,
    RefusedReason,
)
from eelgrassrack.document.sections import Organisation

IDLE = Backlog()


def judge(admission, *, backlog=IDLE, now=0.0, chance=0.0, limits=None, **rest):
    organisation = Organisation(name="a", key_digest="", **(limits or {}))
    fields = {"organisation": "a", "within": 60.0, "tokens": 100} | rest
    return admission.judge(
        arrival=Arrival(**fields),
        organisation=organisation,
        backlog=backlog,
        now=now,
        chance=chance,
    )


def test_hot_caller_is_held_to_its_rate():
    """A caller in a loop sends a thousand requests in one second."""
    admission = Admission()
    limits = {"requests_per_second": 10.0, "burst": 20.0, "concurrent": 10_000}
    verdicts = [
        judge(admission, now=number / 1_000, limits=limits) for number in range(1_000)
    ]
    admitted = [one for one in verdicts if isinstance(one, Admitted)]
    assert 29 <= len(admitted) <= 31
    refused = [one for one in verdicts if isinstance(one, Refused)]
    assert {one.reason for one in refused} == {RefusedReason.RATE}
    # The refused callers may retry one after the other, at the permitted rate.
    times = [one.retry_after for one in refused]
    assert times[500] - times[400] > 5.0
    assert max(times) <= MAX_RETRY_SECONDS


def test_concurrent_limit_and_release():
    admission = Admission()
    limits = {"concurrent": 2}
    assert isinstance(judge(admission, limits=limits), Admitted)
    assert isinstance(judge(admission, limits=limits), Admitted)
    refused = judge(admission, limits=limits)
    assert refused.reason is RefusedReason.CONCURRENT
    assert refused.retry_after >= 1.0
    admission.release(organisation="a")
    assert isinstance(judge(admission, limits=limits), Admitted)


def test_refused_at_arrival_when_the_backlog_is_too_long():
    """The backlog needs 100 s and the caller has 60 s.

    If it were admitted, it would wait for a minute and then be refused as too late.
    """
    admission = Admission()
    backlog = Backlog(tokens=100_000, drain=1_000.0)
    refused = judge(admission, backlog=backlog)
    assert refused.reason is RefusedReason.BACKLOG
    assert 100 - 60 < refused.retry_after < 100
    assert isinstance(judge(admission, backlog=backlog, within=600.0), Admitted)
    assert isinstance(judge(admission, backlog=Backlog(tokens=10**9)), Admitted)
    passed = judge(admission, within=0.0)
    assert passed.reason is RefusedReason.DEADLINE_PASSED


def test_quiet_organisation_is_not_refused_for_others_backlog():
    """Another organisation has queued 100 s of work in a fair queue."""
    backlog = Backlog(tokens=100_000, drain=1_000.0, own=200, weights=2.0)
    assert isinstance(judge(Admission(), backlog=backlog), Admitted)


def test_lower_priority_is_refused_first():
    backlog = Backlog(tokens=25_000, drain=1_000.0)
    assert isinstance(judge(Admission(), backlog=backlog, priority=0), Refused)
    assert isinstance(judge(Admission(), backlog=backlog, priority=1), Admitted)


def test_callers_refused_together_do_not_return_together():
    """A thousand callers are refused in the same instant.

    With the same retry time they would all retry, and be refused, together.
    """
    admission = Admission()
    backlog = Backlog(tokens=60_000, drain=1_000.0)
    times = [
        judge(
            admission,
            backlog=backlog,
            chance=number % 10 / 10,
            limits={"concurrent": 10_000, "burst": 10_000.0},
        ).retry_after
        for number in range(1_000)
    ]
    seconds = [int(time) for time in times]
    # 100 tokens each against a drain of 1,000: ten a second can be served.
    assert max(seconds.count(one) for one in set(seconds[:500])) <= 25
    assert min(times) > 60 - 46


def test_refused_caller_comes_back_when_half_has_drained():
    """A burst leaves 40 s of work, and new callers keep taking the room that drains.

    If the refused caller retried as soon as there was room for one request, it would be
    refused again.
    """
    backlog = Backlog(tokens=40_000, drain=1_000.0)
    refused = judge(Admission(), backlog=backlog)
    assert refused.reason is RefusedReason.BACKLOG
    assert 20.0 <= refused.retry_after <= 40.0


def test_draft_may_wait_for_most_of_its_time():
    """Reviews are queued overnight with an hour each, behind 50 minutes of work."""
    backlog = Backlog(tokens=3_000_000, drain=1_000.0)
    assert isinstance(judge(Admission(), backlog=backlog, within=3_600.0), Admitted)
    refused = judge(Admission(), backlog=backlog, within=3_060.0)
    assert refused.reason is RefusedReason.BACKLOG


def test_retrying_caller_may_wait_as_long_as_a_new_one():
    """A refused caller has less time left when it retries.

    At half load the queue drains no faster than a share of the caller's remaining time
    shrinks.  If only that share were allowed, every retry would be refused until the
    deadline.
    """
    late_in_time = {"within": 40.0, "usual": 60.0}
    backlog = Backlog(tokens=25_000, drain=1_000.0)
    assert isinstance(judge(Admission(), backlog=backlog, **late_in_time), Admitted)
    # Without the usual deadline the same caller is refused.
    assert isinstance(judge(Admission(), backlog=backlog, within=40.0), Refused)
    # A request that could hardly end in time isn't admitted either.
    too_late = {"within": 30.0, "usual": 60.0}
    assert isinstance(judge(Admission(), backlog=backlog, **too_late), Refused)
