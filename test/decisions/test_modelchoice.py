"""Tests of the choice of models."""

from eelgrassrack.decisions.modelchoice import Estimate, choose_first, choose_next

MODELS = ("small", "middle", "large")
SECONDS = {"small": 0.04, "middle": 0.08, "large": 0.4}


def idle(model):
    return Estimate(SECONDS[model], 0.0)


def full(model):
    return Estimate(SECONDS[model] + 5.0, 5.0)


def first(estimate=idle, objective=2.0, attempts=3, is_repeatable=True):
    return choose_first(
        models=MODELS,
        attempts=attempts,
        is_repeatable=is_repeatable,
        objective=objective,
        remaining=19.0,
        estimate=estimate,
    )


def following(confidence, model="small", estimate=idle, remaining=19.0):
    return choose_next(
        models=MODELS,
        model=model,
        confidence=confidence,
        objective=2.0,
        remaining=remaining,
        estimate=estimate,
    )


def test_the_cheapest_begins():
    assert first() == "small"


def test_what_may_run_once_only_begins_with_the_best():
    assert first(is_repeatable=False) == "large"
    assert first(attempts=1) == "large"


def test_a_long_prompt_begins_with_the_best():
    """Asking another model first would make its answer late."""
    assert first(objective=0.5) == "large"
    assert first(objective=0.3) == "small"


def test_a_long_prompt_begins_with_the_cheapest_if_both_are_in_time():
    """A contract is long, and more than half of them need no better model.

    Asked at once, the best one is paid for all of them.
    """
    assert first(objective=0.6) == "small"


def test_a_queue_for_the_cheapest_leaves_no_time_for_both():
    def waits(model):
        wait = 0.1 if model == "small" else 0.0
        return Estimate(SECONDS[model] + wait, wait)

    assert first(waits, objective=0.6) == "large"


def test_a_sure_answer_is_taken():
    assert following(60) is None
    assert following(None) is None


def test_a_little_unsure_goes_to_the_next_and_far_to_the_best():
    assert following(50) == "middle"
    assert following(20) == "large"
    assert following(20, model="middle") == "large"


def test_the_best_answer_is_taken_however_unsure():
    assert following(0, model="large") is None


def test_under_overload_better_models_give_way():
    """Engines have five seconds to read.

    Each run of the best model would take the time of ten others, and come late.
    """
    assert following(20, estimate=full) is None


def test_an_idle_engine_answers_though_late():
    """A very long prompt is late anyway; a wrong answer would be worth nothing."""
    assert following(20, estimate=lambda _: Estimate(9.0, 0.0)) == "large"


def test_a_better_answer_must_become_whole_in_time():
    """A caller was held up by a fault and comes back with five seconds left.

    The best model would be cut off in the middle of its answer.
    """

    def slow(model):
        return Estimate(SECONDS[model], 0.0, {"large": 6.0}.get(model, 2.0))

    assert following(20, estimate=slow) == "large"
    assert following(20, estimate=slow, remaining=5.0) is None
    assert following(50, estimate=slow, remaining=5.0) == "middle"


def test_a_short_prompt_gets_a_better_model_though_engines_have_a_queue():
    """A third of the engines is gone, and the others have half a second to read.

    A short prompt takes the best model a few hundredths of a second; the cheapest
    model's answer, known to be wrong, would be worth nothing to its caller.
    """

    def busy(model):
        return Estimate(0.6, 0.5)

    def busy_and_long(model):
        return Estimate(0.9, 0.5)

    assert following(20, estimate=busy) == "large"
    assert following(20, estimate=busy_and_long) is None
    assert following(20, estimate=lambda model: Estimate(2.1, 2.0)) is None
