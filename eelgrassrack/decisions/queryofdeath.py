"""Which requests are kept from endpoints because they crash them.

Load pattern: one request crashes each endpoint that begins to run it, and its
caller sends it again at another entry.  Without this module it fells one
endpoint after the other, each time with all that ran beside it.

A lost answer alone proves nothing.  A request is suspected of a crash if its
answer was lost and its endpoint was found down right after.  What was lost in
three crashes of different lifetimes is kept back: an innocent request that
ran beside the guilty one is hit once or twice.
"""

import collections

import msgspec

# How long after a loss the endpoint must be found down.
PROOF_SECONDS = 2.0

# Crashes of different lifetimes that make a request guilty.
MOST_CRASHES = 3

# A crash is told to other entries for this long, in several news: when a dozen
# endpoints crash at once, hundreds of requests are suspected, and news that
# named them all for two minutes filled the links.
TOLD_SECONDS = 1.5
MOST_TOLD = 60

# A crash is forgotten after this long; its callers gave up long before.
MEMORY_SECONDS = 120.0


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A request's answer was lost in the crash of a lifetime."""

    fingerprint: str
    endpoint: str
    born: int


class QueryOfDeathDetector:
    """Find the requests that crash endpoints."""

    __slots__ = ("_crashes", "_found", "_losses")

    def __init__(self) -> None:
        self._found: collections.deque[tuple[float, Crash]] = collections.deque(
            maxlen=MOST_TOLD
        )
        self._losses: collections.deque[tuple[float, Crash]] = collections.deque()
        self._crashes: dict[Crash, float] = {}

    def report(self, *, now: float) -> tuple[Crash, ...]:
        """Return the crashes that were found here just now."""
        return tuple(crash for at, crash in self._found if now < at + TOLD_SECONDS)

    def note_loss(self, *, crash: Crash, now: float) -> None:
        """Note a lost answer, which may have been a crash."""
        self._forget(now)
        self._losses.append((now, crash))

    def note_down(self, *, endpoint: str, born: int, now: float) -> None:
        """Note that a lifetime was found down."""
        self._forget(now)
        for _, crash in self._losses:
            if crash.endpoint != endpoint or crash.born != born:
                continue
            if crash not in self._crashes:
                self._found.append((now, crash))
            self._crashes[crash] = now

    def merge(self, *, crashes: tuple[Crash, ...], now: float) -> None:
        """Take over what another entry found."""
        for crash in crashes:
            self._crashes.setdefault(crash, now)

    def is_culprit(self, *, fingerprint: str, now: float) -> bool:
        """Tell whether a request is kept back."""
        if not self._crashes:
            return False
        self._forget(now)
        hits = {
            (crash.endpoint, crash.born)
            for crash in self._crashes
            if crash.fingerprint == fingerprint
        }
        return len(hits) >= MOST_CRASHES

    def _forget(self, now: float) -> None:
        while self._losses and self._losses[0][0] < now - PROOF_SECONDS:
            self._losses.popleft()
        if any(at < now - MEMORY_SECONDS for at in self._crashes.values()):
            self._crashes = {
                crash: at
                for crash, at in self._crashes.items()
                if at >= now - MEMORY_SECONDS
            }
