"""Tests of the fair queue, by example and against a simple model."""

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
MAX_TOKENS = 4_000


def wait(key, *, organisation="a", deadline=FAR, arrived=0.0, **rest):
    return QueuedRequest(
        key=key, organisation=organisation, deadline=deadline, arrived=arrived, **rest
    )


def drain(queue, *, now=0.0):
    return [request.key for request in iter(lambda: queue.pop(now=now), None)]


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
    """An organisation that was idle gets its share from now on, and nothing more."""
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
        request = queue.pop(now=0.0)
        tokens[request.organisation] += request.tokens
    assert 2.7 <= tokens["long"] / tokens["short"] <= 3.3


def test_long_job_yields_to_short_ones_but_not_for_ever():
    """Short questions keep arriving while one long review waits.

    The review yields for as long as it would run itself, and is then served.
    """
    queue = FairQueue()
    queue.push(wait("review", tokens=900))
    served = []
    for second in range(60):
        queue.push(wait(f"short{second}", tokens=30, arrived=second))
        served.append(queue.pop(now=second).key)
    assert 20 < served.index("review") < 40


def test_short_request_overtakes_its_organisations_reviews():
    """Analysts queue 50 reviews overnight; one of the analysts asks a short question.

    In order of arrival it would wait for all of the reviews, which have hours.
    """
    queue = FairQueue()
    for number in range(50):
        queue.push(wait(f"review{number}", tokens=900, deadline=30_000.0))
    assert queue.pop(now=0.0).key == "review0"
    queue.push(wait("short", tokens=60, deadline=1_120.0, arrived=1_000.0))
    assert queue.pop(now=1_000.0).key == "short"
    # A steady flow of short requests doesn't stop the reviews.
    served = []
    for number in range(40):
        queue.push(wait(f"s{number}", tokens=60, deadline=1_120.0, arrived=1_000.0))
        served.append(queue.pop(now=1_000.0).key)
    assert 2 <= sum(key.startswith("review") for key in served) <= 4


def test_long_job_with_little_time_yields_little():
    """A long job that yielded all its spare time would end late and be wasted."""
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
    """Twice as much arrives as can be served, for a period of twenty deadlines.

    If requests started that are about to be late, the endpoint would produce answers
    that nobody receives.  A draft with a distant deadline must be served as well.
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
    # Each one expires while its caller still waits, not at the deadline.
    assert all(at < one.deadline for one, at in given_up)


def test_displaced_request_is_of_the_largest_backlog():
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


def is_in_time(request, now):
    """Return whether the run time, at most half of the total, still fits."""
    run_time = min(request.tokens * 0.033, (request.deadline - request.arrived) / 2)
    return request.deadline - run_time > now


class QueueMachine(RuleBasedStateMachine):
    """Compare push, pop, discard and expire with a plain dict.

    An organisation starves if another one is served more than a bounded number of
    tokens while its request waits.
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
        tokens=st.integers(1, MAX_TOKENS),
        priority=st.integers(-1, 9),
        within=st.floats(0.5, 500.0),
    )
    def push(self, organisation, tokens, priority, within):
        """Add a request, and check that it can't be added twice."""
        request = QueuedRequest(
            key=f"k{self.count}",
            organisation=organisation,
            tokens=tokens,
            priority=priority,
            deadline=self.now + within,
            arrived=self.now,
        )
        self.count += 1
        assert self.queue.push(request)
        assert not self.queue.push(request)
        if not self.has_waiting(organisation):
            self.passed[organisation] = collections.Counter()
        self.model[request.key] = request

    def has_waiting(self, organisation):
        """Return whether an organisation has a request that can end in time."""
        return any(
            request.organisation == organisation and is_in_time(request, self.now)
            for request in self.model.values()
        )

    @rule(times=st.integers(1, 5))
    def pop(self, times):
        """Serve some requests."""
        for _ in range(times):
            request = self.queue.pop(now=self.now)
            if request is None:
                assert not any(is_in_time(one, self.now) for one in self.model.values())
                return
            assert self.model.pop(request.key) is request
            assert is_in_time(request, self.now)
            self.check_fair(request)

    def check_fair(self, served):
        """Check how many tokens of others were served while organisations waited."""
        self.passed[served.organisation] = collections.Counter()
        for organisation, passed in self.passed.items():
            if organisation == served.organisation:
                continue
            if not self.has_waiting(organisation):
                passed.clear()
                continue
            passed[served.organisation] += served.tokens
            forward = HIGHEST_PRIORITY * TOKENS_PER_PRIORITY
            assert max(passed.values()) <= 3 * MAX_TOKENS + forward

    @rule(seconds=st.floats(0.0, 60.0))
    def advance(self, seconds):
        """Let time pass."""
        self.now += seconds

    @precondition(lambda self: self.model)
    @rule(data=st.data())
    def discard(self, data):
        """Cancel a request."""
        key = data.draw(st.sampled_from(sorted(self.model)))
        assert self.queue.discard(key=key) is self.model.pop(key)
        assert self.queue.discard(key=key) is None

    @rule()
    def expire(self):
        """Remove the expired requests and compare the rest."""
        late = {k for k, one in self.model.items() if not is_in_time(one, self.now)}
        expired = [request.key for request in self.queue.expire(now=self.now)]
        assert sorted(expired) == sorted(late)
        for key in late:
            del self.model[key]
        assert len(self.queue) == len(self.model)
        assert self.queue.tokens == sum(one.tokens for one in self.model.values())

    @invariant()
    def holds_no_more_than_given(self):
        """Check that the queue holds no more than was pushed."""
        assert len(self.queue) <= len(self.model)

    def teardown(self):
        """Check that everything pushed comes out once."""
        self.expire()
        assert sorted(drain(self.queue, now=self.now)) == sorted(self.model)


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=50
)
