"""Which endpoint a request goes to.

Load pattern: endpoints of unlike load, some cold, one suddenly ten times
slower, under load reports that lag by a second.  Without this module round
robin keeps feeding the slow endpoint, and taking the least loaded by report
sends every entry to the same one until its next report.

Two endpoints are drawn and the less loaded is taken (power of two choices):
its last report, corrected by what this entry sent and saw end since,
relative to its window, so a cold endpoint gets little.  Endpoints of the
same failure domain come first while they aren't full.  Requests of one
session or prompt prefix go to the same endpoint, for its prefix cache,
unless that one is loaded well beyond the others.
"""

import enum
import operator
from collections.abc import Mapping, Sequence

import msgspec
import xxhash

from .candidate import Candidate
from .ejection import Ejection
from .ring import Ring

# Network latency counts against load in units of the first token's target:
# 0.77 s of latency is as bad as a full window.
FIRST_TOKEN_SECONDS = 0.77

# A report loses half its worth for each this many seconds beyond the usual
# lag; a report of old load must not keep an idle endpoint idle.
REPORT_HALF_LIFE = 5.0

# A report is new if it was made this much later than the one before.  Its
# time is worked out from its age, so that of the same report varies a little.
REPORT_JITTER = 0.01

# An endpoint of the own failure domain is taken up to this relative load:
# at a full window a request would wait there while it could run elsewhere.
NEAR_LOAD = 0.75

# Affinity holds up to 1.25 times the load of an alternative plus one
# request: the usual factor of consistent hashing with bounded loads, which
# keeps a hot prefix from filling one endpoint while others are idle.
AFFINITY_FACTOR = 1.25

# The own failure domain gives at most this part of a subset, so that when it
# is taken out the entry already knows endpoints elsewhere.
NEAR_SHARE = 0.5


class NoCandidateReason(enum.Enum):
    """Why no endpoint can be chosen."""

    NONE_KNOWN = "none_known"
    DRAINING = "draining"
    ENGINE_DOWN = "engine_down"


class NoCandidate(msgspec.Struct, kw_only=True, frozen=True):
    """No endpoint can be given the request now."""

    reason: NoCandidateReason


class Pending:
    """What this entry sent and saw end since an endpoint's last report."""

    __slots__ = ("group", "net", "reported_at")

    def __init__(self) -> None:
        self.group = ""
        self.net = 0
        self.reported_at = float("-inf")


class Placement:
    """Choose endpoints for one entry, which stands in `domain`."""

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
        """Return the endpoint for a request, or why there is none."""
        live = [one for one in candidates if one.engine_up and not one.draining]
        if not live:
            return NoCandidate(reason=_explain_none(candidates))
        usable = self._ejection.select(candidates=live, now=now)
        balanced = self._balance(usable=usable, chances=chances, now=now)
        if affinity is None:
            return balanced
        return self._find_affine(
            usable=usable, affinity=affinity, balanced=balanced, now=now
        )

    def note_sent(self, *, endpoint: str) -> None:
        """Count a request sent to an endpoint."""
        self._find_pending(endpoint=endpoint).net += 1

    def note_finished(
        self, *, endpoint: str, succeeded: bool, seconds: float, now: float
    ) -> None:
        """Count the end of a request and learn from it.

        `seconds` is the time to the first piece of the answer, which
        doesn't depend on how long the answer is.
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
        """Count the end of a request that shows nothing of its endpoint.

        So ends one that was refused before it started, or was cancelled.
        """
        self._find_pending(endpoint=endpoint).net -= 1

    def forget(self, *, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone for good."""
        self._pending.pop(endpoint, None)
        self._ring.remove(endpoint)
        self._ejection.forget(endpoint=endpoint)

    def is_ejected(self, *, endpoint: str, now: float) -> bool:
        """Tell whether an endpoint is passed over for failing or slowness."""
        return self._ejection.is_ejected(endpoint=endpoint, now=now)

    def estimate_load(self, *, candidate: Candidate, now: float) -> float:
        """Return how much an endpoint has, with one more, by its window."""
        pending = self._find_pending(endpoint=candidate.name)
        pending.group = candidate.group
        reported_at = now - candidate.reported_age
        if reported_at > pending.reported_at + REPORT_JITTER:
            pending.reported_at = reported_at
            pending.net = 0
        worth = 0.5 ** (candidate.reported_age / REPORT_HALF_LIFE)
        reported = (candidate.running + candidate.queued) * worth + pending.net
        work = max(reported, candidate.local) + 1
        return work / max(candidate.window, 1)

    def _balance(
        self,
        *,
        usable: Sequence[Candidate],
        chances: tuple[float, float],
        now: float,
    ) -> Candidate:
        near = [one for one in usable if one.domain == self.domain]
        if near:
            chosen, load = self._pick_of_two(near, chances=chances, now=now)
            if load <= NEAR_LOAD or len(near) == len(usable):
                return chosen
        return self._pick_of_two(usable, chances=chances, now=now)[0]

    def _pick_of_two(
        self,
        candidates: Sequence[Candidate],
        *,
        chances: tuple[float, float],
        now: float,
    ) -> tuple[Candidate, float]:
        """Draw two different endpoints and return the better and its load."""
        first = int(chances[0] * len(candidates))
        step = 1 + int(chances[1] * (len(candidates) - 1))
        second = (first + step) % len(candidates)
        scored = [
            (self._score(candidates[index], now=now), candidates[index])
            for index in (first, second)
        ]
        # The first drawn wins a tie, so equal endpoints are equally likely.
        score, chosen = min(scored, key=operator.itemgetter(0))
        return chosen, score

    def _score(self, candidate: Candidate, *, now: float) -> float:
        load = self.estimate_load(candidate=candidate, now=now)
        return load + candidate.latency / FIRST_TOKEN_SECONDS

    def _find_affine(
        self,
        *,
        usable: Sequence[Candidate],
        affinity: str,
        balanced: Candidate,
        now: float,
    ) -> Candidate:
        """Return the affinity's endpoint unless it is loaded too far."""
        by_name = {one.name: one for one in usable}
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
    """Return the endpoints that the entry `key` in `domain` works with.

    Rendezvous hashing keeps the choice when an endpoint joins or leaves.
    The own domain gives at most half, the others share the rest, and
    what a small domain lacks is filled up from all.
    """
    ranked = {
        name: sorted(names, key=lambda one: _rendezvous(key, one), reverse=True)
        for name, names in names_by_domain.items()
        if names
    }
    others = sorted(ranked.keys() - {domain}, key=lambda one: _rendezvous(key, one))
    near_quota = int(size * NEAR_SHARE + 0.5) if others else size
    chosen = ranked.get(domain, [])[:near_quota]
    left = size - len(chosen)
    for index, name in enumerate(others):
        quota = -(-left // (len(others) - index))
        taken = ranked[name][:quota]
        chosen += taken
        left -= len(taken)
    rest = {one for names in ranked.values() for one in names} - set(chosen)
    fill = sorted(rest, key=lambda one: _rendezvous(key, one), reverse=True)
    return tuple(chosen + fill[:left])


def _rendezvous(key: str, name: str) -> int:
    return _hash(f"{key}\0{name}")


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def _explain_none(candidates: Sequence[Candidate]) -> NoCandidateReason:
    if not candidates:
        return NoCandidateReason.NONE_KNOWN
    if all(one.draining for one in candidates):
        return NoCandidateReason.DRAINING
    return NoCandidateReason.ENGINE_DOWN
