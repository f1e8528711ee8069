"""Tests of how slow endpoints are found out."""

import random

from eelgrassrack.decisions.engines import EngineCandidate, ReadingTime, choose_engine
from eelgrassrack.decisions.slowness import Timing, find_slow


def watch(*, slow=(), factor=4.0, answers=6, seed=1, spread=0.5, count=24):
    """Return timings of endpoints, of which some are slow."""
    dice = random.Random(seed)
    timings = {}
    for number in range(count):
        name = f"e{number}"
        timing = Timing()
        for _ in range(answers):
            seen = 0.1 * dice.lognormvariate(0.3, spread)
            seen *= factor if name in slow else 1.0
            timing = timing.note(seen=seen, expected=0.1)
        timings[name] = timing
    return timings


def test_slow_endpoints_are_found_with_a_few_answers():
    """Three of 24 endpoints answer well, four times as late as the others.

    Nothing fails, so that no probe and no count of failures tells of it.
    """
    slow = {"e3", "e9", "e20"}
    for seed in range(30):
        found = find_slow(watch(slow=slow, seed=seed))
        assert slow <= found.keys()
        assert all(2.0 < found[name] < 6.0 for name in slow)


def test_sound_endpoints_are_hardly_taken_for_slow():
    """Prompts differ, so that sound endpoints look unlike by chance."""
    wrong = [len(find_slow(watch(seed=seed))) for seed in range(50)]
    assert sum(wrong) <= 0.02 * 50 * 24


def test_an_expectation_that_is_wrong_for_all_makes_none_slow():
    """All endpoints of a service take three times what was expected."""
    timings = watch(slow={f"e{number}" for number in range(24)}, spread=0.2)
    assert not find_slow(timings)


def test_a_few_answers_judge_nobody():
    assert not find_slow(watch(slow={"e1"}, answers=1))
    assert not find_slow(watch(slow={"e1"}, count=2))


def test_an_endpoint_that_is_fast_again_is_forgiven():
    """The slow phase is over; its callers must not be sent elsewhere for long."""
    timings = {name: timing.fade(2.0) for name, timing in watch(slow={"e1"}).items()}
    assert "e1" not in find_slow(
        {
            name: timing.note(seen=0.1, expected=0.1).note(seen=0.1, expected=0.1)
            for name, timing in timings.items()
        }
    )


def test_a_slow_endpoint_gets_only_what_pays():
    """A prompt that takes 50 ms elsewhere would take 200 ms at the slow one."""

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
