"""Factors that decisions derive from the document's policy weights.

One user's callers wait at a garage's bay, another's drafts may take long but must not
be wrong; without the weights both would get the same compromise.  Only the ratios of
the weights matter; equal weights yield factors of 1.
"""

from ..document.sections import Policy

# Bounds of the ratios, so that a weight of zero doesn't disable a mechanism entirely.
MIN_RATIO = 0.2
MAX_RATIO = 5.0


def weigh_latency(policy: Policy) -> float:
    """Return the weight of latency relative to cost."""
    return _divide(policy.latency, policy.cost)


def weigh_speed(policy: Policy) -> float:
    """Return the weight of latency relative to exposure to bad answers."""
    return _divide(policy.latency, policy.exposure)


def weigh_exposure(policy: Policy) -> float:
    """Return the weight of exposure to bad answers relative to cost and latency."""
    return _divide(policy.exposure, (policy.cost + policy.latency) / 2)


def _divide(weight: float, other: float) -> float:
    """Return the bounded ratio of two weights, 1 if both are zero."""
    if weight <= 0 and other <= 0:
        return 1.0
    if other <= 0:
        return MAX_RATIO
    return min(max(weight / other, MIN_RATIO), MAX_RATIO)
