"""Tests of load balancing between endpoints."""

import collections
import random

from eelgrassrack.decisions.candidate import Candidate
from eelgrassrack.decisions.placement import (
    NoCandidate,
    NoCandidateReason,
    Placement,
    choose_subset,
)


def make(count, *, domain="d0", window=16, **rest):
    return [
        Candidate(name=f"e{number}", domain=domain, window=window, **rest)
        for number in range(count)
    ]


def pick(placement, candidates, *, rng, affinity=None, now=0.0):
    return placement.choose(
        candidates=candidates,
        affinity=affinity,
        chances=(rng.random(), rng.random()),
        now=now,
    )


def test_no_candidate_says_why():
    placement = Placement(domain="d0")
    rng = random.Random(1)
    for candidates, reason in [
        ([], NoCandidateReason.NONE_KNOWN),
        (make(2, draining=True), NoCandidateReason.DRAINING),
        (make(2, engine_up=False), NoCandidateReason.ENGINE_DOWN),
    ]:
        assert pick(placement, candidates, rng=rng) == NoCandidate(reason=reason)


def test_idle_report_does_not_draw_everything():
    """Reports lag: one endpoint looks idle for a second, the others half full.

    By the reports alone every request of that second would go to it.
    """
    rng = random.Random(1)
    placement = Placement(domain="d0")
    busy = [
        Candidate(name=f"e{number}", domain="d0", running=8, window=16)
        for number in range(1, 10)
    ]
    idle = Candidate(name="e0", domain="d0", window=16)
    counts = collections.Counter()
    for _ in range(100):
        chosen = pick(placement, [idle, *busy], rng=rng)
        placement.note_sent(endpoint=chosen.name)
        counts[chosen.name] += 1
    assert counts["e0"] < 25


def test_cold_endpoint_gets_little():
    rng = random.Random(1)
    placement = Placement(domain="d0")
    cold = Candidate(name="cold", domain="d0", window=2)
    counts = collections.Counter()
    for _ in range(60):
        chosen = pick(placement, [cold, *make(7)], rng=rng)
        placement.note_sent(endpoint=chosen.name)
        counts[chosen.name] += 1
    assert counts["cold"] <= 2


def test_near_first_until_full():
    rng = random.Random(1)
    placement = Placement(domain="d0")
    near = make(2, window=4)
    far = [Candidate(name="far", domain="d1", window=4)]
    chosen = []
    for _ in range(12):
        one = pick(placement, near + far, rng=rng)
        placement.note_sent(endpoint=one.name)
        chosen.append(one.domain)
    assert chosen[:6] == ["d0"] * 6
    assert "d1" in chosen


def test_affinity_holds_until_the_endpoint_is_hot():
    """One prefix has most of the traffic; its endpoint must not be overloaded."""
    rng = random.Random(1)
    placement = Placement(domain="d0")
    candidates = make(8, window=8)
    calm = {pick(placement, candidates, rng=rng, affinity="s").name for _ in range(9)}
    assert len(calm) == 1
    counts = collections.Counter()
    for _ in range(40):
        chosen = pick(placement, candidates, rng=rng, affinity="s")
        placement.note_sent(endpoint=chosen.name)
        counts[chosen.name] += 1
    assert max(counts.values()) <= 12
    spread = {
        pick(Placement(domain="d0"), candidates, rng=rng, affinity=f"s{n}").name
        for n in range(100)
    }
    assert len(spread) == 8


def finish(placement, name, *, now, succeeded=True, seconds=0.5, times=1):
    for _ in range(times):
        placement.note_sent(endpoint=name)
        placement.note_finished(
            endpoint=name, succeeded=succeeded, seconds=seconds, now=now
        )


def test_slow_endpoint_is_ejected_and_tried_again_gently():
    """One endpoint of eight takes ten times as long as the others."""
    rng = random.Random(1)
    placement = Placement(domain="d0")
    candidates = make(8)
    for _ in range(30):
        for one in candidates[1:]:
            finish(placement, one.name, now=0.0)
    finish(placement, "e0", now=0.0, seconds=5.0, times=8)
    chosen = {pick(placement, candidates, rng=rng, now=1.0).name for _ in range(99)}
    assert "e0" not in chosen
    assert len(chosen) == 7
    # After the ejection it gets one request at a time.
    chosen = {pick(placement, candidates, rng=rng, now=6.0).name for _ in range(99)}
    assert "e0" in chosen
    busy = [Candidate(name="e0", domain="d0", window=16, local=1), *candidates[1:]]
    chosen = {pick(placement, busy, rng=rng, now=6.0).name for _ in range(99)}
    assert "e0" not in chosen
    # If it is still slow on trial it is ejected for longer; if it has recovered it is
    # used again.
    finish(placement, "e0", now=6.0, seconds=5.0, times=3)
    assert placement.is_ejected(endpoint="e0", now=12.0)
    finish(placement, "e0", now=20.0, times=3)
    busy = make(8, local=1)
    chosen = {pick(placement, busy, rng=rng, now=20.0).name for _ in range(99)}
    assert "e0" in chosen


def test_failing_endpoint_is_ejected_but_never_all():
    """A failing endpoint looks idle and would attract the whole load.

    If all endpoints fail, the cause is elsewhere, and ejection would leave none.
    """
    rng = random.Random(1)
    placement = Placement(domain="d0")
    candidates = make(4)
    finish(placement, "e0", now=0.0, succeeded=False, times=3)
    chosen = {pick(placement, candidates, rng=rng, now=1.0).name for _ in range(99)}
    assert chosen == {"e1", "e2", "e3"}
    for one in candidates:
        finish(placement, one.name, now=1.0, succeeded=False, times=3)
    chosen = {pick(placement, candidates, rng=rng, now=1.5).name for _ in range(99)}
    assert len(chosen) == 4


def test_subset_is_stable_spread_and_near_first():
    """If an endpoint joins or leaves, entries must keep their other endpoints."""
    names = {f"d{d}": [f"d{d}e{n}" for n in range(30)] for d in range(4)}
    counts = collections.Counter()
    for entry in range(200):
        key = f"entry{entry}"
        before = choose_subset(key=key, names_by_domain=names, domain="d1", size=12)
        domains = collections.Counter(name[:2] for name in before)
        assert domains == {"d1": 6, "d0": 2, "d2": 2, "d3": 2}
        counts.update(before)
        fewer = names | {"d1": [n for n in names["d1"] if n != before[0]]}
        after = choose_subset(key=key, names_by_domain=fewer, domain="d1", size=12)
        assert len(set(before) - set(after)) == 1
    near = [counts[name] for name in names["d1"]]
    assert min(near) > 20
    assert max(near) < 65
    few = choose_subset(
        key="k", names_by_domain={"d0": ["a"], "d1": ["b"]}, domain="d0", size=12
    )
    assert sorted(few) == ["a", "b"]
