"""Which requests a process still takes that is going to end.

Load pattern: all entries of a failure domain are stopped one soon after the
other, as for an update.  The balancer finds too few of them ready and goes on
sending callers to those that are stopping.

Only a request's own time limit bounds how long it takes.  How long it will
most likely take is no bound: an endpoint may be slower than expected, fall
silent, or be unsure so that another is asked, and the process would end in the
middle of an answer.  So a request is taken if its limit is over before the
process ends, and refused at once otherwise, while it surely hasn't run.
"""


def may_take(*, left: float, limit: float) -> bool:
    """Tell whether a request surely has its answer before the process ends.

    `left` is the seconds until then, `limit` those after which the request is
    answered whatever has become of it.
    """
    return limit <= left
