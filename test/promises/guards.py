"""Marks tests that show why a guarding rule is needed."""

import pytest

from .world import PromiseBroken

# A test so marked switches a rule off, and its scenario must then break its
# promise.  Any other failure, such as a step that times out, fails the test.
breaks_promise = pytest.mark.xfail(
    raises=PromiseBroken, strict=True, reason="the guarding rule is switched off"
)
