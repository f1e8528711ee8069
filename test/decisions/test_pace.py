"""Tests of the estimates of how fast models read prompts and generate answers."""

import random

import pytest

from eelgrassrack.decisions.pace import Pace, PaceReport

# Seconds that an engine takes before the first token, and per token read by a model.
BASE = 0.048
TRUE_PACES = {"small": 0.0065e-3, "large": 0.028e-3}
COSTS = {"small": 1.0, "large": 14.4}

PROMPTS = (800, 2_400, 11_500, 25_000, 50_000)


def teach(pace, model, *, count, prompts=PROMPTS, seed=1, queue=0.0):
    """Note answers of idle engines, a few of them delayed by unknown requests."""
    rng = random.Random(seed)
    for _ in range(count):
        tokens = int(rng.choice(prompts) * rng.uniform(0.7, 1.3))
        delay = rng.expovariate(1 / queue) if queue and rng.random() < 0.2 else 0.0
        seconds = BASE + TRUE_PACES[model] * tokens + delay
        pace.note(model=model, cost=COSTS[model], tokens=tokens, seconds=seconds)


def estimate(pace, model, tokens):
    return pace.estimate(model=model, cost=COSTS[model], tokens=tokens)


def test_a_slowed_engine_is_noticed():
    pace = Pace()
    teach(pace, "small", count=50)
    for _ in range(60):
        pace.note(model="small", cost=1.0, tokens=20_000, seconds=0.4)
    assert estimate(pace, "small", 20_000) == pytest.approx(0.35, rel=0.25)


def test_a_pace_is_never_negative():
    """Short prompts were delayed, long ones weren't."""
    pace = Pace()
    for _ in range(100):
        pace.note(model="small", cost=1.0, tokens=500, seconds=1.0)
        pace.note(model="small", cost=1.0, tokens=30_000, seconds=0.05)
    assert estimate(pace, "small", 30_000) > 0


@pytest.mark.parametrize("model", COSTS)
def test_short_prompts_don_t_make_long_ones_seem_longer(model):
    """Guards against long prompts that begin with a model that can't answer in time.

    Nine prompts of ten are short, and most of their time isn't spent on reading.
    """
    pace = Pace()
    short = (300, 450, 600, 800, 1_100, 1_500, 2_000)
    teach(pace, model, count=300, prompts=(*short, *short, 9_000), queue=0.03)
    truth = TRUE_PACES[model] * 40_000
    assert estimate(pace, model, 40_000) == pytest.approx(truth, rel=0.25)


def test_the_base_is_learned_from_short_prompts():
    """The first token takes half as long again as assumed, whatever is read."""
    pace = Pace()
    teach(pace, "small", count=60, prompts=(200, 300))
    assert pace.base_seconds == pytest.approx(BASE, rel=0.15)


def test_a_silent_engine_doesn_t_spoil_the_base():
    """One answer in twenty comes after a minute, since its engine was cut off."""
    pace = Pace()
    for number in range(200):
        seconds = 60.0 if number % 20 == 0 else BASE
        pace.note(model="small", cost=1.0, tokens=200, seconds=seconds)
    assert pace.base_seconds == pytest.approx(BASE, rel=0.25)


def test_streams_are_learned_by_model():
    pace = Pace()
    for _ in range(50):
        pace.note_stream(model="small", tokens=300, seconds=1.5)
        pace.note_stream(model="large", tokens=300, seconds=6.0)
    assert pace.estimate_stream(model="small", tokens=100) == pytest.approx(0.5)
    assert pace.estimate_stream(model="large", tokens=100) == pytest.approx(2.0)


def test_an_entry_that_has_just_started_soon_knows_a_fast_engine():
    """An entry starts under load, and engines are four times as fast as guessed.

    Until it has learned that, long prompts seem to leave no time for asking a cheap
    model first.
    """
    pace = Pace()
    guess = estimate(pace, "large", 20_000)
    assert guess > 3 * TRUE_PACES["large"] * 20_000
    teach(pace, "large", count=4)
    assert estimate(pace, "large", 20_000) < 2 * TRUE_PACES["large"] * 20_000


def teach_peers(count, *, answers, queue=0.0):
    """Return the reports of entries that have each seen a few answers."""
    reports = []
    for number in range(count):
        pace = Pace()
        teach(pace, "large", count=answers, seed=number, queue=queue)
        reports += pace.report()
    return reports


def test_an_entry_knows_a_model_that_only_its_neighbours_have_used():
    """Answers to the pattern of a restart under load, with long prompts.

    The best model answers one request in hundreds.  With a guess three times too slow
    long prompts seem to leave no time for it, and their callers get the cheapest
    model's answer, or the best one's late.
    """
    pace = Pace()
    pace.replace_reports(teach_peers(5, answers=2))
    truth = TRUE_PACES["large"] * 20_000
    assert estimate(pace, "large", 20_000) == pytest.approx(truth, rel=0.4)


def test_neighbours_that_start_together_learn_from_one_answer_each():
    """All gateways lost power, so none has learned anything before."""
    pace = Pace()
    pace.replace_reports(teach_peers(12, answers=1))
    truth = TRUE_PACES["large"] * 20_000
    assert estimate(pace, "large", 20_000) == pytest.approx(truth, rel=0.4)


def test_delayed_answers_of_a_neighbour_don_t_slow_the_estimate():
    """Guards against a pace that one entry's long queue makes three times too slow."""
    pace = Pace()
    reports = teach_peers(11, answers=12)
    pace.replace_reports(reports)
    before = estimate(pace, "large", 20_000)
    delayed = PaceReport(reports[0].model, 200_000, 12)
    pace.replace_reports([*reports, delayed])
    assert estimate(pace, "large", 20_000) == pytest.approx(before, rel=0.1)


def test_an_entry_s_own_answers_count_beside_one_neighbour_s():
    """The neighbour has seen one answer, which something delayed."""
    pace = Pace()
    teach(pace, "large", count=12)
    before = estimate(pace, "large", 20_000)
    report = PaceReport(pace.report()[0].model, 90_000, 1)
    pace.replace_reports([report])
    assert estimate(pace, "large", 20_000) == before


def test_reports_replace_each_other():
    pace = Pace()
    guess = estimate(pace, "large", 20_000)
    pace.replace_reports(teach_peers(5, answers=3))
    assert estimate(pace, "large", 20_000) < guess
    pace.replace_reports([])
    assert estimate(pace, "large", 20_000) == guess
    assert pace.report() == ()
