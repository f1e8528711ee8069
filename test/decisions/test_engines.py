"""Tests of the choice of engines."""

import collections
import random

from eelgrassrack.decisions.engines import Candidate, Reading, choose_engine


def make(count, **rest):
    return [make_one(name=f"e{number}", **rest) for number in range(count)]


def make_one(*, name, backlog=0.0, running=0, slots=48, is_near=True, **rest):
    """Return an engine whose whole backlog is as urgent as the request."""
    return Candidate(
        name=name,
        wait=backlog,
        burden=backlog,
        running=running,
        slots=slots,
        is_near=is_near,
        **rest,
    )


def choose(candidates, *, reading=0.05, shared=0.02, affinity="part", spread="one"):
    return choose_engine(
        candidates=candidates,
        reading=Reading(whole=reading, shared=shared),
        affinity=affinity,
        spread=spread,
    )


def test_entries_agree_where_a_shared_part_goes():
    chosen = {choose(make(9), spread=f"entry{number}").name for number in range(20)}
    assert len(chosen) == 1


def test_a_hot_part_spreads_once_its_engine_has_a_queue():
    """A fifth of all requests share one part; its engine alone would fill up."""
    candidates = {one.name: one for one in make(9)}
    counts = collections.Counter()
    for _ in range(90):
        name = choose(list(candidates.values())).name
        counts[name] += 1
        one = candidates[name]
        candidates[name] = make_one(
            name=name,
            backlog=one.wait + 0.03,
            running=one.running + 1,
            slots=48,
            is_near=True,
            holds_parts=True,
        )
    assert max(counts.values()) < 25
    assert len(counts) == 9


def test_a_short_request_isnt_put_behind_a_long_prompt():
    """An engine reads a prompt for two seconds; requests beside it would wait."""
    busy = make(1, backlog=2.0, holds_parts=True)[0]
    others = [one for one in make(9) if one.name != busy.name]
    for number in range(50):
        chosen = choose([busy, *others], affinity=f"part{number}", reading=0.01)
        assert chosen.name != busy.name


def test_an_engine_that_holds_the_parts_is_taken_up_to_what_they_save():
    holder = make_one(
        name="holder", backlog=0.01, running=1, slots=48, is_near=True, holds_parts=True
    )
    assert choose([holder, *make(1, backlog=0.02)], shared=0.03).name == "holder"
    late = make_one(
        name="holder", backlog=0.2, running=1, slots=48, is_near=True, holds_parts=True
    )
    assert choose([late, *make(8)], shared=0.03).name != "holder"


def test_equal_endpoints_are_shared_between_entries():
    """All entries see the same idle endpoints at the same moment."""
    chosen = collections.Counter(
        choose(make(3), affinity="", spread=f"entry{number}").name
        for number in range(60)
    )
    assert len(chosen) == 3


def test_a_slow_endpoint_gets_less():
    """One of three takes ten times as long; its requests pile up."""
    running = collections.Counter()
    dice = random.Random(1)
    counts = collections.Counter()
    for _ in range(600):
        candidates = [
            make_one(
                name=name,
                backlog=running[name] * 0.05,
                running=running[name],
                slots=6,
                is_near=True,
            )
            for name in ("e0", "e1", "slow")
        ]
        name = choose(candidates, affinity="", reading=0.05, shared=0.0).name
        counts[name] += 1
        running[name] += 1
        for one in ("e0", "e1", "slow"):
            if running[one] and dice.random() < (0.04 if one == "slow" else 0.4):
                running[one] -= 1
    assert counts["slow"] < 0.25 * counts["e0"]


def test_a_shunned_endpoint_is_the_last_resort():
    bad = make_one(
        name="bad", backlog=0.0, running=0, slots=48, is_near=True, is_shunned=True
    )
    assert choose([bad, *make(1, backlog=3.0)], affinity="").name == "e0"
    assert choose([bad], affinity="").name == "bad"
