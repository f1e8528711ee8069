"""Graceful shutdown: which requests a stopping process still accepts.

When all entries of a failure domain are stopped shortly after each other, as for an
update, the balancer finds too few of them ready and keeps sending callers to those that
are stopping.  Requests that arrive before an entry has left the rotation are served as
usual, until the process ends.  This module decides about the requests after that.

Only a request's own time limit bounds its duration.  The estimate doesn't: an endpoint
may be slower than expected, stop responding, or have so little confidence in its answer
that another is asked, and the process would end in the middle of the answer.  A request
is therefore accepted if its limit ends before the process does.  Otherwise it is
refused at once, while it certainly hasn't run.  If an answer can be held back until it
is complete, the request may also be accepted by the estimate.  If the estimate was
wrong, the caller gets a failure that says so, and no answer is cut off.

A refused caller has few attempts.  If it retried at once while almost all entries are
stopping, it would reach another one that refuses; if it waited until they are back, it
would be served late.
"""

import enum

import msgspec

# A request is accepted by its estimate only if the remaining time is this multiple of
# the estimate; otherwise another entry should serve it.
SPARE_FACTOR = 1.3

# Retry times: the first one if another entry can serve the caller now, the second one
# if a stopped entry must come back, that is end, start, and pass the balancer's check.
SOON_SECONDS = 0.3
BACK_SECONDS = 2.0

# If fewer than this share of a failure domain's entries are ready, but at least one,
# the balancer sends callers to all of them, ready or not.
READY_SHARE = 0.5


class Readiness(msgspec.Struct, kw_only=True, frozen=True):
    """The number of entries that are ready.

    `near` counts all entries of the same failure domain, including this one,
    `near_ready` those of them that are ready, `far_ready` the ready entries of other
    domains.
    """

    near: int
    near_ready: int
    far_ready: int


def may_take(*, remaining: float, limit: float) -> bool:
    """Return whether a request is certain to be answered before the process ends.

    `remaining` is the seconds until the process ends, `limit` the seconds after which
    the request is answered in any case.
    """
    return limit <= remaining


class DrainAction(enum.Enum):
    """What a stopping process does with a request."""

    RELAY = "its answer is passed on as it comes"
    HOLD = "its answer is kept back until it is whole"
    REFUSE = "it isn't taken"


def choose_drain_action(
    *, remaining: float, limit: float, expected: float, is_repeatable: bool
) -> DrainAction:
    """Return what a stopping process does with a request whose answer it can hold back.

    `expected` is the estimated duration in seconds.  A request that may not be repeated
    is never accepted by its estimate, since its caller couldn't retry.
    """
    if may_take(remaining=remaining, limit=limit):
        return DrainAction.RELAY
    if is_repeatable and expected * SPARE_FACTOR <= remaining:
        return DrainAction.HOLD
    return DrainAction.REFUSE


def find_retry_after(readiness: Readiness) -> float:
    """Return the seconds after which a refused caller should retry."""
    if readiness.near_ready >= readiness.near * READY_SHARE:
        return SOON_SECONDS
    if not readiness.near_ready and readiness.far_ready:
        return SOON_SECONDS
    return BACK_SECONDS
