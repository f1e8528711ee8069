"""Tests of the quarantine, by example and with random batches."""

import hypothesis.strategies as st
from hypothesis import given, settings

from eelgrassrack.decisions.quarantine import (
    MERGE_GRACE_SECONDS,
    QUARANTINE_SECONDS,
    SUSPECT_SECONDS,
    Clear,
    OnTrial,
    Quarantine,
    Quarantined,
    RunAlone,
)


def crash(quarantine, endpoint, *fingerprints, alone=False, now=0.0):
    return quarantine.note_crash(
        endpoint=endpoint, fingerprints=fingerprints, alone=alone, now=now
    )


def judge(quarantine, fingerprint, *, now=0.0):
    return quarantine.judge(fingerprint=fingerprint, now=now)


def test_second_crash_quarantines():
    """A request crashes an endpoint, and its caller sends it again.

    It isn't known yet which request of the batch caused the crash.
    """
    quarantine = Quarantine()
    assert crash(quarantine, "e1", "bad", "good", "") == ()
    assert judge(quarantine, "good") == judge(quarantine, "bad") == RunAlone()
    assert judge(quarantine, "other") == judge(quarantine, "") == Clear()
    quarantine.note_cleared(fingerprint="good")
    assert judge(quarantine, "good") == Clear()
    # The same crash noted twice, or another crash of the same endpoint, doesn't count
    # as a second endpoint.
    assert crash(quarantine, "e1", "bad", now=1.0) == ()
    assert crash(quarantine, "e2", "bad", "good", now=2.0) == ("bad",)
    assert isinstance(judge(quarantine, "bad", now=2.0), Quarantined)
    assert judge(quarantine, "good", now=2.0) == RunAlone()
    quarantine.note_cleared(fingerprint="bad")
    assert quarantine.fingerprints == ("bad",)


def test_crash_alone_quarantines_at_once():
    quarantine = Quarantine()
    crash(quarantine, "e1", "bad")
    assert crash(quarantine, "e1", "bad", alone=True) == ("bad",)


def test_copies_wait_for_the_trial():
    """The caller sends three copies of a suspect at once."""
    quarantine = Quarantine()
    crash(quarantine, "e1", "bad")
    quarantine.begin_trial(fingerprint="bad", now=0.0)
    assert isinstance(judge(quarantine, "bad", now=1.0), OnTrial)
    quarantine.end_trial(fingerprint="bad")
    assert judge(quarantine, "bad", now=1.0) == RunAlone()


def test_quarantine_ends_everywhere():
    """Two entries keep exchanging their quarantines.

    If a quarantine that has ended could be merged from a slower peer, it would never
    end.
    """
    first, second = Quarantine(), Quarantine()
    crash(first, "e1", "bad", alone=True)
    second.merge(fingerprints=first.fingerprints, now=5.0)
    assert second.fingerprints == ("bad",)
    for now in range(0, int(QUARANTINE_SECONDS + MERGE_GRACE_SECONDS), 5):
        first.merge(fingerprints=second.fingerprints, now=float(now))
        second.merge(fingerprints=first.fingerprints, now=float(now + 5))
    assert first.fingerprints == second.fingerprints == ()
    assert judge(first, "bad", now=QUARANTINE_SECONDS * 2) == Clear()


def test_suspects_are_forgotten():
    quarantine = Quarantine()
    crash(quarantine, "e1", "x")
    assert judge(quarantine, "x", now=SUSPECT_SECONDS - 1) == RunAlone()
    assert judge(quarantine, "x", now=SUSPECT_SECONDS + 1) == Clear()


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    poison=st.sets(st.integers(0, 9), min_size=1, max_size=2),
    rounds=st.lists(
        st.lists(st.integers(0, 9), min_size=1, max_size=5, unique=True),
        min_size=5,
        max_size=40,
    ),
)
def test_poison_fells_two_endpoints_and_the_innocent_are_served(poison, rounds):
    """Batches of requests, of which one or two crash any endpoint.

    Their callers resend whatever failed.
    """
    quarantine = Quarantine()
    felled = dict.fromkeys(poison, 0)
    for number, batch in enumerate(rounds):
        now = float(number)
        verdicts = {one: judge(quarantine, str(one), now=now) for one in batch}
        clear = [one for one in batch if verdicts[one] == Clear()]
        alone = [[one] for one in batch if verdicts[one] == RunAlone()]
        for turn, group in enumerate([clear, *alone]):
            names = tuple(str(one) for one in group)
            guilty = poison & set(group)
            if guilty:
                crash(quarantine, f"e{number}-{turn}", *names, alone=turn > 0, now=now)
                for one in guilty:
                    felled[one] += 1
                continue
            for name in names:
                quarantine.note_cleared(fingerprint=name)
    assert max(felled.values()) <= 2
    assert {int(name) for name in quarantine.fingerprints} <= poison
