"""How long an endpoint that is up may be silent on one request.

Load pattern: an endpoint takes requests and never answers some of them, while
its health probes and all others are fine.  Without this module their callers
wait until their time is over, and hardly any of that time was needed.

Only what may be repeated is sent elsewhere, and its old run is stopped first.
An endpoint that is only busy must not be left too soon: its work would be
thrown away just when there is little to spare.  The limit therefore follows
the estimate, which grows with the endpoint's queue.
"""

# The first piece may take this many times what was estimated, and more.
FIRST_FACTOR = 4.0
LEAST_FIRST_SECONDS = 0.4
LEAST_READING_SECONDS = 1.0

# A stream may pause this many times as long as its route wants it to; an engine
# that runs out of memory puts a stream back for a second or so.
GAP_FACTOR = 2.0
LEAST_GAP_SECONDS = 1.5


def find_first_timeout(*, expected: float, has_prompt: bool) -> float:
    """Return the longest wait for the first piece, in seconds."""
    least = LEAST_READING_SECONDS if has_prompt else LEAST_FIRST_SECONDS
    return expected * FIRST_FACTOR + least


def find_gap_timeout(*, wanted: float) -> float:
    """Return the longest pause within a stream, in seconds."""
    return max(wanted * GAP_FACTOR, LEAST_GAP_SECONDS)
