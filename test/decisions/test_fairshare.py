"""Tests of which organisations give way."""

from eelgrassrack.decisions.backlog import ReadingBacklog
from eelgrassrack.decisions.fairshare import MOST_TOLD, Usage
from eelgrassrack.decisions.urgency import find_urgency

NAMES = [f"org{number}" for number in range(12)]


def make_usage(*, hot=(), times=1.0, read=1.0):
    usage = Usage(now=10.0)
    for name in NAMES:
        seconds = 0.05 * read * (times if name in hot else 1.0)
        usage.note(organisation=name, seconds=seconds)
    return usage


def test_one_organisation_s_burst_gives_way():
    """One of twelve sends eight times as much as the others."""
    assert make_usage(hot={"org3"}, times=8.0).find_heavy(()) == {"org3"}


def test_a_large_organisation_is_none_that_gives_way():
    """It takes three times what the others do, day by day."""
    assert not make_usage(hot={"org3"}, times=3.0).find_heavy(())


def test_a_burst_at_other_entries_counts():
    """Callers of the hot organisation reach other entries than this one."""
    told = [make_usage(hot={"org3"}, times=20.0).report() for _ in range(3)]
    assert make_usage().find_heavy(told) == {"org3"}


def test_peers_are_told_of_a_few_only():
    told = make_usage(hot={"org3"}, times=8.0).report()
    assert len(told.heaviest) == MOST_TOLD
    assert told.heaviest[0].organisation == "org3"
    assert told.milliseconds == 950


def test_two_organisations_alone_are_equal():
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

    A question of another waits for its like alone, not for the burst.
    """
    heavy = find_urgency(rank=0, reading=0.01, is_deprioritised=True)
    other = find_urgency(rank=0, reading=0.01)
    backlog = ReadingBacklog([(heavy, 0.01)] * 300 + [(other, 0.01)] * 5)
    assert backlog.split(other).ahead < 0.06
    assert backlog.split(heavy).ahead > 3.0


def test_ranks_of_operators_come_first():
    """What gives way still goes before a lower rank."""
    heavy = find_urgency(rank=0, reading=0.01, is_deprioritised=True)
    assert heavy < find_urgency(rank=1, reading=0.01)
