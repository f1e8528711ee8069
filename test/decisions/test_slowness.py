"""Tests of the detection of slow endpoints."""

import random

from eelgrassrack.decisions.engines import EngineCandidate, ReadingTime, choose_engine
from eelgrassrack.decisions.slowness import Timing, find_slow


def make_timings(*, slow=(), factor=4.0, answers=6, seed=1, spread=0.5, count=24):
    """Return timings of endpoints, of which some are slow."""
    rng = random.Random(seed)
    timings = {}
    for number in range(count):
        name = f"e{number}"
        timing = Timing()
        for _ in range(answers):
            seen = 0.1 * rng.lognormvariate(0.3, spread)
            seen *= factor if name in slow else 1.0
            timing = timing.note(seen=seen, expected=0.1)
        timings[name] = timing
    return timings


def test_slow_endpoints_are_found_with_a_few_answers():
    """Three of 24 endpoints answer correctly, but four times as late as the others.

    Nothing fails, so neither probes nor failure counts reveal it.
    """
    slow = {"e3", "e9", "e20"}
    for seed in range(30):
        found = find_slow(make_timings(slow=slow, seed=seed))
        assert slow <= found.keys()
        assert all(2.0 < found[name] < 6.0 for name in slow)


def test_healthy_endpoints_are_rarely_found_slow():
    """Prompts differ, so healthy endpoints differ by chance."""
    wrong = [len(find_slow(make_timings(seed=seed))) for seed in range(50)]
    assert sum(wrong) <= 0.02 * 50 * 24


def test_an_estimate_that_is_wrong_for_all_makes_none_slow():
    """All endpoints of a service take several times as long as expected."""
    timings = make_timings(slow={f"e{number}" for number in range(24)}, spread=0.2)
    assert not find_slow(timings)


def test_a_few_answers_are_not_enough():
    assert not find_slow(make_timings(slow={"e1"}, answers=1))
    assert not find_slow(make_timings(slow={"e1"}, count=2))


def test_an_endpoint_that_is_fast_again_is_forgiven():
    """After the slow phase, callers must soon be sent there again."""
    timings = {
        name: timing.fade(2.0) for name, timing in make_timings(slow={"e1"}).items()
    }
    assert "e1" not in find_slow(
        {
            name: timing.note(seen=0.1, expected=0.1).note(seen=0.1, expected=0.1)
            for name, timing in timings.items()
        }
    )


def test_a_slow_endpoint_is_used_if_it_is_still_faster():
    """A prompt that takes 50 ms elsewhere would take 200 ms at the slow endpoint."""

    def make(name, wait, slowness=1.0):
        return EngineCandidate(
            name=name,
            wait=wait,
            burden=wait,
            running=1,
            slots=48,
            is_near=True,
            slowness=slowness,
        )

    def choose(candidates):
        return choose_engine(
            candidates=candidates,
            reading=ReadingTime(whole=0.05),
            affinity="",
            spread="one",
        )

    slow = make("slow", 0.0, slowness=4.0)
    assert choose([slow, make("sound", 0.1)]).name == "sound"
    found = choose([slow, make("sound", 0.3)])
    assert (found.name, round(found.seconds, 3)) == ("slow", 0.2)
