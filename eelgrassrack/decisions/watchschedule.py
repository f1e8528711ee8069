"""The schedule of store watches: how long a watch waits before it is renewed.

A store that loses its history may leave pending watches without notifications; each
entry then learns of changes only from its next call.  With long watches an endpoint
that leaves would get requests far beyond the two seconds that it stays.  With short
watches every entry would pay for a call per second all day, as much as for half of its
memory.

Entries therefore take turns.  Their watches end one after the other at equal intervals,
and an entry that finds changes notifies the others at once.  The turns follow the time
of day, so an entry whose clock is wrong only loses its own turn.
"""

# Interval between two turns, relative to the time in which a change must take effect,
# so that this time is met even if one entry's turn is missing.
TURN_SHARE = 0.4

# Upper bound of a watch with many entries: the network may drop connections that are
# silent for longer.
MAX_WAIT_SECONDS = 20.0

# A turn that is due sooner is skipped until the next round.
MIN_WAIT_SECONDS = 0.3


def find_wait(*, bound: float, entries: int, rank: int, time_of_day: float) -> float:
    """Return the seconds that the next watch waits.

    `bound` is the seconds within which a change must take effect, `rank` this entry's
    position among the `entries` that watch, `time_of_day` the clock in seconds.
    """
    turn = bound * TURN_SHARE
    period = min(turn * max(entries, 1), MAX_WAIT_SECONDS)
    own = period * rank / max(entries, 1)
    wait = (own - time_of_day) % period
    return wait if wait >= MIN_WAIT_SECONDS else wait + period
