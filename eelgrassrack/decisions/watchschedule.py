"""How long a watch of the store waits before it is called anew.

Load pattern: a store that forgets its history may leave waiting watches deaf:
changes are made, no watch is told, and each finds out at its next call.  If
watches waited long, an endpoint that leaves would get work far beyond the two
seconds that it stays; if all waited shortly, each entry would pay for a call a
second all day, as much as for half of its memory.

Entries therefore take turns.  Their watches end one after the other at even
distances, and one that finds changes tells the others at once.  The turns
follow the time of day: where a clock is off, only its turn is lost.
"""

# The distance between two turns is this part of the time in which a change
# must be in force, so that it still holds with one entry in a row missing.
TURN_SHARE = 0.4

# With many entries a watch still doesn't wait longer than this, since a path
# in between may drop a connection that is silent for long.
LONGEST_WAIT = 20.0

# A turn that is due sooner than this is left to the next round.
SHORTEST_WAIT = 0.3


def find_wait(*, bound: float, entries: int, rank: int, time_of_day: float) -> float:
    """Return for how many seconds to wait.

    `bound` is in seconds; `rank` is this entry's place among `entries` live
    ones.
    """
    turn = bound * TURN_SHARE
    period = min(turn * max(entries, 1), LONGEST_WAIT)
    own = period * rank / max(entries, 1)
    wait = (own - time_of_day) % period
    return wait if wait >= SHORTEST_WAIT else wait + period
