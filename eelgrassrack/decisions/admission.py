"""Who is let in, and when a refused caller had better come back.

Load pattern: twice to five times the work the endpoints can do, sent by
callers who come back when refused.  Without this module every request
waits, most past its deadline, and the endpoints are busy with answers that
nobody awaits any more; and callers refused together come back together.

An arrival is refused at once for one of these reasons: its deadline has
passed, its organisation runs as many as it may, its organisation sends
faster than it may (a token bucket), or the backlog can't drain in time for
its deadline.  A refusal is the final answer; nothing is held back.

The time to come back is when the backlog will have drained far enough, and at
least half of it, plus the time that the work of those refused before takes:
each refusal books the next stretch of the drain, so callers come back one
after the other.  Chance spreads them further, since entries book without
knowing of each other.
"""

import enum

import msgspec

from ..document.sections import Organisation

# The part of a request's time that may go into waiting, by priority.  Under
# lasting overload the queue is always as long as this allows: a longer one
# serves no more, it only makes everyone wait and some come too late.  A
# shorter one refuses more of a burst of ten seconds that could be served.
# The lowest priority gives way first.  docs/LOAD.md has the figures.
WAIT_SHARES = (0.3, 0.5, 0.6)

# No more than this is kept in reserve: the drain rate is off by seconds, not by
# a part of an hour, and a draft may wait as long as it arrives before its
# deadline.  Without it a job with ten minutes is refused by a queue of five.
LONGEST_RESERVE = 120.0

# A caller that was refused comes back with less time left.  Held to a share of
# that alone, it is held to a shorter queue than newcomers, and at half load
# the queue drains no faster than its allowance shrinks: it would never be let
# in.  It may wait as long as a request of the usual deadline, if that leaves
# a fifth of its time in reserve.
MOST_SHARE = 0.8

# An engine emits a token for a stream each 33 ms at the target size.
SECONDS_PER_TOKEN = 0.033

# The expected length of an answer is a guess; no more than this part of a
# request's time is set aside for it, else a caller that names no length
# would be refused by an idle endpoint.
LONGEST_RUN_SHARE = 0.5

# A request that may not be repeated takes a claim in the store first: a
# write of milliseconds, taken here as slow as a busy store makes it.
CLAIM_SECONDS = 0.25

# Bounds of the time to come back: below a second callers poll, and beyond
# two minutes the backlog is no longer the one that was measured.
SHORTEST_RETRY = 1.0
LONGEST_RETRY = 120.0

# A refused caller comes back when this part of the backlog will have drained.
# Coming back as soon as there is room for one finds it taken by newcomers.
DRAINED_SHARE = 0.5

# Chance lengthens the time to come back by up to half.
SPREAD = 0.5


class RefusedReason(enum.Enum):
    """Why an arrival was refused."""

    DEADLINE_PASSED = "deadline_passed"
    CONCURRENT = "concurrent"
    RATE = "rate"
    BACKLOG = "backlog"


class Arrival(msgspec.Struct, kw_only=True, frozen=True):
    """A request that asks to be let in.

    `within` is seconds to its deadline, `usual` those that requests have
    when they come first.
    """

    organisation: str
    priority: int = 1
    tokens: int = 1
    within: float
    usual: float = 0.0
    repeatable: bool = True


class Backlog(msgspec.Struct, kw_only=True, frozen=True):
    """The work ahead of an arrival.

    `tokens` wait in all, `drain` is how many leave in a second (zero when
    unknown).  Where turns are fair by organisation, `own` is how many of
    them are the organisation's own and `weights` the sum of the weights of
    all organisations that wait, itself included.
    """

    tokens: int = 0
    drain: float = 0.0
    own: int | None = None
    weights: float | None = None


class Admitted(msgspec.Struct, kw_only=True, frozen=True):
    """The request is let in; `release` it when it has ended."""


class Refused(msgspec.Struct, kw_only=True, frozen=True):
    """The request is refused; it may come back after `retry_after` seconds."""

    reason: RefusedReason
    retry_after: float


class RetrySchedule:
    """Work of refused callers that is expected to come back."""

    __slots__ = ("_amount", "_at")

    def __init__(self) -> None:
        self._amount = 0.0
        self._at = 0.0

    def reserve(self, *, amount: float, rate: float, now: float) -> float:
        """Add `amount` and return the seconds until its turn.

        `rate` is how much is worked off in a second.
        """
        worked_off = max(now - self._at, 0.0) * rate
        ahead = max(self._amount - worked_off, 0.0)
        self._amount = min(ahead + amount, LONGEST_RETRY * rate)
        self._at = now
        return ahead / rate


class Account:
    """What one organisation has running and may still send."""

    __slots__ = ("_at", "_level", "bookings", "running")

    def __init__(self, *, burst: float, now: float) -> None:
        self.running = 0
        self.bookings = RetrySchedule()
        self._level = burst
        self._at = now

    def refill(self, *, organisation: Organisation, now: float) -> float:
        """Return how many requests the organisation may send now."""
        earned = max(now - self._at, 0.0) * organisation.requests_per_second
        self._level = min(self._level + earned, max(organisation.burst, 1.0))
        self._at = max(now, self._at)
        return self._level

    def spend(self) -> None:
        """Count one request that is let in."""
        self._level -= 1.0
        self.running += 1


class Admission:
    """Judge arrivals by their organisation's limits and the backlog."""

    __slots__ = ("_accounts", "_bookings")

    def __init__(self) -> None:
        self._accounts: dict[str, Account] = {}
        self._bookings = RetrySchedule()

    def judge(
        self,
        *,
        arrival: Arrival,
        organisation: Organisation,
        backlog: Backlog,
        now: float,
        chance: float,
    ) -> Admitted | Refused:
        """Let an arrival in or refuse it for good."""
        account = self._find_account(organisation=organisation, now=now)
        level = account.refill(organisation=organisation, now=now)
        if arrival.within <= 0:
            return _refuse(RefusedReason.DEADLINE_PASSED, seconds=0.0, chance=chance)
        late = _estimate_lateness(
            arrival=arrival, weight=organisation.weight, backlog=backlog
        )
        wait = estimate_wait(
            arrival=arrival, weight=organisation.weight, backlog=backlog
        )
        drained = wait * DRAINED_SHARE
        if account.running >= organisation.concurrent:
            seconds = max(late, drained)
            return _refuse(RefusedReason.CONCURRENT, seconds=seconds, chance=chance)
        if level < 1.0:
            seconds = _wait_for_rate(
                account=account, organisation=organisation, level=level, now=now
            )
            return _refuse(RefusedReason.RATE, seconds=seconds, chance=chance)
        if late > 0:
            ahead = self._bookings.reserve(
                amount=arrival.tokens, rate=backlog.drain, now=now
            )
            seconds = max(late, drained) + ahead
            return _refuse(RefusedReason.BACKLOG, seconds=seconds, chance=chance)
        account.spend()
        return Admitted()

    def release(self, *, organisation: str) -> None:
        """Count the end of a request that was let in."""
        account = self._accounts.get(organisation)
        if account is not None:
            account.running = max(account.running - 1, 0)

    def _find_account(self, *, organisation: Organisation, now: float) -> Account:
        account = self._accounts.get(organisation.name)
        if account is None:
            account = Account(burst=max(organisation.burst, 1.0), now=now)
            self._accounts[organisation.name] = account
        return account


def estimate_wait(*, arrival: Arrival, weight: float, backlog: Backlog) -> float:
    """Return the seconds an arrival is expected to wait.

    In fair turns an organisation waits for its own work at its share of the
    drain, but never longer than for all the work there is.
    """
    if backlog.drain <= 0:
        return 0.0
    if backlog.own is None or backlog.weights is None or weight <= 0:
        return backlog.tokens / backlog.drain
    others = max(backlog.weights / weight, 1.0)
    ahead = min(backlog.own * others, backlog.tokens)
    return ahead / backlog.drain


def _estimate_lateness(*, arrival: Arrival, weight: float, backlog: Backlog) -> float:
    """Return by how many seconds the wait is too long; negative if it isn't."""
    wait = estimate_wait(arrival=arrival, weight=weight, backlog=backlog)
    claim = 0.0 if arrival.repeatable else CLAIM_SECONDS
    longest_run = arrival.within * LONGEST_RUN_SHARE
    run = min(arrival.tokens * SECONDS_PER_TOKEN, longest_run)
    level = min(max(arrival.priority, 0), len(WAIT_SHARES) - 1)
    free = arrival.within - run - claim
    share = WAIT_SHARES[level]
    usual = (arrival.usual - run - claim) * share
    allowed = max(free * share, min(free * MOST_SHARE, usual), free - LONGEST_RESERVE)
    return wait - allowed if wait > 0 else -max(allowed, 0.0)


def _wait_for_rate(
    *, account: Account, organisation: Organisation, level: float, now: float
) -> float:
    rate = organisation.requests_per_second
    if rate <= 0:
        return LONGEST_RETRY
    ahead = account.bookings.reserve(amount=1.0, rate=rate, now=now)
    return (1.0 - level) / rate + ahead


def _refuse(reason: RefusedReason, *, seconds: float, chance: float) -> Refused:
    bounded = min(max(seconds, SHORTEST_RETRY), LONGEST_RETRY)
    return Refused(reason=reason, retry_after=bounded * (1.0 + SPREAD * chance))
