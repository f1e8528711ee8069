"""Sampling of delivered answers for rating, to monitor a roll-out.

A version at a tenth of the traffic may turn bad while only one answer in five may be
rated.  With uniform sampling, one answer in fifty would be a rated one of that version,
and hundreds of bad answers would be delivered before there was enough evidence.
Versions are compared pair by pair, so ratings are most useful if all versions have
equally many.  More answers of a rare version are therefore rated, up to all of them,
and fewer of a frequent one; the load of the rating service stays the same.
"""

from collections.abc import Mapping


def find_sample_share(
    *, version: str, shares: Mapping[str, float], budget: float
) -> float:
    """Return the share of a version's answers to rate.

    `shares` are the versions' shares of new requests, `budget` is the share of all
    answers that may be rated.
    """
    active = [share for share in shares.values() if share > 0]
    share = shares.get(version, 0.0)
    if share <= 0:
        # The answer belongs to a session whose version gets no new requests any more.
        return budget
    return min(budget / (len(active) * share), 1.0)
