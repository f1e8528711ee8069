"""Compares the decisions with simple rules on random deployments."""

import functools

import pytest

from .deployments import (
    BASELINES,
    choose_ours,
    draw,
    place_in_turn,
    place_on_least_busy,
    place_ours,
    play,
)

SEEDS = range(12)

# A simple rule may do better by this share of the total worth: one request in two
# hundred.
NOISE = 0.005


@functools.cache
def get(seed):
    return draw(seed)


def find_gain(seed, choose_model, choose_place):
    """Return worth minus cost, as a share of the total worth of all requests."""
    deployment = get(seed)
    total = play(deployment, choose_model=choose_model, choose_place=choose_place)
    total_worth = sum(request.worth for request in deployment.requests)
    return (total.worth - total.cost) / total_worth


@functools.cache
def find_ours(seed):
    return find_gain(seed, choose_ours, place_ours)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", BASELINES)
def test_no_simple_rule_does_better(seed, name):
    """Engines, speeds, models, costs, sizes and load are drawn at random.

    If a one-line rule did better, the decisions would be tuned to one deployment.
    """
    assert find_ours(seed) >= find_gain(seed, *BASELINES[name]) - NOISE


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("choose_place", [place_on_least_busy, place_in_turn])
def test_no_simple_placement_does_better_with_the_same_models(seed, choose_place):
    """Only the choice of the engine differs."""
    gain = find_gain(seed, choose_ours, choose_place)
    assert find_ours(seed) >= gain - NOISE
