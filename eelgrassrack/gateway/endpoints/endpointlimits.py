"""Limits that endpoints name, and this gateway's shares of them.

Everything that is sent to an endpoint counts: first attempts, retries, further models
and resumed streams.
"""

import asyncio
import collections
import math
import secrets
from collections.abc import Callable, Collection, Iterable

import logbook
import msgspec

from ...decisions.limitshares import Holding, share_limit
from ...decisions.precedence import Sharer
from ...decisions.sharedlimit import LeaseTime, SharedLimit
from ...decisions.statedlimits import NO_LIMIT, StatedLimits
from ..peers.roommessages import RoomGrant, RoomMessage, RoomRequest, RoomShare
from ..peers.updatemessages import LimitReport
from ..requests.job import Job
from ..requests.messages import ResponseHead
from ..settings import GatewaySettings
from .endpointstate import EndpointState
from .limitwait import LimitWait

log = logbook.Logger("placing")

# How long shares are cached: computing them takes a third of a millisecond with
# hundreds of gateways.
SHARE_SECONDS = 0.25

# The longest time after which a caller is told to come again.
MAX_PAUSE_SECONDS = 30.0

# The least time between two requests to borrow, and how long their answers may take.
ASK_SECONDS = 0.15

# How many of its latest requests to borrow a gateway remembers.
KEPT_REQUESTS = 20

MAX_LOGGED_TEXT = 80


class KnownLimit(msgspec.Struct):
    """A limit in requests per second, this gateway's part of it, and until when."""

    rate: float
    part: SharedLimit
    holding: Holding
    until: float


class RoomQuestion(msgspec.Struct, frozen=True):
    """When this gateway asked peers for room, and until when it may use it."""

    at: float
    until: float


class EndpointLimits:
    """Keeps the limits that endpoints name, and sends within this gateway's shares.

    `list_sharers` returns the other gateways that share limits, None while they aren't
    known; this gateway has no share until then.  `tell` sends a peer a message, by the
    peer's name.
    """

    __slots__ = (
        "_asked",
        "_known",
        "_last_asked",
        "_last_sent",
        "_lease_time",
        "_list_sharers",
        "_loop",
        "_missed",
        "_number",
        "_odd",
        "_settings",
        "_stated",
        "_states",
        "_tell",
        "_waiting",
    )

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        list_sharers: Callable[[], tuple[Sharer, ...] | None],
        tell: Callable[[str, RoomMessage], None],
    ) -> None:
        self._settings = settings
        self._list_sharers = list_sharers
        self._tell = tell
        self._loop = asyncio.get_running_loop()
        self._stated = StatedLimits()
        self._states: dict[int, EndpointState] = {}
        self._known: dict[int, KnownLimit] = {}
        self._last_sent: dict[int, float] = {}
        self._odd: set[int] = set()
        self._waiting: collections.Counter[tuple[str, int]] = collections.Counter()
        self._number = secrets.randbits(32)
        self._lease_time = LeaseTime()
        self._asked: collections.OrderedDict[int, RoomQuestion] = (
            collections.OrderedDict()
        )
        self._last_asked = -math.inf
        self._missed = 0

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

    def sweep(self, present: Iterable[EndpointState]) -> None:
        """Forget limits of endpoints that have been gone for long, and borrow room."""
        self._states = {state.key: state for state in present}
        keys = self._states.keys()
        self._stated.forget(present=set(keys), now=self._loop.time())
        for kept in (self._last_sent, self._known):
            for key in kept.keys() - keys:
                if self._stated.find_rate(key) == NO_LIMIT:
                    del kept[key]
        self._odd &= keys
        self._ask()

    def note_sent(self, state: EndpointState) -> None:
        """Count a request that is about to be sent."""
        now = self._loop.time()
        if self._is_limited(state):
            self._find_part(state).note_sent(now)
        self._last_sent[state.key] = now

    def count(self) -> int:
        """Return how many endpoints have limits of which this gateway has a share."""
        now = self._loop.time()
        return sum(known.part.find_share(now) > 0.0 for known in self._known.values())

    def wait(self, job: Job) -> LimitWait:
        """Return a request's place among those that wait for room."""
        return LimitWait(
            waiting=self._waiting,
            service=job.permit.service.name,
            priority=job.permit.priority,
        )

    def has_room(self, state: EndpointState, waiting: LimitWait) -> bool:
        """Return whether a request may be sent to an endpoint now.

        What is left of a limit goes to the requests that wait, the most urgent first.
        """
        if not self._is_limited(state):
            self._note_unlimited(state)
            return True
        if self._find_send_time(state) > self._loop.time():
            return False
        return not waiting.count_ahead()

    def note_missed(
        self, states: Collection[EndpointState], waiting: LimitWait
    ) -> None:
        """Count a request for which no endpoint has room, and ask peers for some.

        It counts at one endpoint: room for a whole request there is worth more than
        a little at each of several.
        """
        if waiting.has_missed:
            return
        waiting.has_missed = True
        limited = [state for state in states if self._is_limited(state)]
        if limited:
            self._missed += 1
            missed = limited[self._missed % len(limited)]
            self._find_part(missed).note_missed(self._loop.time())
        self._ask()

    def find_wait(self, states: Iterable[EndpointState], waiting: LimitWait) -> float:
        """Return in how many seconds a request has room at one of its endpoints.

        Peers may still answer whether they lend some.
        """
        now = self._loop.time()
        states = tuple(states)
        share = sum(self._find_part(state).find_share(now) for state in states)
        answered_at = self._last_asked + ASK_SECONDS
        if not share:
            return answered_at - now if now < answered_at else math.inf
        first = min(map(self._find_send_time, states))
        return max(first - now, 0.0) + waiting.count_ahead() / share

    def find_pause(self, states: Iterable[EndpointState]) -> float:
        """Return how many seconds pass between two requests of all gateways."""
        rates = (self._stated.find_rate(state.key) for state in states)
        return 1.0 / max(sum(rates), 1.0 / MAX_PAUSE_SECONDS)

    def receive(self, message: RoomMessage) -> None:
        """Handle a peer's request for room, or its answer to one."""
        match message:
            case RoomRequest():
                self._lend(message)
            case RoomGrant():
                self._borrow(message)

    def _ask(self) -> None:
        """Ask peers for room where this gateway lacks some."""
        now = self._loop.time()
        if not self._known or now < self._last_asked + ASK_SECONDS:
            return
        wishes: dict[str, list[RoomShare]] = collections.defaultdict(list)
        for key, known in self._known.items():
            for holder in known.part.list_wishes(now):
                wishes[holder.name].append(RoomShare.make(key, holder.share))
        if not wishes:
            return
        self._number += 1
        self._last_asked = now
        seconds = self._lease_time.find()
        self._asked[self._number] = RoomQuestion(now, now + seconds)
        while len(self._asked) > KEPT_REQUESTS:
            self._asked.popitem(last=False)
        for name, shares in wishes.items():
            message = RoomRequest(
                name=self._settings.name,
                number=self._number,
                seconds=seconds,
                shares=tuple(shares),
            )
            self._tell(name, message)

    def _lend(self, request: RoomRequest) -> None:
        """Answer a peer's request with what this gateway doesn't need."""
        now = self._loop.time()
        shares = tuple(self._lend_share(request, wish, now) for wish in request.shares)
        self._tell(
            request.name,
            RoomGrant(name=self._settings.name, number=request.number, shares=shares),
        )

    def _lend_share(
        self, request: RoomRequest, wish: RoomShare, now: float
    ) -> RoomShare:
        state = self._states.get(wish.lifetime)
        if state is None or not self._is_limited(state):
            return RoomShare(wish.lifetime, 0)
        share = self._find_part(state).lend(
            request.name, wish.share, seconds=request.seconds, now=now
        )
        return RoomShare.make(wish.lifetime, share)

    def _borrow(self, grant: RoomGrant) -> None:
        question = self._asked.get(grant.number)
        if question is None:
            return
        now = self._loop.time()
        self._lease_time.note_answer(now - question.at)
        for lent in grant.shares:
            known = self._known.get(lent.lifetime)
            if known is not None:
                known.part.borrow(grant.name, lent.share, until=question.until, now=now)

    def _is_limited(self, state: EndpointState) -> bool:
        return self._stated.find_rate(state.key) != NO_LIMIT

    def _find_send_time(self, state: EndpointState) -> float:
        return self._find_part(state).find_send_time(self._loop.time())

    def _find_part(self, state: EndpointState) -> SharedLimit:
        """Return this gateway's part of an endpoint's limit."""
        now = self._loop.time()
        rate = self._stated.find_rate(state.key)
        known = self._known.get(state.key)
        if known is not None and known.rate == rate and now < known.until:
            return known.part
        holding = self._share(state, rate)
        if known is None:
            part = self._make_part(state, rate, holding, now)
        else:
            part = known.part
            part.update(rate, holding)
        self._known[state.key] = KnownLimit(rate, part, holding, now + SHARE_SECONDS)
        if known is None or (known.rate, known.holding.own) != (rate, holding.own):
            self._log_share(state, rate, holding)
        return part

    def _make_part(
        self, state: EndpointState, rate: float, holding: Holding, now: float
    ) -> SharedLimit:
        return SharedLimit(
            name=self._settings.name,
            key=state.key,
            rate=rate,
            holding=holding,
            last_sent=self._last_sent.get(state.key, -math.inf),
            now=now,
        )

    def _share(self, state: EndpointState, rate: float) -> Holding:
        sharers = self._list_sharers()
        if sharers is None:
            return Holding()
        return share_limit(
            rate=rate,
            own=Sharer(self._settings.name, self._settings.domain),
            others=sharers,
            key=str(state.key),
            domain=state.endpoint.domain,
        )

    def _note_unlimited(self, state: EndpointState) -> None:
        if self._known.pop(state.key, None) is not None:
            log.info("placing: {} names no limit any more", state.endpoint.name)

    def _log_share(self, state: EndpointState, rate: float, holding: Holding) -> None:
        now = self._loop.time()
        log.info(
            "placing: {endpoint} takes {limit} requests a second, {share} of this "
            "gateway, by news of {news_age} s ago",
            endpoint=state.endpoint.name,
            limit=rate,
            share=round(rate * holding.own, 3),
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
