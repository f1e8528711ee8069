"""Tests of messages that prompts share and that crash endpoints."""

import pytest

from eelgrassrack.decisions.quarantine import Clear, RunAlone
from eelgrassrack.entry.refusals import CallerError
from eelgrassrack.entry.suspects import SuspectRequests
from eelgrassrack.mailbox.messages import Cleared, Crash

GUILTY, SHARED, RARE = (f"{number:016x}" for number in (1, 3, 5))


class Entry:
    """The suspects of one entry, at a time that the test sets."""

    def __init__(self):
        self.now = 0.0
        self.spread = []
        self.suspects = SuspectRequests(
            clock=lambda: self.now, spread=self.spread.append
        )

    def crash(self, endpoint, *parts, alone=False):
        self.now += 3.0
        name = f"r{self.now}"
        crash = Crash(endpoint=endpoint, fingerprints=(name,), alone=alone, parts=parts)
        self.suspects.take_crash(crash)

    def judge(self, *parts):
        return self.suspects.judge(fingerprint="new", parts=parts)


@pytest.fixture
def entry():
    return Entry()


def test_a_message_is_quarantined_though_no_two_requests_are_alike(entry):
    """One endpoint after the other would crash, as no request comes twice."""
    for number in range(3):
        assert not isinstance(entry.judge(GUILTY), CallerError)
        entry.suspects.note_answer(parts=(SHARED,))
        entry.crash(f"e{number}", GUILTY, SHARED)
    assert entry.judge(GUILTY, SHARED).status == 422
    assert entry.judge(SHARED) == Clear()
    assert entry.spread == [(GUILTY,)]


def test_one_crash_that_several_report_counts_once(entry):
    for number in range(3):
        entry.crash("e1", GUILTY)
        entry.now -= 3.0 - 0.1 * number
    assert entry.judge(GUILTY) == Clear()


def test_suspected_messages_run_alone_one_at_a_time(entry):
    entry.crash("e1", GUILTY, RARE)
    entry.crash("e2", GUILTY, RARE)
    assert entry.judge(RARE) == RunAlone()
    entry.suspects.begin_trial(fingerprint="new", parts=(RARE,))
    assert entry.judge(RARE).status == 429
    entry.suspects.end_trial(fingerprint="new", parts=(RARE,))
    assert entry.judge(RARE) == RunAlone()


def test_a_message_that_completes_alone_elsewhere_is_cleared(entry):
    entry.crash("e1", GUILTY, RARE)
    entry.crash("e2", GUILTY, RARE)
    entry.suspects.take_cleared(Cleared(fingerprints=("r",), parts=(RARE,)))
    assert entry.judge(RARE) == Clear()
    entry.crash("e3", GUILTY)
    assert entry.judge(GUILTY).status == 422


def test_messages_that_were_always_together_are_not_quarantined_yet(entry):
    """A harmless one would be refused for an hour, those with both crash endpoints."""
    for number in range(4):
        entry.crash(f"e{number}", GUILTY, RARE)
    assert entry.judge(RARE) == RunAlone()
    assert entry.judge(GUILTY, RARE).status == 422
    entry.crash("e5", GUILTY, alone=True)
    assert entry.judge(GUILTY).status == 422
    assert entry.judge(RARE) == RunAlone()
    entry.suspects.note_answer(parts=(RARE,))
    assert entry.judge(RARE) == Clear()


def test_a_quarantined_message_of_a_peer_is_refused(entry):
    entry.suspects.merge((GUILTY,))
    assert entry.judge(GUILTY).status == 422
    assert entry.judge(SHARED) == Clear()
