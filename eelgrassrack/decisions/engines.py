"""Which engine or service endpoint a request goes to, at an entry alone.

Load pattern: requests share long prompt parts, a few of them very hot; prompts
differ by a factor of fifty, and an engine reads them one after the other.
Without affinity each engine reads each shared part again; with affinity alone
the engine of a hot part has a queue while others are idle.

Each endpoint is weighed by the seconds until the first token: what it still
has to read, and what it would read of this prompt.  A shared part that it
holds already counts for it.  All entries rank the endpoints of a shared part
by the same hash, so that without asking each other they take the same one to
hold it.
"""

from collections.abc import Sequence

import msgspec
import xxhash

# An endpoint of another failure domain counts as if it were busy for so much
# longer: bytes between domains are paid for, but a queue costs more.
FAR_SECONDS = 0.002

# A request that runs beside makes each token a little slower.
BESIDE_SECONDS = 0.004

# Work of a plain request, which has no prompt: of the order of its run time,
# so that endpoints of a plain service are weighed by requests under way.
PLAIN_SECONDS = 0.05


class Candidate(msgspec.Struct, kw_only=True, frozen=True):
    """An endpoint that may get the request.

    `wait` is the seconds before it would read the request, `burden` the seconds
    that it is compared by (`Backlog`), `running` the requests of all entries
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


class Reading(msgspec.Struct, kw_only=True, frozen=True):
    """Seconds to read a prompt whole, and of that its shared parts."""

    whole: float
    shared: float = 0.0


class Choice(msgspec.Struct, frozen=True):
    """An endpoint and the seconds until the first token there."""

    name: str
    seconds: float
    wait: float


def choose_engine(
    *, candidates: Sequence[Candidate], reading: Reading, affinity: str, spread: str
) -> Choice:
    """Return the endpoint for a request.

    Requests of the same `affinity` go together; `spread` breaks ties, so that
    entries don't all choose the same of equal endpoints.
    """
    sound = [one for one in candidates if not one.is_shunned] or candidates
    home = max(sound, key=lambda one: _rank(affinity, one.name)) if affinity else None
    best = min(
        sound,
        key=lambda one: (
            _weigh(one, reading, is_home=one is home),
            _rank(spread, one.name),
        ),
    )
    own = reading.whole - (reading.shared if best.holds_parts else 0.0)
    wait = (best.wait + _find_queue(best)) * best.slowness
    return Choice(best.name, wait + own * best.slowness, wait)


def _weigh(one: Candidate, reading: Reading, *, is_home: bool) -> float:
    saved = reading.shared if one.holds_parts or is_home else 0.0
    far = 0.0 if one.is_near else FAR_SECONDS
    beside = BESIDE_SECONDS * one.running / one.slots
    work = one.burden + _find_queue(one) + beside + reading.whole - saved
    return work * one.slowness + far


def _find_queue(one: Candidate) -> float:
    """Return the seconds to wait for a slot, roughly, if all are taken."""
    waiting = one.running + 1 - one.slots
    return waiting * PLAIN_SECONDS if waiting > 0 else 0.0


def _rank(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
