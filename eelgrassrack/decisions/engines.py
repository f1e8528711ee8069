"""Which engine or service endpoint a request goes to, at an entry alone.

Load pattern: requests share long prompt parts, a few of them very hot, and
engines slow down with each request that runs beside.  Without affinity each
engine reads each shared part again; with affinity alone the engine of a hot
part is full while others are idle.

All entries rank the engines of a shared part by the same hash, so they agree
without asking each other.  The first of the ranking that isn't loaded well
beyond the mean is taken (consistent hashing with bounded loads).
"""

from collections.abc import Sequence

import msgspec
import xxhash

# An engine takes a shared part's requests up to this factor of the mean load,
# plus a few requests where the mean is small.
AFFINITY_FACTOR = 1.5
AFFINITY_SLACK = 3.0

# An endpoint of another failure domain counts as if it had this many more
# requests: bytes between domains are paid for, but a queue costs more.
FAR_REQUESTS = 0.5

# An endpoint that failed or was silent just now is passed over unless all are.
LAST_RESORT = 1_000.0


class Candidate(msgspec.Struct, kw_only=True, frozen=True):
    """An endpoint that may get the request.

    `running` counts the requests of all entries there, `slots` how many it
    runs at once.
    """

    name: str
    running: float
    slots: int
    is_near: bool
    is_shunned: bool = False


def choose_engine(
    *, candidates: Sequence[Candidate], affinity: str, spread: str
) -> Candidate:
    """Return the endpoint for a request.

    Requests of the same `affinity` go together; `spread` breaks ties, so that
    entries don't all choose the same of equal endpoints.
    """
    sound = [one for one in candidates if not one.is_shunned] or candidates
    if not affinity:
        return min(sound, key=lambda one: (_weigh(one), _rank(spread, one.name)))
    mean = sum(one.running for one in sound) / len(sound)
    bound = mean * AFFINITY_FACTOR + AFFINITY_SLACK
    ranked = sorted(sound, key=lambda one: _rank(affinity, one.name))
    fitting = (one for one in ranked if one.running + 1 <= bound)
    return next(fitting, None) or min(sound, key=_weigh)


def _weigh(one: Candidate) -> float:
    far = 0.0 if one.is_near else FAR_REQUESTS
    return (one.running + far) / one.slots


def _rank(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
