"""Limits that all entries share without asking each other.

Load pattern: endpoints fail, so every entry repeats requests at once; or an
endpoint comes back cold and looks idle to every entry at once.  If each entry
took the whole limit for itself, the sum would be the limit times the number
of entries, and endpoints would fall over.

Each entry holds to its own share.  What is proportional to requests it earns
by the requests that it took itself, so those shares add up by themselves.
The constant part is divided by the number of entries that may be live.  An
entry that doesn't know yet who else is there takes none of it: whatever it
guessed, dozens that start together would guess the same.
"""

import math

# The part of a constant limit that is used: an entry that has just ended may
# have used its share already, and uses it once more after its start.
USED_SHARE = 0.5

# The part that is used of what requests earn.  An entry that starts anew earns
# anew, so only its last repeats outlive the requests that earned them.  Asking
# better models takes much of it, and what is left has to do when endpoints crash.
EARNED_SHARE = 0.9

# The part of a cold endpoint's rate that is used, for the same reasons.
COLD_SHARE = 0.7


def allow_retry(
    *, requests: int, repeats: int, ratio: float, slack: float, entries: int | None
) -> bool:
    """Tell whether one more repeat keeps to the entry's share of the budget.

    `entries` is None while the others aren't known.
    """
    earned = ratio * requests * EARNED_SHARE
    share = slack / max(entries, 1) * USED_SHARE if entries is not None else 0.0
    return repeats + 1 <= earned + share


def share_cold_rate(
    *, rate: float, overage: float, slack: float, entries: int, before: int
) -> int:
    """Return how many requests an entry may send a cold endpoint each second.

    `before` is how many entries may go before this one there.  Where there are
    more entries than requests, each of the first has one: one for each entry
    would be more than the endpoint bears.  One has it in any case, or an endpoint
    that is cold for long would never be tried.
    """
    whole = max(math.floor((rate * overage + slack) * COLD_SHARE), 1)
    return whole // max(entries, 1) or int(before < whole)
