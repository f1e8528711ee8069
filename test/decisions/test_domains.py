"""Tests of the ramp of a returning failure domain."""

from eelgrassrack.decisions.domains import FIRST_SHARE, DomainRamp


def test_returning_domain_is_ramped():
    """A failure domain returns under full load, with all its endpoints cold.

    If it got its whole share at once, they would crash together.
    """
    ramp = DomainRamp(seconds=30.0)
    ramp.note_state(domain="d", is_in=True, now=0.0)
    assert ramp.find_share(domain="d", now=0.0) == 1.0
    ramp.note_state(domain="d", is_in=False, now=1.0)
    assert ramp.find_share(domain="d", now=100.0) == 0.0
    assert not ramp.admits(domain="d", chance=0.0, now=100.0)
    ramp.note_state(domain="d", is_in=True, now=100.0)
    ramp.note_state(domain="d", is_in=True, now=110.0)
    shares = [ramp.find_share(domain="d", now=100.0 + second) for second in range(32)]
    assert shares == sorted(shares)
    assert shares[0] == FIRST_SHARE
    assert 0.4 < shares[15] < 0.6
    assert shares[30:] == [1.0, 1.0]
    admitted = sum(
        ramp.admits(domain="d", chance=number / 100, now=115.0) for number in range(100)
    )
    assert 50 <= admitted <= 55


def test_other_domains_take_what_the_ramp_leaves():
    """A returning domain gets all requests only if no other domain is in."""
    ramp = DomainRamp(seconds=30.0)
    for domain, now in [("back", 0.0), ("out", 0.0)]:
        ramp.note_state(domain=domain, is_in=False, now=now)
    ramp.note_state(domain="back", is_in=True, now=0.0)
    every = frozenset({"back", "out", "other"})
    assert ramp.select(domains=every, chance=0.5, now=1.0) == {"other"}
    assert ramp.select(domains=every, chance=0.01, now=1.0) == {"back", "other"}
    alone = every - {"other"}
    assert ramp.select(domains=alone, chance=0.5, now=1.0) == {"back"}
    assert ramp.select(domains=frozenset({"out"}), chance=0.5, now=1.0) == frozenset()
