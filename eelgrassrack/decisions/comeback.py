"""When callers should come back while their requests can't be served for want of data.

If every entry is restarted while the store is away, none knows the configuration, and
nobody can tell how long that lasts.  A caller has few tries.  One that is told to come
back within half a second uses them up while the store is still away, and gets nothing
though most of its time is left.  Callers with a longer time limit can wait longer, and
those with a short one still come back early enough to be served within it.
"""

import xxhash

# The least Retry-After, in seconds.
LEAST_SECONDS = 0.5

# Share of the time that a caller has left before it should come back.  Callers obey up
# to a third of it.
SHARE_OF_LEFT = 0.25

# Retry-After varies by this part of it, so that callers don't return at one moment.
SPREAD = 0.25


def find_comeback(*, left: float | None, request: str) -> float:
    """Return the seconds after which a refused caller should come back.

    `left` is for how many seconds it still waits, None if it doesn't tell.  `request`
    is its id.
    """
    if left is None:
        return LEAST_SECONDS
    part = xxhash.xxh3_64_intdigest(request.encode()) / 2**64 * 2.0 - 1.0
    return max(left * SHARE_OF_LEFT * (1.0 + SPREAD * part), LEAST_SECONDS)
