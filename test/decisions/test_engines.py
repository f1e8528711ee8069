"""Tests of the choice of an engine."""

import collections
import random

from eelgrassrack.decisions.engines import EngineCandidate, ReadingTime, choose_engine


def make(count, **rest):
    return [make_one(name=f"e{number}", **rest) for number in range(count)]


def make_one(*, name, backlog=0.0, running=0, slots=48, is_near=True, **rest):
    """Return an engine whose whole backlog is as urgent as the request."""
    return EngineCandidate(
        name=name,
        wait=backlog,
        burden=backlog,
        running=running,
        slots=slots,
        is_near=is_near,
        **rest,
    )


def choose(
    candidates,
    *,
    reading=0.05,
    shared=0.02,
    affinity="part",
    spread="one",
    remaining=0.0,
):
    return choose_engine(
        candidates=candidates,
        reading=ReadingTime(whole=reading, shared=shared),
        affinity=affinity,
        spread=spread,
        remaining=remaining,
    )


def test_entries_agree_where_a_shared_part_goes():
    chosen = {choose(make(9), spread=f"entry{number}").name for number in range(20)}
    assert len(chosen) == 1


def test_a_hot_part_spreads_once_its_engine_has_a_queue():
    """A fifth of all requests share one prefix; its engine alone would fill up."""
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
    """An engine reads a prompt for two seconds; other requests there would wait."""
    busy = make(1, backlog=2.0, holds_parts=True)[0]
    others = [one for one in make(9) if one.name != busy.name]
    for number in range(50):
        chosen = choose([busy, *others], affinity=f"part{number}", reading=0.01)
        assert chosen.name != busy.name


def test_an_engine_with_a_cached_prefix_is_preferred_by_what_it_saves():
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
    rng = random.Random(1)
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
            if running[one] and rng.random() < (0.04 if one == "slow" else 0.4):
                running[one] -= 1
    assert counts["slow"] < 0.25 * counts["e0"]


def test_an_avoided_endpoint_is_the_last_resort():
    bad = make_one(
        name="bad", backlog=0.0, running=0, slots=48, is_near=True, is_avoided=True
    )
    assert choose([bad, *make(1, backlog=3.0)], affinity="").name == "e0"
    assert choose([bad], affinity="").name == "bad"


def make_far(name, **rest):
    return make_one(name=name, is_near=False, **rest)


def test_a_request_with_slack_stays_in_its_domain():
    """Engines of all domains are nearly idle, and bytes between domains cost money.

    The near engine would answer a few milliseconds later, well within the objective.
    """
    near = make_one(name="near", backlog=0.01)
    idle = [make_far(f"far{number}") for number in range(4)]
    assert choose([near, *idle], remaining=2.0, affinity="").name == "near"
    assert choose([near, *idle], remaining=0.0, affinity="").name != "near"


def test_a_queue_in_a_domain_overflows_to_others():
    """A third of the callers reach the domain that has a fifth of the engines."""
    near = make_one(name="near", backlog=0.5)
    assert choose([near, make_far("far")], remaining=1.0).name == "far"


def test_a_long_prompt_goes_where_it_is_read_first():
    """Shorter prompts that arrive later are read before a long one.

    The only engine of its domain gets all of them, so the caller would wait too long.
    """
    near = make_one(name="near", backlog=0.02)
    chosen = choose([near, make_far("far")], remaining=2.0, reading=0.8, shared=0.0)
    assert chosen.name == "far"


def test_each_domain_has_its_own_holder_of_a_shared_part():
    """With one holder for all, two thirds of the prompts would cross domains."""
    engines = [f"e{number}" for number in range(9)]

    def find_holder(domain):
        return choose(
            [
                make_one(name=name, is_near=number % 3 == domain)
                for number, name in enumerate(engines)
            ],
            remaining=1.0,
        ).name

    holders = [find_holder(domain) for domain in range(3)]
    assert [engines.index(one) % 3 for one in holders] == [0, 1, 2]
