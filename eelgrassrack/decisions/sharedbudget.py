"""Limits that all entries share without coordination.

If endpoints fail, every entry retries at once; if an endpoint returns cold, it looks
idle to every entry at once.  If each entry used the whole limit, the total would be the
limit times the number of entries, and endpoints would crash.

Each entry therefore keeps to its own share.  The part of a limit that is proportional
to requests is earned by the requests that the entry itself accepted, so these shares
add up to the limit.  The constant part is divided by the number of entries that may be
live.  An entry that doesn't know the other entries yet uses none of the constant part:
dozens of entries that start together would all make the same guess.
"""

import math

# Used share of a constant limit.  An entry that has just ended may have used its share
# already, and uses it again after a restart.
USED_SHARE = 0.5

# Used share of the budget that requests earn.  A restarted entry earns anew, so only
# its last repeats outlive the requests that earned them.  Escalation to better models
# takes much of the budget, and the rest must suffice when endpoints crash.
EARNED_SHARE = 0.9

# Used share of a cold endpoint's rate, for the same reasons.
COLD_SHARE = 0.7


def allow_retry(
    *, requests: int, repeats: int, ratio: float, slack: float, entries: int | None
) -> bool:
    """Return whether the entry's share of the budget allows one more repeat.

    `requests` and `repeats` are those of this entry in the budget's time window.  The
    common limit is `ratio` repeats per request plus `slack`.  `entries` is the number
    of entries, None while the others aren't known.
    """
    earned = ratio * requests * EARNED_SHARE
    share = slack / max(entries, 1) * USED_SHARE if entries is not None else 0.0
    return repeats + 1 <= earned + share


def share_cold_rate(
    *, rate: float, overage: float, slack: float, entries: int, before: int
) -> int:
    """Return how many requests per second an entry may send to a cold endpoint.

    The common limit is `rate` times `overage` plus `slack`.  `before` is the number of
    entries that may precede this one at the endpoint.  If there are more entries than
    requests, only the first entries may send one each, since one from every entry would
    be more than the endpoint can handle.  At least one entry always may, otherwise an
    endpoint that stays cold for long would never be tried.
    """
    limit = max(math.floor((rate * overage + slack) * COLD_SHARE), 1)
    return limit // max(entries, 1) or int(before < limit)
