"""Which requests a process still takes that is going to end.

Load pattern: all entries of a failure domain are stopped one soon after the
other, as for an update.  The balancer finds too few of them ready and goes on
sending callers to those that are stopping.  What comes before an entry has left
the rotation is served as ever, and has until the process ends; here it is decided
what may still come afterwards.

Only a request's own time limit bounds how long it takes.  How long it will
most likely take is no bound: an endpoint may be slower than expected, fall
silent, or be unsure so that another is asked, and the process would end in the
middle of an answer.  So a request is taken if its limit is over before the
process ends, and refused at once otherwise, while it surely hasn't run.  Where
an answer can be kept back until it is whole, one may also be taken by an estimate:
if that was wrong its caller gets a failure that says so, and nothing is cut.

A caller that is refused has few tries.  Sent on at once while next to all entries
are stopping, it meets the next one that refuses; told to come when they are
back, it is served late.
"""

import enum

import msgspec

# What isn't expected to be whole with this part of the time to spare is better
# asked of another entry.
SPARE_FACTOR = 1.3

# A caller comes to another entry soon, or once one that was stopped is back: it
# has to end, to start, and to be asked by the balancer.
SOON_SECONDS = 0.3
BACK_SECONDS = 2.0

# The balancer sends callers to all entries of a failure domain, ready or not, if
# fewer than this part of them are ready, unless none is.
READY_SHARE = 0.5


class Readiness(msgspec.Struct, kw_only=True, frozen=True):
    """How many entries are ready.

    `near` are all entries of the same failure domain, this one among them,
    `near_ready` those of them that are ready, `far_ready` those of others.
    """

    near: int
    near_ready: int
    far_ready: int


def may_take(*, remaining: float, limit: float) -> bool:
    """Tell whether a request surely has its answer before the process ends.

    `remaining` is the seconds until then, `limit` those after which the request is
    answered whatever has become of it.
    """
    return limit <= remaining


class DrainAction(enum.Enum):
    """On what terms a request is taken."""

    RELAY = "its answer is passed on as it comes"
    HOLD = "its answer is kept back until it is whole"
    REFUSE = "it isn't taken"


def choose_drain_action(
    *, remaining: float, limit: float, expected: float, is_repeatable: bool
) -> DrainAction:
    """Return on what terms a process takes a request whose answer it can keep back.

    `expected` is the estimate of the seconds that it takes.  What may not be
    repeated isn't taken by an estimate: its caller couldn't ask again.
    """
    if may_take(remaining=remaining, limit=limit):
        return DrainAction.RELAY
    if is_repeatable and expected * SPARE_FACTOR <= remaining:
        return DrainAction.HOLD
    return DrainAction.REFUSE


def find_retry_after(readiness: Readiness) -> float:
    """Return after how many seconds a refused caller best comes again."""
    if readiness.near_ready >= readiness.near * READY_SHARE:
        return SOON_SECONDS
    if not readiness.near_ready and readiness.far_ready:
        return SOON_SECONDS
    return BACK_SECONDS
