"""Room within an endpoint's limit that entries lend each other."""

import collections
import heapq
import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassrack.decisions.limitshares import Holder, Holding, share_limit
from eelgrassrack.decisions.precedence import Sharer
from eelgrassrack.decisions.sharedlimit import (
    MAX_LEASE_SECONDS,
    MIN_LEASE_SECONDS,
    LeaseTime,
    SharedLimit,
)

from .test_stated_limits import OVERAGE, SLACK, WINDOW_SECONDS, find_most

ROUNDING = 1.000_001

STEP_SECONDS = 0.02
ASK_SECONDS = 0.15
KEY = 7

# How long a request may wait for room.
WAIT_SECONDS = 0.5


class Fleet:
    """Entries that send to one endpoint and lend each other room.

    `hot` are those that have most requests, `demand` is that of all of them together
    in requests per second, and each other entry has `rest` a second.  Messages take up
    to `delay` seconds, and a share `loss` of them is lost.  An entry in `frozen` does
    nothing, and handles its messages afterwards.  `largest` is the most that the shares
    of all entries added up to, in requests per second.
    """

    def __init__(self, *, rng, count, rate, demand, rest=0.1, delay=0.05, loss=0.0):
        self.rng = rng
        self.rate = rate
        self.demand = demand
        self.rest = rest
        self.delay = delay
        self.loss = loss
        self.now = 0.0
        self.hot = ()
        self.frozen = set()
        self.largest = 0.0
        self.longest_lease = MIN_LEASE_SECONDS
        self.sends = []
        self.refused = 0
        self.wanted = 0
        self._order = itertools.count()
        self._messages = []
        self._asked = {}
        self._waiting = collections.defaultdict(collections.deque)
        entries = [Sharer(f"entry-{n}", f"d{n % 3}") for n in range(count)]
        self.names = [entry.name for entry in entries]
        self.limits = {
            own.name: SharedLimit(
                name=own.name,
                key=KEY,
                rate=rate,
                holding=share_limit(
                    rate=rate,
                    own=own,
                    others=[entry for entry in entries if entry is not own],
                    key=str(KEY),
                    domain="d0",
                ),
                last_sent=float("-inf"),
                now=0.0,
            )
            for own in entries
        }

    def play(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_SECONDS
            self._deliver()
            for name in self.names:
                if name not in self.frozen:
                    self._send(name)
                    self._ask(name)
            shares = (limit.find_share(self.now) for limit in self.limits.values())
            self.largest = max(self.largest, sum(shares))

    def _post(self, kind, taker, giver, value, until):
        if self.rng.random() >= self.loss:
            at = self.now + self.rng.uniform(0.0, self.delay)
            message = (at, next(self._order), kind, taker, giver, value, until)
            heapq.heappush(self._messages, message)

    def _deliver(self):
        kept = []
        while self._messages and self._messages[0][0] <= self.now:
            message = heapq.heappop(self._messages)
            _, _, kind, taker, giver, value, until = message
            if (giver if kind == "ask" else taker) in self.frozen:
                kept.append(message)
            elif kind == "ask":
                wanted, seconds = value
                lent = self.limits[giver].lend(
                    taker, wanted, seconds=seconds, now=self.now
                )
                self._post("grant", taker, giver, lent, until)
            else:
                self.limits[taker].borrow(giver, value, until=until, now=self.now)
        for message in kept:
            heapq.heappush(self._messages, message)

    def _send(self, name):
        limit = self.limits[name]
        waiting = self._waiting[name]
        while waiting and waiting[0] < self.now:
            waiting.popleft()
            self.refused += 1
        demand = self.demand / len(self.hot) if name in self.hot else self.rest
        part = demand * STEP_SECONDS
        count = int(part) + (self.rng.random() < part % 1.0)
        self.wanted += count
        waiting.extend([self.now + WAIT_SECONDS] * count)
        while waiting and self.now >= limit.find_send_time(self.now):
            waiting.popleft()
            limit.note_sent(self.now)
            self.sends.append(self.now)
        for _ in range(min(count, len(waiting))):
            limit.note_missed(self.now)

    def _ask(self, name):
        if self.now < self._asked.get(name, 0.0) + ASK_SECONDS:
            return
        self._asked[name] = self.now
        for wish in self.limits[name].list_wishes(self.now):
            seconds = self.rng.uniform(MIN_LEASE_SECONDS, self.longest_lease)
            value = (wish.share, seconds)
            self._post("ask", name, wish.name, value, self.now + seconds)

    @property
    def most(self):
        """Return the most sends of all entries in any window."""
        return find_most(self.sends)

    @property
    def bound(self):
        return OVERAGE * self.rate * WINDOW_SECONDS + SLACK


@settings(deadline=None, max_examples=60, derandomize=True)
@given(
    seed=st.integers(0, 10_000),
    rate=st.one_of(st.floats(0.3, 20.0), st.integers(1, 20)),
    count=st.integers(2, 24),
    loss=st.sampled_from((0.0, 0.1, 0.5)),
    delay=st.sampled_from((0.01, 0.2, 1.0)),
)
def test_entries_keep_to_a_limit_while_requests_move(seed, rate, count, loss, delay):
    """Guards against room that two entries use at once as it moves between them.

    Each second, one entry, two or all have more than they may send; messages are late
    and lost, and some entries are frozen while they lend and borrow.
    """
    rng = random.Random(seed)
    fleet = Fleet(
        rng=rng,
        count=count,
        rate=float(rate),
        demand=count * (4.0 * rate + 5.0),
        rest=rng.choice((0.0, 0.1, rate / count)),
        delay=delay,
        loss=loss,
    )
    fleet.longest_lease = MAX_LEASE_SECONDS
    for _ in range(10):
        fleet.hot = tuple(rng.sample(fleet.names, rng.choice((1, 1, 2, count))))
        fleet.frozen = set(rng.sample(fleet.names, rng.randrange(count // 2 + 1)))
        fleet.play(1.0)
    assert fleet.most <= fleet.bound
    assert fleet.largest <= fleet.rate * ROUNDING


@pytest.mark.parametrize("count", (21, 68, 380))
@pytest.mark.parametrize("rate", (1.5, 12.0))
def test_many_entries_keep_to_a_limit_while_requests_move(count, rate):
    """Guards against sums over hundreds of entries that overrun a limit."""
    rng = random.Random(f"moving {count} {rate}")
    fleet = Fleet(rng=rng, count=count, rate=rate, demand=3.0 * rate, loss=0.05)
    for _ in range(8):
        fleet.hot = (rng.choice(fleet.names),)
        fleet.play(1.0)
    assert fleet.most <= fleet.bound
    assert fleet.largest <= fleet.rate * ROUNDING


@pytest.mark.parametrize("count", (8, 24, 68))
@pytest.mark.parametrize("number", (0, 1, 5))
def test_an_entry_that_has_most_requests_gets_the_room_for_them(count, number):
    """Guards against refusals at one entry while the limit is half unused."""
    rng = random.Random(f"hot {count} {number}")
    fleet = Fleet(rng=rng, count=count, rate=12.0, demand=6.0, rest=0.5 / count)
    fleet.hot = (fleet.names[number],)
    fleet.play(3.0)
    fleet.refused = fleet.wanted = 0
    fleet.play(30.0)
    assert fleet.wanted - fleet.refused >= 0.75 * fleet.wanted


def make_limit(*, own=0.25, is_first=False, name="lender"):
    return SharedLimit(
        name=name,
        key=KEY,
        rate=10.0,
        holding=Holding(own, (Holder("other", 1.0 - own),), is_first),
        last_sent=float("-inf"),
        now=0.0,
    )


def test_a_lender_has_its_room_back_only_after_the_borrower_has_lost_it():
    """Guards against room that is used twice if an answer is late."""
    lender = make_limit()
    borrower = make_limit(own=0.0, name="borrower")
    asked_at, lent_at = 1.0, 1.3
    seconds = 0.8
    lent = lender.lend("borrower", 1.0, seconds=seconds, now=lent_at)
    borrower.borrow("lender", lent, until=asked_at + seconds, now=1.6)
    assert lender.find_share(asked_at + seconds) < 2.5
    assert borrower.find_share(asked_at + seconds - 0.01) == pytest.approx(10.0 * lent)
    assert borrower.find_share(asked_at + seconds) == 0.0
    assert lender.find_share(lent_at + seconds) == 2.5


def test_a_lease_outlasts_slow_answers():
    """Guards against room that is lent in vain between entries that are slow."""
    time = LeaseTime()
    assert time.find() == MIN_LEASE_SECONDS
    time.note_answer(0.4)
    assert time.find() > 2 * 0.4
    for _ in range(50):
        time.note_answer(0.002)
    assert time.find() == MIN_LEASE_SECONDS
    time.note_answer(60.0)
    assert time.find() == MAX_LEASE_SECONDS


def test_a_lender_lends_to_one_entry_at_a_time_and_keeps_what_it_needs():
    """Guards against more entries that have saved up a request than a limit bears."""
    lender = make_limit()
    assert lender.lend("one", 1.0, seconds=0.5, now=1.0) == pytest.approx(0.2)
    assert lender.lend("two", 1.0, seconds=0.5, now=1.1) == 0.0
    busy = make_limit()
    for step in range(20):
        busy.note_missed(1.0 + step * 0.1)
    assert busy.lend("one", 1.0, seconds=0.5, now=3.0) == 0.0


def test_the_first_entry_lends_nothing():
    """Guards against one more entry with a request saved up than a limit bears."""
    assert make_limit(is_first=True).lend("one", 1.0, seconds=0.5, now=1.0) == 0.0
