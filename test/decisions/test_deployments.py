"""Compares the decisions with simple rules on random deployments."""

import functools

import pytest

from .deployments import (
    BASELINES,
    choose_model_under_test,
    draw,
    place_in_turn,
    place_on_least_busy,
    place_under_test,
    play,
)

SEEDS = range(12)

# A simple rule may do better by this share of the total worth: one request in two
# hundred.
NOISE = 0.005


@functools.cache
def draw_once(seed):
    return draw(seed)


def find_gain(seed, choose_model, choose_placement):
    """Return worth minus cost, as a share of the total worth of all requests."""
    deployment = draw_once(seed)
    total = play(
        deployment, choose_model=choose_model, choose_placement=choose_placement
    )
    total_worth = sum(request.worth for request in deployment.requests)
    return (total.worth - total.cost) / total_worth


@functools.cache
def find_gain_under_test(seed):
    return find_gain(seed, choose_model_under_test, place_under_test)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", BASELINES)
def test_no_simple_rule_does_better(seed, name):
    """Engines, speeds, models, costs, sizes and load are drawn at random.

    If a one-line rule did better, the decisions would be tuned to one deployment.
    """
    assert find_gain_under_test(seed) >= find_gain(seed, *BASELINES[name]) - NOISE


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("choose_placement", [place_on_least_busy, place_in_turn])
def test_no_simple_placement_does_better_with_the_same_models(seed, choose_placement):
    """Only the choice of the engine differs."""
    gain = find_gain(seed, choose_model_under_test, choose_placement)
    assert find_gain_under_test(seed) >= gain - NOISE
