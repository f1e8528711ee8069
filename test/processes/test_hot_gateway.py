"""Gateway processes of which one gets most new connections for some seconds."""

import asyncio

import pytest

from bench.hotgateway.play import play
from bench.hotgateway.variants import find_variant

pytestmark = pytest.mark.processes

# The platform's bound: from the contact time on, requests are served at the first try
# that is read at least this much as often as before.
MIN_SERVED_SHARE = 0.75

# How much of the limits of endpoints is used, of which half would do for all requests.
MIN_LIMIT_USE = 0.4

SECONDS = 8.0


def play_variant(name, folder):
    variant = find_variant(name)
    return asyncio.run(play(variant, seed=7, folder=str(folder), seconds=SECONDS))


def test_most_connections_at_one_gateway_while_endpoints_name_limits(tmp_path):
    """Guards against refusals at one gateway while others don't use their shares."""
    outcome = play_variant("limits", tmp_path)
    assert outcome.after.served >= MIN_SERVED_SHARE * outcome.before.served
    assert outcome.limits.excess <= 0.0
    assert outcome.limits.mean >= MIN_LIMIT_USE


def test_most_connections_at_one_gateway_that_is_out_of_processor(tmp_path):
    """Guards against requests that a gateway reads though it can't serve them."""
    outcome = play_variant("core-0.15", tmp_path)
    assert outcome.after.served >= MIN_SERVED_SHARE * outcome.before.served
    assert outcome.after.silent == 0
