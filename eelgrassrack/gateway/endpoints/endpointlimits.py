"""Limits that endpoints name, and this gateway's shares of them.

Everything that is sent to an endpoint counts: first attempts, retries, further models
and resumed streams.
"""

import asyncio
import collections
from collections.abc import Callable, Iterable

import logbook
import msgspec

from ...decisions.limitshares import find_send_time, share_limit
from ...decisions.precedence import Sharer
from ...decisions.statedlimits import NO_LIMIT, StatedLimits
from ..peers.peerupdates import LimitReport
from ..requests.job import Job
from ..requests.messages import ResponseHead
from ..settings import GatewaySettings
from .endpointstate import EndpointState

log = logbook.Logger("placing")

# How long a share is cached: computing it takes a third of a millisecond with hundreds
# of gateways.
SHARE_SECONDS = 0.25

# The longest time after which a caller is told to come again.
MAX_PAUSE_SECONDS = 30.0

MAX_LOGGED_TEXT = 80


class LimitShare(msgspec.Struct, frozen=True):
    """This gateway's share of a limit, in requests per second, and for how long."""

    rate: float
    share: float
    until: float


class LimitWait:
    """A request's place among those of its service that wait for room.

    Use it as a context, and call `begin` when the request starts to wait for room.
    """

    __slots__ = ("_is_waiting", "_priority", "_service", "_waiting")

    def __init__(
        self, *, waiting: collections.Counter, service: str, priority: int
    ) -> None:
        self._waiting = waiting
        self._service = service
        self._priority = priority
        self._is_waiting = False

    def __enter__(self) -> "LimitWait":
        """Return this place; the request doesn't wait yet."""
        return self

    def __exit__(self, *error: object) -> None:
        """Give up the place, also if the request is cancelled."""
        if self._is_waiting:
            self._waiting[self._service, self._priority] -= 1

    def begin(self) -> None:
        """Let others count this request as one that waits."""
        if not self._is_waiting:
            self._is_waiting = True
            self._waiting[self._service, self._priority] += 1

    def count_ahead(self) -> int:
        """Return how many requests go first.

        These are the more urgent ones that wait and, for one that has just come, also
        those of its own priority.
        """
        least = self._priority - self._is_waiting
        return sum(
            count
            for (service, priority), count in self._waiting.items()
            if service == self._service and priority <= least
        )


NO_SHARE = LimitShare(NO_LIMIT, 0.0, float("-inf"))


class EndpointLimits:
    """Keeps the limits that endpoints name, and sends within this gateway's shares.

    `list_sharers` returns the other gateways that share limits, None while they aren't
    known; this gateway has no share until then.
    """

    __slots__ = (
        "_last_sent",
        "_list_sharers",
        "_loop",
        "_odd",
        "_settings",
        "_shares",
        "_stated",
        "_waiting",
    )

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        list_sharers: Callable[[], tuple[Sharer, ...] | None],
    ) -> None:
        self._settings = settings
        self._list_sharers = list_sharers
        self._loop = asyncio.get_running_loop()
        self._stated = StatedLimits()
        self._last_sent: dict[int, float] = {}
        self._odd: set[int] = set()
        self._shares: dict[int, LimitShare] = {}
        self._waiting: collections.Counter[tuple[str, int]] = collections.Counter()

    def note_head(
        self, state: EndpointState, head: ResponseHead, *, asked_at: float
    ) -> None:
        """Note the limit in an answer to a request sent at the loop time `asked_at`.

        A value that is no limit changes nothing.
        """
        if head.odd_limit is not None:
            self._log_odd(state, head.odd_limit)
            return
        rate = NO_LIMIT if head.limit is None else head.limit
        self._stated.note(
            state.key, rate=rate, asked_at=asked_at, now=self._loop.time()
        )

    def merge(self, reports: Iterable[LimitReport]) -> None:
        """Take in what a peer's update that has just arrived says of limits."""
        now = self._loop.time()
        for report in reports:
            self._stated.merge(
                report.lifetime, rate=report.rate, seen_at=now - report.age
            )

    def report(self) -> tuple[LimitReport, ...]:
        """Return the limits that endpoints named to this gateway, for peers."""
        now = self._loop.time()
        return tuple(
            LimitReport(key, notice.rate, round(now - notice.seen_at, 3))
            for key, notice in sorted(self._stated.list_own(now).items())
        )

    def forget(self, present: Iterable[EndpointState]) -> None:
        """Forget limits of endpoints that have been gone for long."""
        keys = {state.key for state in present}
        now = self._loop.time()
        self._stated.forget(present=keys, now=now)
        for kept in (self._last_sent, self._shares):
            for key in kept.keys() - keys:
                if self._stated.find_rate(key) == NO_LIMIT:
                    del kept[key]
        self._odd &= keys

    def note_sent(self, state: EndpointState) -> None:
        """Count a request that is about to be sent."""
        self._last_sent[state.key] = self._loop.time()

    def count(self) -> int:
        """Return how many endpoints have limits of which this gateway has a share."""
        return sum(share.share > 0.0 for share in self._shares.values())

    def wait(self, job: Job) -> "LimitWait":
        """Return a request's place among those that wait for room."""
        return LimitWait(
            waiting=self._waiting,
            service=job.permit.service.name,
            priority=job.permit.priority,
        )

    def has_room(self, state: EndpointState, waiting: "LimitWait") -> bool:
        """Return whether a request may be sent to an endpoint now.

        What is left of a limit goes to the requests that wait, the most urgent first.
        """
        if self._stated.find_rate(state.key) == NO_LIMIT:
            self._note_unlimited(state)
            return True
        if self._find_send_time(state) > self._loop.time():
            return False
        return not waiting.count_ahead()

    def find_wait(self, states: Iterable[EndpointState], waiting: "LimitWait") -> float:
        """Return in how many seconds a request has room at one of its endpoints."""
        states = tuple(states)
        share = sum(self._find_share(state).share for state in states)
        if not share:
            return float("inf")
        first = min(map(self._find_send_time, states))
        return max(first - self._loop.time(), 0.0) + waiting.count_ahead() / share

    def find_pause(self, states: Iterable[EndpointState]) -> float:
        """Return how many seconds pass between two requests of all gateways."""
        rates = (self._stated.find_rate(state.key) for state in states)
        return 1.0 / max(sum(rates), 1.0 / MAX_PAUSE_SECONDS)

    def _find_send_time(self, state: EndpointState) -> float:
        return find_send_time(
            last_sent=self._last_sent.get(state.key, float("-inf")),
            share=self._find_share(state).share,
        )

    def _find_share(self, state: EndpointState) -> LimitShare:
        now = self._loop.time()
        rate = self._stated.find_rate(state.key)
        known = self._shares.get(state.key, NO_SHARE)
        if known.rate == rate and now < known.until:
            return known
        found = LimitShare(rate, self._compute_share(state, rate), now + SHARE_SECONDS)
        self._shares[state.key] = found
        if (known.rate, known.share) != (found.rate, found.share):
            self._log_share(state, found)
        return found

    def _compute_share(self, state: EndpointState, rate: float) -> float:
        sharers = self._list_sharers()
        if sharers is None:
            return 0.0
        return share_limit(
            rate=rate,
            own=Sharer(self._settings.name, self._settings.domain),
            others=sharers,
            key=str(state.key),
            domain=state.endpoint.domain,
        )

    def _note_unlimited(self, state: EndpointState) -> None:
        if self._shares.pop(state.key, None) is not None:
            log.info("placing: {} names no limit any more", state.endpoint.name)

    def _log_share(self, state: EndpointState, found: LimitShare) -> None:
        now = self._loop.time()
        log.info(
            "placing: {endpoint} takes {limit} requests a second, {share} of this "
            "gateway, by news of {news_age} s ago",
            endpoint=state.endpoint.name,
            limit=found.rate,
            share=round(found.share, 3),
            news_age=round(self._stated.find_age(state.key, now), 3),
        )

    def _log_odd(self, state: EndpointState, text: str) -> None:
        if state.key in self._odd:
            return
        self._odd.add(state.key)
        log.warning(
            "placing: {endpoint} names a limit that is no number: {text}",
            endpoint=state.endpoint.name,
            text=text[:MAX_LOGGED_TEXT],
        )
