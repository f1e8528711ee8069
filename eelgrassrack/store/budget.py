"""Rate limit, backoff and circuit breaker for one daemon's calls to the platform.

The platform serves a few hundred writes and about two thousand reads a second
for the whole fleet, and counts each call.  Without a rate limit, one daemon in a
loop would use up the share of all others.  Without jittered backoff, all daemons
would retry in the same instant after an outage and bring the platform down again.

The classes are deterministic: callers pass the time as `now`, in seconds, and a
random `jitter` between 0 and 1.
"""

GROWTH_FACTOR = 2.0
FAILURES_BEFORE_OPEN = 3


class CallBudget:
    """A token bucket that holds `burst` calls and refills `per_second`."""

    __slots__ = ("_at", "_burst", "_per_second", "_tokens")

    def __init__(self, *, per_second: float, burst: float) -> None:
        self._per_second = per_second
        self._burst = burst
        self._tokens = burst
        self._at: float | None = None

    def admit(self, *, now: float) -> bool:
        """Take a token for one call; return False if none is left."""
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
        # A clock that steps back must not remove tokens.
        elapsed = max(0.0, now - self._at) if self._at is not None else 0.0
        self._at = now
        self._tokens = min(self._burst, self._tokens + elapsed * self._per_second)


class Backoff:
    """Exponential backoff with jitter, from `base` up to `maximum` seconds."""

    __slots__ = ("_base", "_ceiling", "_maximum")

    def __init__(self, *, base: float, maximum: float) -> None:
        self._base = base
        self._maximum = maximum
        self._ceiling = base

    def next_delay(self, *, jitter: float) -> float:
        """Return the delay before the next try, in seconds.

        The delay lies between half the current ceiling and the ceiling, depending
        on `jitter`.  Daemons that failed together spread out, and none retries
        immediately.
        """
        ceiling = self._ceiling
        self._ceiling = min(self._maximum, ceiling * GROWTH_FACTOR)
        return ceiling * (1.0 + jitter) / 2.0

    def reset(self) -> None:
        """Return to the base delay after a success."""
        self._ceiling = self._base


class CircuitBreaker:
    """A circuit breaker that holds calls back while the platform keeps failing.

    Several failures in a row open the circuit for a jittered pause.  Then one
    probe call is admitted, and its success closes the circuit again.  Without the
    breaker, every request of a busy entry would wait for its own timeout and use
    up the budget, and the platform would face the full load when it returns.
    """

    __slots__ = ("_backoff", "_failures", "_open_until", "_probing_until")

    def __init__(self, *, backoff: Backoff) -> None:
        self._backoff = backoff
        self._failures = 0
        self._open_until = 0.0
        self._probing_until = 0.0

    @property
    def is_closed(self) -> bool:
        """Return whether calls are admitted without a probe."""
        return self._failures < FAILURES_BEFORE_OPEN

    def find_wait(self, *, now: float) -> float:
        """Return the seconds until a call may be tried; zero means at once."""
        if self.is_closed:
            return 0.0
        return max(0.0, self._open_until - now, self._probing_until - now)

    def begin(self, *, now: float, timeout: float) -> None:
        """Note that a call begins; while the circuit is open it is the probe.

        If the probe's outcome is never reported, other calls are held back only
        for its `timeout` in seconds.
        """
        if not self.is_closed:
            self._probing_until = now + timeout

    def succeed(self) -> None:
        """Note that a call was answered, and close the circuit."""
        self._failures = 0
        self._probing_until = 0.0
        self._backoff.reset()

    def fail(self, *, now: float, jitter: float, retry_after: float = 0.0) -> None:
        """Note that a call failed, and open the circuit after several failures.

        `retry_after` is the delay in seconds that the platform asked for; it opens
        the circuit at once.
        """
        # Calls that are in flight together fail together.  They count as one
        # failure, or a brief interruption would look like a long outage.
        if now < self._open_until:
            return
        self._failures += 1
        self._probing_until = 0.0
        if not self.is_closed or retry_after:
            self._failures = max(self._failures, FAILURES_BEFORE_OPEN)
            delay = self._backoff.next_delay(jitter=jitter)
            spread = retry_after * (1.0 + jitter)
            self._open_until = now + max(delay, spread)
