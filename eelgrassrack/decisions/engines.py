"""Which engine or service endpoint a request goes to, at an entry alone.

Load pattern: requests share long prompt parts, a few of them very hot; prompts
differ by a factor of fifty, and an engine reads them one after the other.
Without affinity each engine reads each shared part again; with affinity alone
the engine of a hot part has a queue while others are idle.

Each endpoint is weighed by the seconds until the first token: what it still
has to read, and what it would read of this prompt.  A shared part that it
holds already counts for it.  All entries of a failure domain rank its endpoints
by the same hash for a shared part, so that without asking each other they take
the same one to hold it.

Bytes between failure domains are paid for, and an answer that comes well within
its objective is worth no more for coming sooner.  A request therefore waits for
a near endpoint as long as that takes a small part of its slack; once all have a
queue, there is no slack left, and it goes wherever it is answered first.
"""

from collections.abc import Sequence

import msgspec
import xxhash

# The part of its slack that a request waits longer for a near endpoint.  Other
# requests wait as well, and the estimate may be wrong.
NEAR_SHARE = 0.02

# Requests that come later are read before a long prompt, so it may take so many
# times what is expected of a near endpoint that gets all of its domain's.
STRETCH = 3.0

# Without slack an endpoint of another failure domain still takes so much longer.
FAR_SECONDS = 0.002

# A request that runs beside makes each token a little slower.
BESIDE_SECONDS = 0.004

# Work of a plain request, which has no prompt: of the order of its run time,
# so that endpoints of a plain service are weighed by requests under way.
PLAIN_REQUEST_SECONDS = 0.05


class EngineCandidate(msgspec.Struct, kw_only=True, frozen=True):
    """An endpoint that may get the request.

    `wait` is the seconds before it would read the request, `burden` the seconds
    that it is compared by (`ReadingBacklog`), `running` the requests of all entries
    there, `slots` how many it runs at once.
    `slowness` is how many times as long as others it takes for the same work.
    `holds_parts` says that it most likely has the shared parts cached.
    """

    name: str
    wait: float
    burden: float
    running: int
    slots: int
    is_near: bool
    slowness: float = 1.0
    holds_parts: bool = False
    is_shunned: bool = False


class ReadingTime(msgspec.Struct, kw_only=True, frozen=True):
    """Seconds to read a prompt whole, and of that its shared parts."""

    whole: float
    shared: float = 0.0


class EngineChoice(msgspec.Struct, frozen=True):
    """An endpoint and the seconds until the first token there."""

    name: str
    seconds: float
    wait: float


def choose_engine(
    *,
    candidates: Sequence[EngineCandidate],
    reading: ReadingTime,
    affinity: str,
    spread: str,
    remaining: float = 0.0,
) -> EngineChoice:
    """Return the endpoint for a request.

    Requests of the same `affinity` go together; `spread` breaks ties, so that
    entries don't all choose the same of equal endpoints.  `remaining` is the seconds
    that the first token may take within the request's objective.
    """
    sound = [one for one in candidates if not one.is_shunned] or candidates
    home = _find_home(sound, affinity)
    weights = {one.name: _weigh(one, reading, is_home=one is home) for one in sound}
    slack = remaining - min(weights.values()) * STRETCH
    far = max(slack * NEAR_SHARE, FAR_SECONDS)
    best = min(
        sound,
        key=lambda one: (
            weights[one.name] + (0.0 if one.is_near else far),
            _rank(spread, one.name),
        ),
    )
    own = reading.whole - (reading.shared if best.holds_parts else 0.0)
    wait = (best.wait + _find_queue(best)) * best.slowness
    return EngineChoice(best.name, wait + own * best.slowness, wait)


def _find_home(
    sound: Sequence[EngineCandidate], affinity: str
) -> EngineCandidate | None:
    """Return the endpoint that is to hold a shared part, a near one if any is."""
    if not affinity:
        return None
    near = [one for one in sound if one.is_near]
    return max(near or sound, key=lambda one: _rank(affinity, one.name))


def _weigh(one: EngineCandidate, reading: ReadingTime, *, is_home: bool) -> float:
    saved = reading.shared if one.holds_parts or is_home else 0.0
    beside = BESIDE_SECONDS * one.running / one.slots
    work = one.burden + _find_queue(one) + beside + reading.whole - saved
    return work * one.slowness


def _find_queue(one: EngineCandidate) -> float:
    """Return the seconds to wait for a slot, roughly, if all are taken."""
    waiting = one.running + 1 - one.slots
    return waiting * PLAIN_REQUEST_SECONDS if waiting > 0 else 0.0


def _rank(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
