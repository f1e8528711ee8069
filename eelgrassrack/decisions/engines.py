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
# plus so many requests like this one where the mean is small.
AFFINITY_FACTOR = 1.3
AFFINITY_REQUESTS = 2.0

# An endpoint of another failure domain counts as if it had this many more
# requests: bytes between domains are paid for, but a queue costs more.
FAR_REQUESTS = 0.5

# What a model takes of an engine's time grows with its cost, but slower:
# a model of 14 times the cost was measured to take 3.5 times as long.
COST_SLOPE = 0.19

# A generated token takes about as long as so many read ones, at the batch
# sizes of a normal day.
READ_PER_GENERATED = 20


class Candidate(msgspec.Struct, kw_only=True, frozen=True):
    """An endpoint that may get the request.

    `load` is the work of all entries' requests there, `slots` how many
    requests it runs at once.
    """

    name: str
    load: float
    slots: int
    is_near: bool
    is_shunned: bool = False


def estimate_work(*, tokens_in: int, tokens_out: int, cost_factor: float) -> int:
    """Return a request's work in read tokens of the cheapest model.

    `cost_factor` is how many times its model costs what the cheapest does.
    A request to a plain service counts as one.
    """
    tokens = tokens_in + tokens_out * READ_PER_GENERATED
    return max(int(tokens * (1 + (cost_factor - 1) * COST_SLOPE)), 1)


def choose_engine(
    *, candidates: Sequence[Candidate], work: float, affinity: str, spread: str
) -> Candidate:
    """Return the endpoint for a request of so much work.

    Requests of the same `affinity` go together; `spread` breaks ties, so that
    entries don't all choose the same of equal endpoints.
    """
    sound = [one for one in candidates if not one.is_shunned] or candidates
    if not affinity:
        return min(sound, key=lambda one: (_weigh(one, work), _rank(spread, one.name)))
    mean = sum(one.load for one in sound) / len(sound)
    bound = mean * AFFINITY_FACTOR + work * AFFINITY_REQUESTS
    ranked = sorted(sound, key=lambda one: _rank(affinity, one.name))
    fitting = (one for one in ranked if one.load + work <= bound)
    fit = next(fitting, None)
    return fit or min(sound, key=lambda one: _weigh(one, work))


def _weigh(one: Candidate, work: float) -> float:
    far = 0.0 if one.is_near else FAR_REQUESTS * work
    return (one.load + far) / one.slots


def _rank(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
