"""The urgency with which an engine reads a request's prompt.

After failures a few engines do the work of all, and prompts wait seconds to be read.
Their reading times differ by a factor of fifty, and by ten more between models.  In
order of arrival, short prompts would wait behind long ones and all would be late.
Shortest first, the short prompts, which take a tenth of the engines' time, are hardly
delayed, and the long ones lose little.

The operators' ranks take precedence; size decides among requests of equal rank.
"""

import bisect

# Reading times from which a request is of medium size and from which it is long.
# Questions and checks take 5 to 25 ms with the cheapest model, long documents 80 to 110
# ms; with the best model everything but a question is long.
SIZE_SECONDS = (0.03, 0.15)

SIZES = len(SIZE_SECONDS) + 1

# Engines support ten ranks.
RANKS = 10
LEAST_URGENT = RANKS - 1


def find_urgency(*, rank: int, reading: float, is_deprioritised: bool = False) -> int:
    """Return the urgency for an engine, from 0 (most urgent) to 9 (least urgent).

    `rank` is the operators' rank, `reading` the seconds to read the prompt.  A
    deprioritised request is treated as the longest of its rank.
    """
    size = SIZES - 1 if is_deprioritised else bisect.bisect_right(SIZE_SECONDS, reading)
    return min(max(rank, 0) * SIZES + size, LEAST_URGENT)
