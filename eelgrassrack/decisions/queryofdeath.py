"""Detection of queries of death: requests that crash the endpoints that run them.

Such a request crashes each endpoint that begins to run it, together with all requests
that run there, and its caller sends it again through another entry.  Without detection
it would bring down one endpoint after the other.

A lost answer alone proves nothing.  A request is suspected of a crash if its answer was
lost and its endpoint was found down right afterwards.  A request that was lost in the
crashes of three different endpoint lifetimes is blocked; a harmless request that ran
at the same time as a query of death is hit only once or twice.
"""

import collections

import msgspec

# An endpoint must be found down within this time after a loss.
PROOF_SECONDS = 2.0

# Number of crashes, of different lifetimes, after which a request is blocked.
CULPRIT_CRASHES = 3

# A crash is reported to peers for this long, in several updates, and at most so many at
# once: when a dozen endpoints crash together, hundreds of requests are suspected, and
# updates that named them all for two minutes saturated the links.
REPORT_SECONDS = 1.5
MAX_REPORTED = 60

# A crash is forgotten after this time; callers give up long before.
MEMORY_SECONDS = 120.0


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """The loss of a request's answer in the crash of an endpoint's lifetime.

    `born` identifies the lifetime of the endpoint.
    """

    fingerprint: str
    endpoint: str
    born: int


class QueryOfDeathDetector:
    """Find the requests that crash endpoints, from own losses and peers' reports."""

    __slots__ = ("_crashes", "_found", "_losses")

    def __init__(self) -> None:
        self._found: collections.deque[tuple[float, Crash]] = collections.deque(
            maxlen=MAX_REPORTED
        )
        self._losses: collections.deque[tuple[float, Crash]] = collections.deque()
        self._crashes: dict[Crash, float] = {}

    def report(self, *, now: float) -> tuple[Crash, ...]:
        """Return the crashes that this entry has found lately, for its peers."""
        return tuple(crash for at, crash in self._found if now < at + REPORT_SECONDS)

    def note_loss(self, *, crash: Crash, now: float) -> None:
        """Note a lost answer, which a crash may have caused."""
        self._forget(now)
        self._losses.append((now, crash))

    def note_down(self, *, endpoint: str, born: int, now: float) -> tuple[str, ...]:
        """Note that a lifetime of an endpoint was found down.

        Return the fingerprints of the requests that are newly suspected for it.
        """
        self._forget(now)
        suspected = []
        for _, crash in self._losses:
            if crash.endpoint != endpoint or crash.born != born:
                continue
            if crash not in self._crashes:
                self._found.append((now, crash))
                suspected.append(crash.fingerprint)
            self._crashes[crash] = now
        return tuple(suspected)

    def merge(self, *, crashes: tuple[Crash, ...], now: float) -> None:
        """Add the crashes that another entry has found."""
        for crash in crashes:
            self._crashes.setdefault(crash, now)

    def is_culprit(self, *, fingerprint: str, now: float) -> bool:
        """Return whether a request is blocked as a query of death."""
        if not self._crashes:
            return False
        self._forget(now)
        hits = {
            (crash.endpoint, crash.born)
            for crash in self._crashes
            if crash.fingerprint == fingerprint
        }
        return len(hits) >= CULPRIT_CRASHES

    def _forget(self, now: float) -> None:
        while self._losses and self._losses[0][0] < now - PROOF_SECONDS:
            self._losses.popleft()
        if any(at < now - MEMORY_SECONDS for at in self._crashes.values()):
            self._crashes = {
                crash: at
                for crash, at in self._crashes.items()
                if at >= now - MEMORY_SECONDS
            }
