"""The choice of an engine or service endpoint for a request, with prefix affinity.

Requests share long prompt prefixes, a few of them very hot.  Prompts differ in length
by a factor of fifty, and an engine reads them one after the other.  Without affinity
each engine would read each shared prefix again; with affinity alone the engine of a hot
prefix would have a queue while others are idle.

Endpoints are compared by the estimated seconds until the first token: the backlog, plus
what the endpoint has to read of this prompt.  A shared prefix that it has cached
shortens that.  Each entry decides on its own; all entries of a failure domain rank its
endpoints by the same hash of the prefix, so that they agree on the one that caches it.

Bytes between failure domains cost money, and an answer that comes well within its
objective is worth no more for coming sooner.  A request therefore prefers an endpoint
of its own failure domain as long as that costs a small share of its slack.  Once all
endpoints have a queue no slack is left, and the request goes where it is answered
first.
"""

from collections.abc import Sequence

import msgspec

from .candidates import rank_endpoint

# Share of its slack that a request may spend on waiting for an endpoint of its own
# failure domain.  It is small because other requests wait as well and the estimate may
# be wrong.
NEAR_SHARE = 0.02

# A long prompt may take this many times the estimate, because shorter prompts that
# arrive later are read first, and a near endpoint gets all of its domain's.
STRETCH_FACTOR = 3.0

# Minimum penalty of an endpoint in another failure domain, which takes this much longer
# even if there is no slack.
MIN_FAR_SECONDS = 0.002

# Time that other requests on all slots of an engine add by slowing down each token.
CONCURRENCY_SECONDS = 0.004

# Assumed work of a plain request, which has no prompt: of the order of its run time, so
# that endpoints of a plain service are compared by their requests in flight.
PLAIN_REQUEST_SECONDS = 0.05


class EngineCandidate(msgspec.Struct, kw_only=True, frozen=True):
    """An endpoint that may get the request.

    `wait` is the seconds until it would read the request's prompt, and `burden` the
    seconds of backlog by which endpoints are compared (see `backlog.Split`).  `running`
    is the number of requests that all entries have there, `slots` how many it runs at
    once.  `slowness` is its time for the same work relative to other endpoints.
    `holds_parts` says that it probably has the shared prefix cached, `is_near` that it
    is in the entry's own failure domain, `is_avoided` that it failed lately.
    """

    name: str
    wait: float
    burden: float
    running: int
    slots: int
    is_near: bool
    slowness: float = 1.0
    holds_parts: bool = False
    is_avoided: bool = False


class ReadingTime(msgspec.Struct, kw_only=True, frozen=True):
    """Seconds to read (prefill) the whole prompt, and its shared prefix alone."""

    whole: float
    shared: float = 0.0


class EngineChoice(msgspec.Struct, frozen=True):
    """The chosen endpoint, the seconds until its first token, and its queueing time."""

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

    `affinity` identifies the shared prefix, and is empty if there is none.  `spread`,
    the entry's name, breaks ties so that entries don't all choose the same of several
    equal endpoints.  `remaining` is the seconds until the first token is due by the
    request's objective.
    """
    usable = [
        candidate for candidate in candidates if not candidate.is_avoided
    ] or candidates
    home = _find_home(usable, affinity)
    work = {
        candidate.name: _estimate_work(candidate, reading, is_home=candidate is home)
        for candidate in usable
    }
    slack = remaining - min(work.values()) * STRETCH_FACTOR
    far = max(slack * NEAR_SHARE, MIN_FAR_SECONDS)
    best = min(
        usable,
        key=lambda candidate: (
            work[candidate.name] + (0.0 if candidate.is_near else far),
            rank_endpoint(spread, candidate.name),
        ),
    )
    own = reading.whole - (reading.shared if best.holds_parts else 0.0)
    wait = (best.wait + _estimate_slot_wait(best)) * best.slowness
    return EngineChoice(best.name, wait + own * best.slowness, wait)


def _find_home(
    usable: Sequence[EngineCandidate], affinity: str
) -> EngineCandidate | None:
    """Return the endpoint that is to cache a shared prefix, preferably a near one."""
    if not affinity:
        return None
    near = [candidate for candidate in usable if candidate.is_near]
    return max(
        near or usable, key=lambda candidate: rank_endpoint(affinity, candidate.name)
    )


def _estimate_work(
    candidate: EngineCandidate, reading: ReadingTime, *, is_home: bool
) -> float:
    """Return the seconds of work by which endpoints are compared."""
    saved = reading.shared if candidate.holds_parts or is_home else 0.0
    concurrency = CONCURRENCY_SECONDS * candidate.running / candidate.slots
    work = (
        candidate.burden
        + _estimate_slot_wait(candidate)
        + concurrency
        + reading.whole
        - saved
    )
    return work * candidate.slowness


def _estimate_slot_wait(candidate: EngineCandidate) -> float:
    """Return a rough estimate of the seconds to wait for a slot if all are taken."""
    waiting = candidate.running + 1 - candidate.slots
    return waiting * PLAIN_REQUEST_SECONDS if waiting > 0 else 0.0
