"""Tests of which organisations are deprioritised."""

from eelgrassrack.decisions.backlog import ReadingBacklog
from eelgrassrack.decisions.fairshare import MAX_REPORTED, Usage
from eelgrassrack.decisions.urgency import find_urgency

NAMES = [f"org{number}" for number in range(12)]


def make_usage(*, hot=(), times=1.0, read=1.0):
    usage = Usage(now=10.0)
    for name in NAMES:
        seconds = 0.05 * read * (times if name in hot else 1.0)
        usage.note(organisation=name, seconds=seconds)
    return usage


def test_one_organisation_s_burst_is_deprioritised():
    """One of twelve sends eight times as much as the others."""
    assert make_usage(hot={"org3"}, times=8.0).find_heavy(()) == {"org3"}


def test_a_large_organisation_is_not_deprioritised():
    """It always takes three times as much as the others."""
    assert not make_usage(hot={"org3"}, times=3.0).find_heavy(())


def test_a_burst_at_other_entries_counts():
    """The callers of the hot organisation reach other entries than this one."""
    reports = [make_usage(hot={"org3"}, times=20.0).report() for _ in range(3)]
    assert make_usage().find_heavy(reports) == {"org3"}


def test_a_report_names_only_the_heaviest():
    report = make_usage(hot={"org3"}, times=8.0).report()
    assert len(report.heaviest) == MAX_REPORTED
    assert report.heaviest[0].organisation == "org3"
    assert report.milliseconds == 950


def test_two_organisations_are_too_few_to_compare():
    usage = Usage(now=0.0)
    usage.note(organisation="one", seconds=9.0)
    usage.note(organisation="other", seconds=0.1)
    assert not usage.find_heavy(())


def test_a_burst_is_forgiven_when_it_is_over():
    usage = make_usage(hot={"org3"}, times=8.0)
    usage.fade(20.0)
    for name in NAMES:
        usage.note(organisation=name, seconds=0.05)
    assert not usage.find_heavy(())


def test_others_are_read_before_a_burst():
    """Engines have three seconds of one organisation's questions to read.

    A question of another organisation waits only for its own kind, not for the burst.
    """
    heavy = find_urgency(rank=0, reading=0.01, is_deprioritised=True)
    other = find_urgency(rank=0, reading=0.01)
    backlog = ReadingBacklog([(heavy, 0.01)] * 300 + [(other, 0.01)] * 5)
    assert backlog.split(other).ahead < 0.06
    assert backlog.split(heavy).ahead > 3.0


def test_ranks_of_operators_come_first():
    """A deprioritised request still precedes those of a lower rank."""
    heavy = find_urgency(rank=0, reading=0.01, is_deprioritised=True)
    assert heavy < find_urgency(rank=1, reading=0.01)
