"""How long an idle (kept-alive) connection to an endpoint may be reused.

An endpoint closes idle connections after a timeout that it states in whole seconds, and
requests come in bursts with pauses of seconds between.  A request that is sent just as
the endpoint closes the connection is lost; if it may not be repeated, it fails.
"""

# Assumed timeout of endpoints that state none.
USUAL_SECONDS = 4.0

# Share of the stated timeout for which a connection is reused: stated timeouts are
# rounded to whole seconds, and it takes a moment until a close arrives.
USED_SHARE = 0.7


def choose_idle_seconds(named: float | None) -> float:
    """Return for how many seconds an idle connection may be reused.

    `named` is the endpoint's stated timeout in seconds, or None.
    """
    return (USUAL_SECONDS if named is None else named) * USED_SHARE
