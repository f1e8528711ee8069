"""Tests of session pinning."""

from eelgrassrack.decisions.pins import (
    Choose,
    Keep,
    Pinned,
    RefuseWithdrawn,
    Unpinned,
    judge_pin,
)


def judge(pin, *, active):
    permitted = frozenset({"m/1", "m/2"})
    return judge_pin(pin=pin, active=frozenset(active), permitted=permitted)


def test_session_keeps_its_version_or_is_refused():
    """A version is withdrawn during a conversation.

    If the session moved silently to another version, its answers might contradict each
    other.
    """
    assert judge(Unpinned(), active={"m/1"}) == Choose()
    pin = Pinned(version="m/1")
    assert judge(pin, active={"m/1", "m/2"}) == Keep(version="m/1")
    assert judge(pin, active={"m/2"}) == RefuseWithdrawn(version="m/1")


def test_pin_of_another_model_is_ignored():
    assert judge(Pinned(version="x/1"), active={"m/1", "x/1"}) == Choose()
