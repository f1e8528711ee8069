"""Tests of whose silence an entry counts."""

from eelgrassrack.decisions.hearing import MAX_QUIET_SECONDS, Hearing


def hear(hearing, *senders, begin, end):
    """Hear each sender once a second, and check twice a second."""
    for half in range(2 * begin, 2 * end + 1):
        hearing.note_check(now=half / 2)
        if half % 2 == 0:
            for sender in senders:
                hearing.note_heard(sender=sender, now=half / 2)


def measure(hearing, *, now, heard_at=10.0):
    return hearing.measure_silence(sender="a", heard_at=heard_at, now=now)


def test_silence_counts_while_others_are_heard():
    """Guards against callers that wait for a dead agent until their deadline."""
    hearing = Hearing()
    hear(hearing, "a", "b", begin=0, end=10)
    hear(hearing, "b", "c", begin=11, end=20)
    assert measure(hearing, now=20.0) == 10.0


def test_silence_doesnt_count_while_nobody_is_heard():
    """Guards against an entry that blames all agents for its own link."""
    hearing = Hearing()
    hear(hearing, "a", "b", begin=0, end=10)
    hear(hearing, begin=11, end=30)
    assert measure(hearing, now=30.0) == MAX_QUIET_SECONDS
    hearing.note_heard(sender="b", now=30.0)
    assert measure(hearing, now=31.0) == 1.0


def test_silence_doesnt_count_while_the_process_is_paused():
    """Guards against an entry that blames even a single agent for its own pause."""
    hearing = Hearing()
    hear(hearing, "a", begin=0, end=10)
    hearing.note_check(now=20.0)
    assert measure(hearing, now=20.0) == 0.0
    assert measure(hearing, now=21.5) == 1.5


def test_without_a_witness_all_silence_counts():
    """Guards against a dead agent that is never noticed because it was the last one.

    The other one left before.
    """
    hearing = Hearing()
    hear(hearing, "a", "b", begin=0, end=5)
    hear(hearing, "a", begin=6, end=10)
    hear(hearing, begin=11, end=20)
    assert measure(hearing, now=20.0) == 10.0
