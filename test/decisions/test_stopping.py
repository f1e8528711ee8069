"""What a process takes that is going to end."""

from hypothesis import given
from hypothesis import strategies as st

from eelgrassrack.decisions.stopping import may_take

seconds = st.floats(min_value=0.0, max_value=60.0)


@given(left=seconds, limit=seconds)
def test_nothing_is_taken_that_may_outlast_the_process(left, limit):
    """An answer is passed on as it comes, and the process ends in its middle."""
    assert may_take(left=left, limit=limit) == (limit <= left)
