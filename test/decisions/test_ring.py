"""Tests of the hash ring."""

import collections

from eelgrassrack.decisions.ring import Ring

NAMES = [f"e{number}" for number in range(50)]


def find(ring, *, keys=5_000):
    return [next(ring.walk(f"session{number}")) for number in range(keys)]


def test_only_the_leaving_endpoints_sessions_move():
    """If an endpoint leaves, the sessions of all others keep their endpoints."""
    ring = Ring()
    ring.add(NAMES)
    before = find(ring)
    ring.remove("e7")
    after = find(ring)
    assert {old for old, new in zip(before, after, strict=True) if old != new} == {"e7"}
    ring.add(NAMES)
    assert find(ring) == before
    shares = collections.Counter(before)
    assert len(shares) == 50
    assert max(shares.values()) < 2 * 5_000 / 50


def test_walk_reaches_every_endpoint():
    ring = Ring()
    ring.add(NAMES)
    assert set(ring.walk("session")) == set(NAMES)
    assert list(Ring().walk("session")) == []
