"""Tests of the choice between a route's models."""

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


def test_unrepeatable_requests_begin_with_the_best():
    assert first(is_repeatable=False) == "large"
    assert first(attempts=1) == "large"


def test_a_long_prompt_begins_with_the_best():
    """Asking another model first would make the best model's answer late."""
    assert first(objective=0.5) == "large"
    assert first(objective=0.3) == "small"


def test_a_long_prompt_begins_with_the_cheapest_if_both_are_in_time():
    """Contracts are long prompts, and more than half of them need no better model.

    If they began with the best model, all of them would pay for it.
    """
    assert first(objective=0.6) == "small"


def test_the_best_begins_only_with_time_to_spare():
    """Guards against very long prompts that the best model answers barely too late.

    More than half of them have an answer in time from the cheapest.
    """
    assert first(objective=0.45) == "small"
    assert first(objective=0.48) == "large"


def test_a_queue_for_the_cheapest_leaves_no_time_for_both():
    def waits(model):
        wait = 0.1 if model == "small" else 0.0
        return Estimate(SECONDS[model] + wait, wait)

    assert first(waits, objective=0.6) == "large"


def test_a_confident_answer_is_accepted():
    assert following(60) is None
    assert following(None) is None


def test_confidence_decides_between_the_next_and_the_best():
    assert following(50) == "middle"
    assert following(20) == "large"
    assert following(20, model="middle") == "large"


def test_the_best_models_answer_is_always_accepted():
    assert following(0, model="large") is None


def test_under_overload_no_better_model_is_asked():
    """Engines have five seconds of prompts to read.

    Each run of the best model would take the engine time of ten others and end late.
    """
    assert following(20, estimate=full) is None


def test_an_idle_engine_answers_though_late():
    """A very long prompt is late anyway, and a wrong answer would be worthless."""
    assert following(20, estimate=lambda _: Estimate(9.0, 0.0)) == "large"


def test_a_better_answer_must_complete_in_time():
    """A fault delayed a caller, which retries with five seconds left.

    The best model would be cut off in the middle of its answer.
    """

    def slow(model):
        return Estimate(SECONDS[model], 0.0, {"large": 6.0}.get(model, 2.0))

    assert following(20, estimate=slow) == "large"
    assert following(20, estimate=slow, remaining=5.0) is None
    assert following(50, estimate=slow, remaining=5.0) == "middle"


def test_a_short_prompt_gets_a_better_model_though_engines_have_a_queue():
    """A third of the engines has failed; the others have half a second to read.

    The best model reads a short prompt in a few hundredths of a second, and the
    cheapest model's answer, which is known to be wrong, would be worthless.
    """

    def busy(model):
        return Estimate(0.6, 0.5)

    def busy_and_long(model):
        return Estimate(0.9, 0.5)

    assert following(20, estimate=busy) == "large"
    assert following(20, estimate=busy_and_long) is None
    assert following(20, estimate=lambda model: Estimate(2.1, 2.0)) is None
