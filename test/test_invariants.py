"""Tests of strict and lenient invariant checks."""

import pytest

from eelgrassrack.invariants import InvariantError, Invariants, Promise


def test_strict_raises():
    with pytest.raises(InvariantError):
        Invariants(strict=True).check(Promise.BILLED_ONCE, False, "twice")


def test_lenient_counts():
    invariants = Invariants(strict=False)
    assert not invariants.check(Promise.BILLED_ONCE, False, "twice")
    assert invariants.broken[Promise.BILLED_ONCE] == 1
