"""Tests of the sampling of answers for rating."""

import pytest

from eelgrassrack.decisions.sampling import find_sample_share


def test_versions_get_as_many_ratings_within_the_budget():
    """With uniform sampling, a version at a tenth would get one rating in fifty."""
    shares = {"m/old": 0.9, "m/new": 0.1}
    rated = {
        version: share * find_sample_share(version=version, shares=shares, budget=0.2)
        for version, share in shares.items()
    }
    assert rated["m/new"] == pytest.approx(rated["m/old"])
    assert sum(rated.values()) == pytest.approx(0.2)


@pytest.mark.parametrize(
    ("version", "shares", "part"),
    [
        ("m/one", {"m/one": 1.0}, 0.2),
        ("m/new", {"m/old": 0.99, "m/new": 0.01}, 1.0),
        ("m/new", {"m/old": 1.0, "m/new": 0.0}, 0.2),
        ("m/old", {"m/old": 1.0, "m/new": 0.0}, 0.2),
    ],
)
def test_bounds(version, shares, part):
    found = find_sample_share(version=version, shares=shares, budget=0.2)
    assert found == pytest.approx(part)
