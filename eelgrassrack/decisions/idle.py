"""How long an idle connection to an endpoint is kept.

Load pattern: requests come in clumps, with pauses of seconds between.  An
endpoint closes an idle connection after a time that it names in whole
seconds.  A request that is sent just as it does so is lost, and one that
may not be repeated then fails for its caller.
"""

# Endpoints that name no time are taken to keep an idle connection this long.
USUAL_SECONDS = 4.0

# The part of the named time for which a connection is used: named times are
# rounded to whole seconds, and the close takes a moment to arrive.
USED_SHARE = 0.7


def choose_idle_seconds(named: float | None) -> float:
    """Return for how many seconds an idle connection may be used."""
    return (USUAL_SECONDS if named is None else named) * USED_SHARE
