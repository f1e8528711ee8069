"""How often one daemon may call the platform, and how soon after failures.

The platform takes a few hundred writes and about two thousand reads a
second from the whole fleet, and counts each call.  Without a budget one
daemon in a loop takes everybody's share; without jittered backoff all
daemons come back in the same instant after an outage and bring the
platform down again.  Nothing here reads a clock or rolls dice: the
caller passes `now` in seconds and `jitter` from 0 to 1.
"""

GROWTH = 2.0
FAILURES_BEFORE_PAUSE = 3


class CallBudget:
    """A token bucket: `per_second` calls in the long run, `burst` at once."""

    __slots__ = ("_at", "_burst", "_per_second", "_tokens")

    def __init__(self, *, per_second: float, burst: float) -> None:
        self._per_second = per_second
        self._burst = burst
        self._tokens = burst
        self._at: float | None = None

    def admit(self, *, now: float) -> bool:
        """Take one call from the budget; false if none is left."""
        self._refill(now=now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def find_wait(self, *, now: float) -> float:
        """Return the seconds until a call will be admitted."""
        self._refill(now=now)
        return max(0.0, (1.0 - self._tokens) / self._per_second)

    def _refill(self, *, now: float) -> None:
        # A clock that steps back would otherwise take tokens away.
        elapsed = max(0.0, now - self._at) if self._at is not None else 0.0
        self._at = now
        self._tokens = min(self._burst, self._tokens + elapsed * self._per_second)


class Backoff:
    """Delays that double from `base` up to `most` seconds, with jitter."""

    __slots__ = ("_base", "_ceiling", "_most")

    def __init__(self, *, base: float, most: float) -> None:
        self._base = base
        self._most = most
        self._ceiling = base

    def next_delay(self, *, jitter: float) -> float:
        """Return the delay before the next try, evenly spread by `jitter`.

        The spread runs from half a ceiling to a whole one: daemons that
        failed together spread out, and none tries again at once.
        """
        ceiling = self._ceiling
        self._ceiling = min(self._most, ceiling * GROWTH)
        return ceiling * (1.0 + jitter) / 2.0

    def reset(self) -> None:
        """Start from the base again after a success."""
        self._ceiling = self._base


class CircuitBreaker:
    """Whether to call at all while the platform keeps failing.

    A few failures in a row close the gate for a jittered pause; then one
    call probes, and its success opens the gate for all.  Without it every
    request of a busy entry would wait for a timeout of its own and spend
    the budget, and the platform would meet the whole load on its return.
    """

    __slots__ = ("_backoff", "_failures", "_probing_until", "_shut_until")

    def __init__(self, *, backoff: Backoff) -> None:
        self._backoff = backoff
        self._failures = 0
        self._shut_until = 0.0
        self._probing_until = 0.0

    @property
    def is_open(self) -> bool:
        """Tell whether calls go through without a probe."""
        return self._failures < FAILURES_BEFORE_PAUSE

    def find_wait(self, *, now: float) -> float:
        """Return the seconds until a call may be tried, zero for now."""
        if self.is_open:
            return 0.0
        return max(0.0, self._shut_until - now, self._probing_until - now)

    def begin(self, *, now: float, timeout: float) -> None:
        """Learn that a call begins; behind a shut gate it is the probe.

        A probe whose end is never told holds others back for no longer
        than its timeout in seconds.
        """
        if not self.is_open:
            self._probing_until = now + timeout

    def succeed(self) -> None:
        """Learn that a call was answered: open the gate."""
        self._failures = 0
        self._probing_until = 0.0
        self._backoff.reset()

    def fail(self, *, now: float, jitter: float, retry_after: float = 0.0) -> None:
        """Learn that a call wasn't answered; perhaps shut the gate.

        `retry_after` is what the platform itself asked for.
        """
        # Calls that were under way together fail together: they count as
        # one failure, or a single short cut would look like a long outage.
        if now < self._shut_until:
            return
        self._failures += 1
        self._probing_until = 0.0
        if not self.is_open or retry_after:
            self._failures = max(self._failures, FAILURES_BEFORE_PAUSE)
            delay = self._backoff.next_delay(jitter=jitter)
            spread = retry_after * (1.0 + jitter)
            self._shut_until = now + max(delay, spread)
