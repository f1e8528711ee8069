"""Load balancing: the choice of an endpoint for a request.

Endpoints differ in load; some are cold, one may suddenly be ten times slower, and load
reports lag by a second.  Round robin would keep sending requests to the slow endpoint.
Choosing the least loaded one by report would send all entries to the same endpoint
until its next report.

The balancer draws two endpoints at random and takes the less loaded one (power of two
choices).  An endpoint's load is its last report, corrected by the requests that this
entry has sent and finished since, relative to its window, so a cold endpoint gets few
requests.  Endpoints of the entry's own failure domain are preferred while they aren't
full.  Requests of one session or prompt prefix go to the same endpoint, for its prefix
cache, unless its load is well above that of the others.
"""

import enum
import operator
from collections.abc import Mapping, Sequence

import msgspec
import xxhash

from .candidate import Candidate
from .ejection import Ejection
from .ring import Ring

# Network latency is converted to load in units of the target for the first token:
# 0.77 s of latency count as much as a full window.
FIRST_TOKEN_SECONDS = 0.77

# Half-life of a reported load, so that an old report doesn't keep an idle endpoint
# idle.
REPORT_HALF_LIFE_SECONDS = 5.0

# A report is new if it is this much later than the previous one.  Its time is computed
# from its age, so it varies slightly for one and the same report.
REPORT_JITTER_SECONDS = 0.01

# An endpoint of the own failure domain is used up to this load relative to its window.
# At a full window a request would wait there while it could run elsewhere.
MAX_NEAR_LOAD = 0.75

# Affinity applies up to 1.25 times the load of the alternative plus one request: the
# usual factor of consistent hashing with bounded loads, which keeps a hot prefix from
# filling one endpoint while others are idle.
AFFINITY_FACTOR = 1.25

# Maximum share of a subset that the own failure domain provides, so that the entry
# already knows other endpoints when its domain is taken out.
MAX_NEAR_SHARE = 0.5


class NoCandidateReason(enum.Enum):
    """Why no endpoint can be chosen."""

    NONE_KNOWN = "none_known"
    DRAINING = "draining"
    ENGINE_DOWN = "engine_down"


class NoCandidate(msgspec.Struct, kw_only=True, frozen=True):
    """No endpoint can get the request now."""

    reason: NoCandidateReason


class Pending:
    """This entry's changes to an endpoint's load since its last report.

    `net` is the number of requests sent minus those finished.
    """

    __slots__ = ("group", "net", "reported_at")

    def __init__(self) -> None:
        self.group = ""
        self.net = 0
        self.reported_at = float("-inf")


class Placement:
    """Choose endpoints for one entry in the failure domain `domain`."""

    __slots__ = ("_ejection", "_pending", "_ring", "domain")

    def __init__(self, *, domain: str) -> None:
        self.domain = domain
        self._ejection = Ejection()
        self._pending: dict[str, Pending] = {}
        self._ring = Ring()

    def choose(
        self,
        *,
        candidates: Sequence[Candidate],
        affinity: str | None,
        chances: tuple[float, float],
        now: float,
    ) -> Candidate | NoCandidate:
        """Return the endpoint for a request, or why there is none.

        `affinity` is the key of a session or prompt prefix, `chances` two random
        numbers in [0, 1), `now` the time in seconds.
        """
        live = [
            candidate
            for candidate in candidates
            if candidate.engine_up and not candidate.draining
        ]
        if not live:
            return NoCandidate(reason=_find_reason(candidates))
        usable = self._ejection.select(candidates=live, now=now)
        balanced = self._balance(usable=usable, chances=chances, now=now)
        if affinity is None:
            return balanced
        return self._prefer_affine(
            usable=usable, affinity=affinity, balanced=balanced, now=now
        )

    def note_sent(self, *, endpoint: str) -> None:
        """Count a request sent to an endpoint."""
        self._find_pending(endpoint=endpoint).net += 1

    def note_finished(
        self, *, endpoint: str, succeeded: bool, seconds: float, now: float
    ) -> None:
        """Count the end of a request and learn from it.

        `seconds` is the time to the first piece of the answer, which doesn't depend on
        the answer's length.
        """
        pending = self._find_pending(endpoint=endpoint)
        pending.net -= 1
        self._ejection.note(
            endpoint=endpoint,
            group=pending.group,
            succeeded=succeeded,
            seconds=seconds,
            now=now,
        )

    def note_abandoned(self, *, endpoint: str) -> None:
        """Count the end of a request that tells nothing about its endpoint.

        It was refused before it started, or cancelled.
        """
        self._find_pending(endpoint=endpoint).net -= 1

    def forget(self, *, endpoint: str) -> None:
        """Delete all state of an endpoint that was removed."""
        self._pending.pop(endpoint, None)
        self._ring.remove(endpoint)
        self._ejection.forget(endpoint=endpoint)

    def is_ejected(self, *, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is ejected because it fails or is slow."""
        return self._ejection.is_ejected(endpoint=endpoint, now=now)

    def estimate_load(self, *, candidate: Candidate, now: float) -> float:
        """Return the load of an endpoint with one more request, relative to its window.

        Also starts a new count of pending requests if the candidate has a new report.
        """
        pending = self._find_pending(endpoint=candidate.name)
        pending.group = candidate.group
        reported_at = now - candidate.reported_age
        if reported_at > pending.reported_at + REPORT_JITTER_SECONDS:
            pending.reported_at = reported_at
            pending.net = 0
        weight = 0.5 ** (candidate.reported_age / REPORT_HALF_LIFE_SECONDS)
        reported = (candidate.running + candidate.queued) * weight + pending.net
        work = max(reported, candidate.local) + 1
        return work / max(candidate.window, 1)

    def _balance(
        self,
        *,
        usable: Sequence[Candidate],
        chances: tuple[float, float],
        now: float,
    ) -> Candidate:
        """Return a less loaded endpoint, preferably of the own failure domain."""
        near = [candidate for candidate in usable if candidate.domain == self.domain]
        if near:
            chosen, load = self._pick_of_two(near, chances=chances, now=now)
            if load <= MAX_NEAR_LOAD or len(near) == len(usable):
                return chosen
        return self._pick_of_two(usable, chances=chances, now=now)[0]

    def _pick_of_two(
        self,
        candidates: Sequence[Candidate],
        *,
        chances: tuple[float, float],
        now: float,
    ) -> tuple[Candidate, float]:
        """Draw two different endpoints; return the less loaded one and its score."""
        first = int(chances[0] * len(candidates))
        step = 1 + int(chances[1] * (len(candidates) - 1))
        second = (first + step) % len(candidates)
        scored = [
            (self._score(candidates[index], now=now), candidates[index])
            for index in (first, second)
        ]
        # The first one drawn wins a tie, so equal endpoints are equally likely.
        score, chosen = min(scored, key=operator.itemgetter(0))
        return chosen, score

    def _score(self, candidate: Candidate, *, now: float) -> float:
        load = self.estimate_load(candidate=candidate, now=now)
        return load + candidate.latency / FIRST_TOKEN_SECONDS

    def _prefer_affine(
        self,
        *,
        usable: Sequence[Candidate],
        affinity: str,
        balanced: Candidate,
        now: float,
    ) -> Candidate:
        """Return the affinity's endpoint, or `balanced` if its load is too high."""
        by_name = {candidate.name: candidate for candidate in usable}
        self._ring.add(by_name.keys())
        names = (name for name in self._ring.walk(affinity) if name in by_name)
        affine = by_name[next(names)]
        load = self.estimate_load(candidate=affine, now=now)
        other = self.estimate_load(candidate=balanced, now=now)
        slack = 1 / max(affine.window, 1)
        return affine if load <= AFFINITY_FACTOR * other + slack else balanced

    def _find_pending(self, *, endpoint: str) -> Pending:
        pending = self._pending.get(endpoint)
        if pending is None:
            pending = self._pending[endpoint] = Pending()
        return pending


def choose_subset(
    *,
    key: str,
    names_by_domain: Mapping[str, Sequence[str]],
    domain: str,
    size: int,
) -> tuple[str, ...]:
    """Return the subset of `size` endpoints that the entry `key` in `domain` uses.

    Rendezvous hashing keeps the subset stable when endpoints join or leave.  The own
    domain provides at most half, the other domains share the rest, and what small
    domains lack is filled up from all of them.
    """
    ranked = {
        name: sorted(
            names, key=lambda endpoint: _rendezvous(key, endpoint), reverse=True
        )
        for name, names in names_by_domain.items()
        if names
    }
    others = sorted(ranked.keys() - {domain}, key=lambda other: _rendezvous(key, other))
    near_quota = int(size * MAX_NEAR_SHARE + 0.5) if others else size
    chosen = ranked.get(domain, [])[:near_quota]
    missing = size - len(chosen)
    for index, name in enumerate(others):
        quota = -(-missing // (len(others) - index))
        taken = ranked[name][:quota]
        chosen += taken
        missing -= len(taken)
    rest = {endpoint for names in ranked.values() for endpoint in names} - set(chosen)
    fill = sorted(rest, key=lambda endpoint: _rendezvous(key, endpoint), reverse=True)
    return tuple(chosen + fill[:missing])


def _rendezvous(key: str, name: str) -> int:
    return _hash(f"{key}\0{name}")


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def _find_reason(candidates: Sequence[Candidate]) -> NoCandidateReason:
    """Return why none of the candidates can get a request."""
    if not candidates:
        return NoCandidateReason.NONE_KNOWN
    if all(candidate.draining for candidate in candidates):
        return NoCandidateReason.DRAINING
    return NoCandidateReason.ENGINE_DOWN
