"""Tests of the timeouts of single requests.

Pattern: an engine that reads a very long prompt makes short ones wait for a second.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrassrack.decisions.modelchoice import IN_TIME_SHARE
from eelgrassrack.decisions.timeouts import find_first_timeout

SECONDS = st.floats(0.0, 20.0)


@pytest.mark.parametrize("objective", [0.5, 1.0, 3.0])
def test_a_short_prompt_leaves_in_time_for_another_endpoint(objective):
    """Guards against answers that are late though other endpoints are idle."""
    expected = 0.05 * objective
    timeout = find_first_timeout(
        expected=expected, has_prompt=True, reading=0.01, objective=objective
    )
    assert timeout + expected <= objective * IN_TIME_SHARE


def test_a_long_prompt_stays():
    """Guards against long prompts that are read in vain under load."""
    long = find_first_timeout(expected=0.5, has_prompt=True, reading=0.4, objective=1.0)
    assert long >= 3.0


@given(expected=SECONDS, reading=SECONDS, objective=SECONDS)
def test_a_busy_endpoint_keeps_its_requests(expected, reading, objective):
    """Guards against requests that leave before a multiple of the expected time."""
    timeout = find_first_timeout(
        expected=expected, has_prompt=True, reading=reading, objective=objective
    )
    assert timeout >= 4 * expected
    usual = find_first_timeout(expected=expected, has_prompt=True)
    assert timeout <= usual
