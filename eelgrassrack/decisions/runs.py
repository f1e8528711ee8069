"""The requests that ran on an endpoint when it crashed.

A crash ends all requests of an endpoint.  The one that caused it may have ended just
before: its answer may have been dropped for a better model's, its caller may have
left, or its few events may all have arrived.  So requests that ended shortly before a
crash count as well, and an answer shows that its request is harmless only once its
endpoint has outlived it for a while.
"""

import collections
from collections.abc import Iterator

import msgspec

# An endpoint must be found down within this time after it broke a connection.
PROOF_SECONDS = 2.0

# An endpoint may crash this long after a request on it ended.
LINGER_SECONDS = 1.0

# A stream whose events have arrived for this long hasn't crashed its endpoint.
ESTABLISHED_SECONDS = 0.5

# An answer shows that its request is harmless if its endpoint outlives it for this
# long.  A crash takes less to be found and told by a gateway with other requests there.
SURVIVAL_SECONDS = 1.0

# Limits the memory that one endpoint's short requests use.
MAX_ENDED = 512


class Traits(msgspec.Struct, frozen=True):
    """What a crash may be blamed on: a request, and the shared parts of its prompt.

    All are hashes.  The last part of a prompt is the request's own.
    """

    request: int
    parts: frozenset[int] = frozenset()

    @property
    def all(self) -> frozenset[int]:
        """Return the request and its parts."""
        return self.parts | {self.request}


class Run:
    """A request that was sent to a lifetime of an endpoint, from then to its end.

    `began_at` is the time of the first event of its answer.
    """

    __slots__ = (
        "began_at",
        "ended_at",
        "has_survived",
        "lifetime",
        "sent_at",
        "traits",
    )

    def __init__(self, *, lifetime: int, traits: Traits, sent_at: float) -> None:
        self.lifetime = lifetime
        self.traits = traits
        self.sent_at = sent_at
        self.began_at: float | None = None
        self.ended_at: float | None = None
        self.has_survived = False


class Crash(msgspec.Struct, kw_only=True, frozen=True):
    """The crash of a lifetime, and when requests with each trait were sent to it."""

    lifetime: int
    at: float
    sent_at: dict[int, float]


class LifetimeRuns:
    """The requests of one lifetime; `broken_at` is when it broke a connection."""

    __slots__ = ("broken_at", "crashed_at", "ended", "running")

    def __init__(self) -> None:
        self.running: set[Run] = set()
        self.ended: collections.deque[Run] = collections.deque(maxlen=MAX_ENDED)
        self.broken_at: float | None = None
        self.crashed_at: float | None = None

    def is_broken(self, now: float) -> bool:
        """Return whether a connection broke lately."""
        return self.broken_at is not None and now <= self.broken_at + PROOF_SECONDS

    def list_suspects(self, at: float) -> Iterator[Run]:
        """Return the requests that may have caused a crash at a time."""
        yield from (run for run in self.running if run.sent_at <= at)
        yield from (run for run in self.ended if run.ended_at >= at - LINGER_SECONDS)


class RunHistory:
    """The current and latest requests of each lifetime of an endpoint."""

    __slots__ = ("_lifetimes", "_unproven")

    def __init__(self) -> None:
        self._lifetimes: dict[int, LifetimeRuns] = {}
        self._unproven: collections.deque[Run] = collections.deque()

    def begin(self, *, lifetime: int, traits: Traits, now: float) -> Run:
        """Note that a request was sent."""
        run = Run(lifetime=lifetime, traits=traits, sent_at=now)
        self._find(lifetime).running.add(run)
        return run

    def note_event(self, run: Run, *, now: float) -> bool:
        """Note a piece of an answer; return whether it shows the request harmless.

        That is returned once.
        """
        if run.began_at is None:
            run.began_at = now
        if run.has_survived or now < run.began_at + ESTABLISHED_SECONDS:
            return False
        run.has_survived = True
        return True

    def end(self, run: Run, *, has_run: bool, is_whole: bool, now: float) -> None:
        """Note the end of a request; `is_whole` if its answer was complete."""
        runs = self._find(run.lifetime)
        runs.running.discard(run)
        if not has_run:
            return
        run.ended_at = now
        runs.ended.append(run)
        if is_whole and not run.has_survived:
            self._unproven.append(run)

    def note_broken(self, *, lifetime: int, now: float) -> None:
        """Note that an endpoint broke a connection, as a crash does."""
        runs = self._find(lifetime)
        if not runs.is_broken(now):
            runs.broken_at = now

    def find_crash(self, *, lifetime: int, now: float, is_abrupt: bool) -> Crash | None:
        """Return the crash of a lifetime that was found down, None if it is no crash.

        An endpoint that ended without breaking a connection has crashed only if the
        end `is_abrupt`: it neither drained nor was removed.
        """
        runs = self._lifetimes.get(lifetime)
        if runs is None or runs.crashed_at is not None:
            return None
        if runs.is_broken(now):
            return self.collect(lifetime=lifetime, at=runs.broken_at)
        return self.collect(lifetime=lifetime, at=now) if is_abrupt else None

    def has_crashed(self, lifetime: int) -> bool:
        """Return whether a lifetime's crash is known, or none of its requests."""
        runs = self._lifetimes.get(lifetime)
        return runs is None or runs.crashed_at is not None

    def collect(self, *, lifetime: int, at: float) -> Crash | None:
        """Return the requests of a crash, None if this gateway had none there."""
        runs = self._lifetimes.get(lifetime)
        if runs is None:
            return None
        runs.crashed_at = at
        sent_at: dict[int, float] = {}
        for run in runs.list_suspects(at):
            for trait in run.traits.all:
                sent_at[trait] = min(run.sent_at, sent_at.get(trait, run.sent_at))
        return Crash(lifetime=lifetime, at=at, sent_at=sent_at) if sent_at else None

    def list_survivors(self, *, now: float) -> list[Run]:
        """Return the requests whose endpoints have outlived their whole answers.

        Each is returned once.  Lifetimes without requests are forgotten.
        """
        survivors = []
        while self._unproven and self._unproven[0].ended_at <= now - SURVIVAL_SECONDS:
            run = self._unproven.popleft()
            runs = self._lifetimes.get(run.lifetime)
            if runs and runs.crashed_at is None and not runs.is_broken(now):
                survivors.append(run)
        for lifetime, runs in tuple(self._lifetimes.items()):
            while runs.ended and _is_over(runs.ended[0], now):
                runs.ended.popleft()
            if not runs.running and not runs.ended:
                del self._lifetimes[lifetime]
        return survivors

    def _find(self, lifetime: int) -> LifetimeRuns:
        return self._lifetimes.setdefault(lifetime, LifetimeRuns())


def _is_over(run: Run, now: float) -> bool:
    """Return whether a request's endpoint can't be found crashed by it any more."""
    return run.ended_at < now - SURVIVAL_SECONDS - PROOF_SECONDS - LINGER_SECONDS
