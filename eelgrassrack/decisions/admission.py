"""Admission control: accept or refuse requests, and tell refused callers when to retry.

It guards against two to five times as much work as the endpoints can do, sent by
callers that retry when refused.  Without it every request would queue, most past
their deadlines, and the endpoints would produce answers that nobody awaits any
more.  Callers that were refused together would also retry together.

A request is refused on arrival if its deadline has passed, if its organisation has
reached its concurrency limit or its rate limit (a token bucket), or if the backlog
can't drain in time for its deadline.  A refusal is final: no request is held back.

A refused caller may retry once the backlog will have drained far enough for it, and
at least by half, and once the work of the callers refused before it will be done.
Each refusal reserves the next stretch of the drain, so that callers retry one after
the other.  Jitter spreads the retries further, since entries don't know of each
other's reservations.
"""

import enum

import msgspec

from ..document.sections import Organisation

# Share of a request's remaining time that it may spend in the queue, by priority
# (lowest first).  Under sustained overload the queue always grows to this limit.  A
# longer queue serves no more requests and makes some of them late; a shorter one
# refuses more of a ten-second burst that could be served.  The lowest priority is
# refused first.  docs/LOAD.md has the figures.
WAIT_SHARES = (0.3, 0.5, 0.6)

# Upper bound on the time that is held back from waiting.  The drain rate is wrong by
# seconds, not by a fraction of an hour, and a draft may wait for as long as it still
# meets its deadline.  Without the bound a five-minute queue would refuse a job that
# has ten minutes.
MAX_RESERVE_SECONDS = 120.0

# A caller that retries has less time left.  If only a share of that time counted, the
# caller would be allowed a shorter queue than new callers; at half load the queue
# drains no faster than that allowance shrinks, so the caller would never be accepted.
# It may therefore wait as long as a request with the usual deadline, provided that a
# fifth of its own time is left.
MAX_WAIT_SHARE = 0.8

# An engine emits one token per stream every 33 ms at the target size.
SECONDS_PER_TOKEN = 0.033

# The expected length of an answer is a guess, so at most this share of a request's
# time is reserved for running it.  Otherwise an idle endpoint would refuse callers
# that state no length.
MAX_RUN_SHARE = 0.5

# A request that may not be repeated first needs a claim in the store.  The write takes
# milliseconds; this is its duration on a busy store.
CLAIM_SECONDS = 0.25

# Bounds of the retry time.  Below a second callers would poll; after two minutes the
# backlog is no longer the one that was measured.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 120.0

# Share of the backlog that must drain before a refused caller retries.  If it retried
# as soon as there was room for one request, new callers would have taken that room.
DRAINED_SHARE = 0.5

# Jitter lengthens the retry time by up to half.
JITTER_SHARE = 0.5


class RefusedReason(enum.Enum):
    """Why a request was refused."""

    DEADLINE_PASSED = "deadline_passed"
    CONCURRENT = "concurrent"
    RATE = "rate"
    BACKLOG = "backlog"


class Arrival(msgspec.Struct, kw_only=True, frozen=True):
    """A request that asks for admission.

    `within` is the seconds until its deadline, `usual` the seconds that requests
    have until their deadlines when they are first sent.  `tokens` is the expected
    length of the answer.
    """

    organisation: str
    priority: int = 1
    tokens: int = 1
    within: float
    usual: float = 0.0
    repeatable: bool = True


class Backlog(msgspec.Struct, kw_only=True, frozen=True):
    """The work queued ahead of a request.

    `tokens` is the total queued, `drain` the tokens that leave the queue per second
    (0 if unknown).  Where the queue is fair between organisations, `own` is the
    tokens queued by the request's organisation, and `weights` the sum of the weights
    of all queued organisations, including this one.
    """

    tokens: int = 0
    drain: float = 0.0
    own: int | None = None
    weights: float | None = None


class Admitted(msgspec.Struct, kw_only=True, frozen=True):
    """The request is accepted; call `Admission.release` when it has ended."""


class Refused(msgspec.Struct, kw_only=True, frozen=True):
    """The request is refused; the caller may retry after `retry_after` seconds."""

    reason: RefusedReason
    retry_after: float


class RetrySchedule:
    """The work that refused callers are expected to send again, in order."""

    __slots__ = ("_amount", "_at")

    def __init__(self) -> None:
        self._amount = 0.0
        self._at = 0.0

    def reserve(self, *, amount: float, rate: float, now: float) -> float:
        """Append `amount` of work and return the seconds until its turn.

        `rate` is the amount of work done per second.
        """
        done = max(now - self._at, 0.0) * rate
        ahead = max(self._amount - done, 0.0)
        self._amount = min(ahead + amount, MAX_RETRY_SECONDS * rate)
        self._at = now
        return ahead / rate


class Account:
    """One organisation's running requests and token bucket."""

    __slots__ = ("_at", "_level", "retries", "running")

    def __init__(self, *, burst: float, now: float) -> None:
        self.running = 0
        self.retries = RetrySchedule()
        self._level = burst
        self._at = now

    def refill(self, *, organisation: Organisation, now: float) -> float:
        """Refill the bucket and return how many requests may be sent now."""
        earned = max(now - self._at, 0.0) * organisation.requests_per_second
        self._level = min(self._level + earned, max(organisation.burst, 1.0))
        self._at = max(now, self._at)
        return self._level

    def spend(self) -> None:
        """Take a token for an accepted request."""
        self._level -= 1.0
        self.running += 1


class Admission:
    """Accept or refuse requests by their organisation's limits and the backlog."""

    __slots__ = ("_accounts", "_retries")

    def __init__(self) -> None:
        self._accounts: dict[str, Account] = {}
        self._retries = RetrySchedule()

    def judge(
        self,
        *,
        arrival: Arrival,
        organisation: Organisation,
        backlog: Backlog,
        now: float,
        chance: float,
    ) -> Admitted | Refused:
        """Accept or refuse a request.

        `now` is in seconds; `chance` is a random number in [0, 1) for the jitter.
        """
        account = self._find_account(organisation=organisation, now=now)
        level = account.refill(organisation=organisation, now=now)
        if arrival.within <= 0:
            return _refuse(RefusedReason.DEADLINE_PASSED, seconds=0.0, chance=chance)
        lateness = _estimate_lateness(
            arrival=arrival, weight=organisation.weight, backlog=backlog
        )
        wait = estimate_wait(
            arrival=arrival, weight=organisation.weight, backlog=backlog
        )
        drained = wait * DRAINED_SHARE
        if account.running >= organisation.concurrent:
            seconds = max(lateness, drained)
            return _refuse(RefusedReason.CONCURRENT, seconds=seconds, chance=chance)
        if level < 1.0:
            seconds = _wait_for_rate(
                account=account, organisation=organisation, level=level, now=now
            )
            return _refuse(RefusedReason.RATE, seconds=seconds, chance=chance)
        if lateness > 0:
            ahead = self._retries.reserve(
                amount=arrival.tokens, rate=backlog.drain, now=now
            )
            seconds = max(lateness, drained) + ahead
            return _refuse(RefusedReason.BACKLOG, seconds=seconds, chance=chance)
        account.spend()
        return Admitted()

    def release(self, *, organisation: str) -> None:
        """Count the end of an accepted request."""
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
    """Return the seconds that a request is expected to wait.

    In a fair queue an organisation waits for its own work, which drains at the
    organisation's share of the rate, and at most for all queued work.
    """
    if backlog.drain <= 0:
        return 0.0
    if backlog.own is None or backlog.weights is None or weight <= 0:
        return backlog.tokens / backlog.drain
    others = max(backlog.weights / weight, 1.0)
    ahead = min(backlog.own * others, backlog.tokens)
    return ahead / backlog.drain


def _estimate_lateness(*, arrival: Arrival, weight: float, backlog: Backlog) -> float:
    """Return the seconds by which the wait is too long, negative if it is short enough.

    The allowed wait is a share of the request's free time: its remaining time without
    the expected run and the claim.
    """
    wait = estimate_wait(arrival=arrival, weight=weight, backlog=backlog)
    claim = 0.0 if arrival.repeatable else CLAIM_SECONDS
    longest_run = arrival.within * MAX_RUN_SHARE
    run = min(arrival.tokens * SECONDS_PER_TOKEN, longest_run)
    level = min(max(arrival.priority, 0), len(WAIT_SHARES) - 1)
    free = arrival.within - run - claim
    share = WAIT_SHARES[level]
    usual = (arrival.usual - run - claim) * share
    allowed = max(
        free * share, min(free * MAX_WAIT_SHARE, usual), free - MAX_RESERVE_SECONDS
    )
    return wait - allowed if wait > 0 else -max(allowed, 0.0)


def _wait_for_rate(
    *, account: Account, organisation: Organisation, level: float, now: float
) -> float:
    """Return the seconds until the rate limit permits the request."""
    rate = organisation.requests_per_second
    if rate <= 0:
        return MAX_RETRY_SECONDS
    ahead = account.retries.reserve(amount=1.0, rate=rate, now=now)
    return (1.0 - level) / rate + ahead


def _refuse(reason: RefusedReason, *, seconds: float, chance: float) -> Refused:
    """Return a refusal with a bounded and jittered retry time."""
    bounded = min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
    return Refused(reason=reason, retry_after=bounded * (1.0 + JITTER_SHARE * chance))
