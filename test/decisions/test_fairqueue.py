"""Tests of the fair queue, by example and against a simple oracle."""

import collections

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from eelgrassrack.decisions.fairqueue import (
    TOKENS_PER_PRIORITY,
    FairQueue,
    QueuedRequest,
)
from eelgrassrack.decisions.waiting import HIGHEST_PRIORITY

FAR = 1e9
MOST_TOKENS = 4_000


def wait(key, *, organisation="a", deadline=FAR, arrived=0.0, **rest):
    return QueuedRequest(
        key=key, organisation=organisation, deadline=deadline, arrived=arrived, **rest
    )


def drain(queue, *, now=0.0):
    return [waiting.key for waiting in iter(lambda: queue.pop(now=now), None)]


def test_quiet_organisation_overtakes_a_burst():
    """One organisation queues 200 long reviews, then another asks one question.

    In a first-come queue the question would wait behind all of them.
    """
    queue = FairQueue()
    for number in range(200):
        queue.push(wait(f"review{number}", organisation="hot", tokens=2_000))
    queue.pop(now=0.0)
    queue.push(wait("question", organisation="quiet", tokens=50))
    assert queue.pop(now=0.0).key == "question"


def test_idle_time_earns_no_credit():
    """An organisation that slept gets its share from now on, not arrears."""
    queue = FairQueue()
    queue.push(wait("early", organisation="sleeper", tokens=100))
    for number in range(300):
        queue.push(wait(f"a{number}", tokens=100))
    for _ in range(150):
        queue.pop(now=0.0)
    for number in range(100):
        queue.push(wait(f"late{number}", organisation="sleeper", tokens=100))
    served = [queue.pop(now=0.0).organisation for _ in range(100)]
    assert 49 <= served.count("sleeper") <= 51


def test_tokens_are_shared_by_weight():
    queue = FairQueue()
    for number in range(400):
        queue.push(wait(f"a{number}", organisation="long", tokens=1_000, weight=3))
        queue.push(wait(f"b{number}", organisation="short", tokens=100, weight=1))
    tokens = collections.Counter()
    for _ in range(400):
        waiting = queue.pop(now=0.0)
        tokens[waiting.organisation] += waiting.tokens
    assert 2.7 <= tokens["long"] / tokens["short"] <= 3.3


def test_long_job_yields_to_short_ones_but_not_for_ever():
    """Short questions keep arriving beside one long review.

    The review yields for as long as it would run itself, then has its turn.
    """
    queue = FairQueue()
    queue.push(wait("review", tokens=900))
    served = []
    for second in range(60):
        queue.push(wait(f"short{second}", tokens=30, arrived=second))
        served.append(queue.pop(now=second).key)
    assert 20 < served.index("review") < 40


def test_short_request_passes_a_night_of_own_reviews():
    """Analysts queue 50 reviews overnight; one of them asks a short question.

    By arrival alone it would wait for all of the reviews, which have hours.
    """
    queue = FairQueue()
    for number in range(50):
        queue.push(wait(f"review{number}", tokens=900, deadline=30_000.0))
    assert queue.pop(now=0.0).key == "review0"
    queue.push(wait("short", tokens=60, deadline=1_120.0, arrived=1_000.0))
    assert queue.pop(now=1_000.0).key == "short"
    # Short ones that keep coming don't stop the reviews.
    served = []
    for number in range(40):
        queue.push(wait(f"s{number}", tokens=60, deadline=1_120.0, arrived=1_000.0))
        served.append(queue.pop(now=1_000.0).key)
    assert 2 <= sum(key.startswith("review") for key in served) <= 4


def test_long_job_with_little_time_yields_little():
    """A long job that yields all its spare time ends late, and was for nothing."""
    queue = FairQueue()
    queue.push(wait("review", tokens=900, deadline=40.0))
    served = []
    for second in range(20):
        queue.push(wait(f"short{second}", tokens=30, arrived=second))
        served.append(queue.pop(now=second).key)
    assert served.index("review") < 8


def test_priority_goes_first_within_bounds():
    """A caller that marks everything urgent doesn't stop the others."""
    queue = FairQueue()
    queue.push(wait("usual", tokens=100, priority=1))
    queue.push(wait("urgent", tokens=100, priority=3))
    assert queue.pop(now=0.0).key == "urgent"
    queue.push(wait("other", organisation="b", tokens=100, priority=0))
    served = []
    for number in range(100):
        queue.push(wait(f"u{number}", tokens=100, priority=99, arrived=1.0))
        served.append(queue.pop(now=1.0).key)
    assert "other" in served


def test_overload_starts_only_what_can_end_in_time():
    """Twice as much arrives as can be served, for twenty deadlines.

    Starting what is about to be late would spend the endpoint on answers
    that nobody receives; and a draft with a far deadline must get a turn.
    """
    queue = FairQueue()
    queue.push(wait("draft", deadline=9_000.0))
    now, given_up, served = 0.0, [], []
    for number in range(400):
        arrived = number * 0.5
        queue.push(
            wait(f"n{number}", deadline=arrived + 10, arrived=arrived, tokens=30)
        )
        given_up += [(one, arrived) for one in queue.expire(now=arrived)]
        if now <= arrived:
            one = queue.pop(now=arrived)
            served.append(one.key)
            now = arrived + one.tokens * 0.033
            assert now <= one.deadline
    assert served.index("draft") < 8
    assert len(served) > 150
    assert len(given_up) > 100
    # Each is told while its caller still waits, not when its time is up.
    assert all(at < one.deadline for one, at in given_up)


def test_who_gives_way_is_of_the_largest_backlog():
    queue = FairQueue()
    queue.push(wait("quiet", organisation="quiet", tokens=500))
    for number in range(10):
        queue.push(wait(f"hot{number}", tokens=500, priority=number % 2))
    assert queue.find_displaced(limit=5_500) is None
    displaced = queue.find_displaced(limit=5_000)
    assert displaced.organisation == "a"
    assert displaced.priority == 0
    assert queue.discard(key=displaced.key) is displaced
    assert queue.tokens == 5_000


def is_in_time(waiting, now):
    """Tell whether a request still has its run time, at most half its time."""
    run_time = min(waiting.tokens * 0.033, (waiting.deadline - waiting.arrived) / 2)
    return waiting.deadline - run_time > now


class QueueMachine(RuleBasedStateMachine):
    """Push, pop, discard and expire against a plain dict.

    An organisation is starved if others are served more than their bounded
    share of tokens while its request waits.
    """

    def __init__(self):
        super().__init__()
        self.queue = FairQueue()
        self.model = {}
        self.now = 0.0
        self.count = 0
        self.passed = {}

    @rule(
        organisation=st.sampled_from("abcd"),
        tokens=st.integers(1, MOST_TOKENS),
        priority=st.integers(-1, 9),
        within=st.floats(0.5, 500.0),
    )
    def push(self, organisation, tokens, priority, within):
        """Add a request, once."""
        waiting = QueuedRequest(
            key=f"k{self.count}",
            organisation=organisation,
            tokens=tokens,
            priority=priority,
            deadline=self.now + within,
            arrived=self.now,
        )
        self.count += 1
        assert self.queue.push(waiting)
        assert not self.queue.push(waiting)
        if not self.has_waiting(organisation):
            self.passed[organisation] = collections.Counter()
        self.model[waiting.key] = waiting

    def has_waiting(self, organisation):
        """Tell whether an organisation has one in time."""
        return any(
            waiting.organisation == organisation and is_in_time(waiting, self.now)
            for waiting in self.model.values()
        )

    @rule(times=st.integers(1, 5))
    def pop(self, times):
        """Serve some requests."""
        for _ in range(times):
            waiting = self.queue.pop(now=self.now)
            if waiting is None:
                assert not any(is_in_time(one, self.now) for one in self.model.values())
                return
            assert self.model.pop(waiting.key) is waiting
            assert is_in_time(waiting, self.now)
            self.check_fair(waiting)

    def check_fair(self, served):
        """Check how far others went ahead of those waiting."""
        self.passed[served.organisation] = collections.Counter()
        for organisation, passed in self.passed.items():
            if organisation == served.organisation:
                continue
            if not self.has_waiting(organisation):
                passed.clear()
                continue
            passed[served.organisation] += served.tokens
            forward = HIGHEST_PRIORITY * TOKENS_PER_PRIORITY
            assert max(passed.values()) <= 3 * MOST_TOKENS + forward

    @rule(seconds=st.floats(0.0, 60.0))
    def advance(self, seconds):
        """Let time pass."""
        self.now += seconds

    @precondition(lambda self: self.model)
    @rule(data=st.data())
    def discard(self, data):
        """Give up a request."""
        key = data.draw(st.sampled_from(sorted(self.model)))
        assert self.queue.discard(key=key) is self.model.pop(key)
        assert self.queue.discard(key=key) is None

    @rule()
    def expire(self):
        """Take out the late ones and compare the rest."""
        late = {k for k, one in self.model.items() if not is_in_time(one, self.now)}
        expired = [waiting.key for waiting in self.queue.expire(now=self.now)]
        assert sorted(expired) == sorted(late)
        for key in late:
            del self.model[key]
        assert len(self.queue) == len(self.model)
        assert self.queue.tokens == sum(one.tokens for one in self.model.values())

    @invariant()
    def holds_no_more_than_given(self):
        """Nothing is made up."""
        assert len(self.queue) <= len(self.model)

    def teardown(self):
        """Whatever went in comes out once."""
        self.expire()
        assert sorted(drain(self.queue, now=self.now)) == sorted(self.model)


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=50
)
