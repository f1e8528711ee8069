"""How urgent a request is to the engine that reads its prompt.

Load pattern: after faults a few engines carry the work of all, and prompts
wait seconds to be read.  They differ by a factor of fifty, and by ten more
between models.  Read in the order of their arrival, short ones wait behind
long ones and all are late.  Read shortest first, the short ones, which take a
tenth of the engines' time, are hardly held up, and the long ones lose little.

The operators' ranks come first: size decides among requests of equal rank.
"""

import bisect

# Seconds of reading from which a request is of middle size, and from which it
# is long.  Questions and checks take 5 to 25 ms with the cheapest model, long
# documents 80 to 110 ms; with the best model everything but a question is long.
SIZE_SECONDS = (0.03, 0.15)

SIZES = len(SIZE_SECONDS) + 1

# Engines know ten ranks.
RANKS = 10
LEAST_URGENT = RANKS - 1


def find_urgency(*, rank: int, reading: float, is_deprioritised: bool = False) -> int:
    """Return the rank for an engine, 0 for the most urgent, 9 for the least.

    `rank` is the operators' rank, `reading` the seconds to read the prompt.
    What `is_deprioritised` stands with the longest of its rank.
    """
    size = SIZES - 1 if is_deprioritised else bisect.bisect_right(SIZE_SECONDS, reading)
    return min(max(rank, 0) * SIZES + size, LEAST_URGENT)
