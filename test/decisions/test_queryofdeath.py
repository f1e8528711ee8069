"""Tests of the detection of queries of death."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassrack.decisions.crashrecords import (
    MANY_JOINT_CRASHES,
    MAX_REPORTED_CRASHES,
    make_part_trait,
    make_request_trait,
)
from eelgrassrack.decisions.queryofdeath import (
    BLOCK_SECONDS,
    GUILTY_EVENTS,
    GUILTY_EVENTS_ANSWERED,
    MAX_RECORDS,
    MAX_REPORTED,
    MEMORY_SECONDS,
    PROBATION_SECONDS,
    REPORT_SECONDS,
    Blocked,
    Clear,
    QueryOfDeathDetector,
    Suspected,
)
from eelgrassrack.decisions.runs import Crash, Traits

GUILTY, SHARED, RARE, OTHER = (make_part_trait(2 * n) for n in range(1, 5))
numbers = itertools.count(1)


def request(*parts, name=None):
    """Return the traits of a request that no other is alike."""
    name = next(numbers) if name is None else name
    return Traits(make_request_trait(2_000 + 2 * name), frozenset(parts))


def crash(detector, lifetime, at, *requests, sent_before=0.05):
    traits = {trait for one in requests for trait in one.all}
    sent_at = dict.fromkeys(traits, at - sent_before)
    detector.note_crash(Crash(lifetime=lifetime, at=at, sent_at=sent_at))


def crash_often(detector, count, *parts, since=0.0, beside=()):
    """Crash endpoints with new requests, beside others with one part each."""
    for number in range(count):
        at = since + number
        others = [request(part) for part in beside]
        crash(detector, 100 * since + number, at, request(*parts), *others)


def judge(detector, now, *parts):
    return detector.judge(request(*parts), now=now)


def is_blocked(detector, now, *parts):
    return isinstance(judge(detector, now, *parts), Blocked)


def test_a_request_that_crashes_three_lifetimes_is_blocked():
    detector = QueryOfDeathDetector()
    bad = request(name=0)
    for number in range(GUILTY_EVENTS):
        assert isinstance(detector.judge(bad, now=number), Clear)
        crash(detector, number, float(number), bad)
    assert isinstance(detector.judge(bad, now=4.0), Blocked)
    assert isinstance(judge(detector, 4.0), Clear)


def test_a_part_is_blocked_though_no_two_requests_are_alike():
    detector = QueryOfDeathDetector()
    crash_often(detector, GUILTY_EVENTS, GUILTY)
    assert is_blocked(detector, 3.0, GUILTY, SHARED)
    assert isinstance(judge(detector, 3.0, SHARED), Clear)


def test_a_part_is_suspected_before_it_is_blocked():
    detector = QueryOfDeathDetector()
    crash_often(detector, GUILTY_EVENTS - 1, GUILTY)
    assert judge(detector, 2.0, GUILTY) == Suspected(
        traits=frozenset({GUILTY}), since=1.0, turn=0.5
    )


def test_requests_beside_a_query_of_death_are_not_blocked():
    detector = QueryOfDeathDetector()
    beside = [request(SHARED) for _ in range(GUILTY_EVENTS)]
    for number, other in enumerate(beside):
        detector.note_answer(request(SHARED), at=number - 0.5)
        crash(detector, number, float(number), request(GUILTY, SHARED), other)
    assert is_blocked(detector, 4.0, GUILTY)
    assert all(isinstance(detector.judge(one, now=4.0), Clear) for one in beside)


def test_a_rare_part_that_ran_beside_three_crashes_is_explained():
    """It is never answered, and would be refused for an hour."""
    detector = QueryOfDeathDetector()
    crash(detector, 1, 0.0, request(GUILTY))
    crash_often(detector, 3, GUILTY, since=1.0, beside=[RARE])
    assert is_blocked(detector, 5.0, GUILTY)
    assert isinstance(judge(detector, 5.0, RARE), Suspected)
    detector.note_answer(request(RARE), at=6.0)
    assert isinstance(judge(detector, 6.5, RARE), Clear)


def test_a_guilty_part_is_not_released_for_a_sound_one_with_more_crashes():
    """Nothing was answered yet, and an endpoint also crashed for another cause."""
    detector = QueryOfDeathDetector()
    crash_often(detector, 3, GUILTY, beside=[RARE])
    crash(detector, 50, 4.0, request(RARE))
    assert isinstance(judge(detector, 5.0, GUILTY), Suspected)
    crash(detector, 51, 6.0, request(GUILTY))
    crash(detector, 52, 7.0, request(GUILTY))
    assert is_blocked(detector, 8.0, GUILTY)
    assert isinstance(judge(detector, 8.0, RARE), Suspected)


def test_parts_that_were_always_together_are_told_apart_by_one_request():
    detector = QueryOfDeathDetector()
    crash_often(detector, 3, GUILTY, beside=[RARE])
    assert is_blocked(detector, 3.0, GUILTY, RARE)
    assert isinstance(judge(detector, 3.0, GUILTY), Suspected)
    assert isinstance(judge(detector, 3.0, RARE), Suspected)
    crash(detector, 50, 4.0, request(GUILTY))
    assert is_blocked(detector, 4.5, GUILTY)
    assert isinstance(judge(detector, 4.5, RARE), Suspected)
    detector.note_answer(request(RARE), at=5.0)
    assert isinstance(judge(detector, 5.5, RARE), Clear)


def test_a_request_that_was_lost_three_times_beside_a_part_is_told_apart():
    """Its retries met three endpoints that crashed for the part."""
    detector = QueryOfDeathDetector()
    beside = request(RARE)
    for number in range(3):
        crash(detector, number, float(number), request(GUILTY), beside)
    assert isinstance(judge(detector, 3.0, GUILTY), Suspected)
    crash(detector, 50, 4.0, request(GUILTY))
    assert is_blocked(detector, 4.5, GUILTY)
    assert isinstance(detector.judge(beside, now=4.5), Suspected)
    detector.note_answer(beside, at=5.0)
    assert isinstance(detector.judge(beside, now=5.5), Clear)


def test_a_part_that_was_answered_is_cleared():
    detector = QueryOfDeathDetector()
    crash_often(detector, 3, GUILTY, beside=[RARE])
    detector.note_answer(request(RARE), at=3.0)
    assert isinstance(judge(detector, 3.5, RARE), Clear)
    assert is_blocked(detector, 3.5, GUILTY)


def test_two_guilty_parts_are_both_blocked():
    detector = QueryOfDeathDetector()
    crash_often(detector, 3, GUILTY)
    crash_often(detector, 3, OTHER, since=10.0)
    assert is_blocked(detector, 13.0, GUILTY)
    assert is_blocked(detector, 13.0, OTHER)


def test_a_part_that_begins_to_crash_endpoints_is_blocked_later():
    """Its requests were answered until then, as before an engine's new release."""
    detector = QueryOfDeathDetector()
    detector.note_answer(request(GUILTY), at=-10.0)
    crash_often(detector, GUILTY_EVENTS_ANSWERED - 1, GUILTY)
    assert isinstance(judge(detector, 5.0, GUILTY), Suspected)
    crash(detector, 50, 5.5, request(GUILTY))
    assert is_blocked(detector, 6.0, GUILTY)


def crash_together(detector, count, *, at):
    for lifetime in range(count):
        moment = at + 0.01 * lifetime
        crash(detector, (at, lifetime), moment, request(RARE), sent_before=0.5)


def test_endpoints_that_lose_power_together_are_one_event():
    detector = QueryOfDeathDetector()
    crash_together(detector, MANY_JOINT_CRASHES - 1, at=1.0)
    assert isinstance(judge(detector, 2.0, RARE), Clear)


def test_a_part_at_many_endpoints_that_end_together_is_only_suspected():
    """Either it crashed all of them, or they lost power before it was answered."""
    detector = QueryOfDeathDetector()
    crash_together(detector, 9, at=1.0)
    assert isinstance(judge(detector, 2.0, RARE), Suspected)
    crash(detector, 50, 3.0, request(RARE))
    assert is_blocked(detector, 4.0, RARE)


def test_a_retry_that_crashes_the_next_endpoint_at_once_counts():
    """It was sent after the first endpoint had crashed."""
    detector = QueryOfDeathDetector()
    bad = request(name=0)
    for number in range(3):
        crash(detector, number, 0.05 * number, bad, sent_before=0.02)
    assert isinstance(detector.judge(bad, now=1.0), Blocked)


def exchange(detectors, now):
    for sender, receiver in itertools.permutations(detectors, 2):
        receiver.merge(sender.report(now=now), now=now)


def test_crashes_are_counted_across_gateways_and_only_once():
    """Each caller reaches another gateway."""
    detectors = [QueryOfDeathDetector() for _ in range(3)]
    for number, detector in enumerate(detectors[:2]):
        crash(detector, number, float(number), request(GUILTY))
        crash(detector, 0, 0.0, request(GUILTY))
        exchange(detectors, now=1.5)
    assert isinstance(judge(detectors[2], 1.6, GUILTY), Suspected)
    crash(detectors[2], 5, 2.0, request(GUILTY))
    exchange(detectors, now=2.2)
    assert all(is_blocked(detector, 2.3, GUILTY) for detector in detectors)


def test_an_answer_at_one_gateway_clears_a_part_at_all():
    detectors = [QueryOfDeathDetector() for _ in range(2)]
    crash_often(detectors[0], 3, RARE)
    exchange(detectors, now=3.0)
    detectors[1].note_answer(request(RARE), at=3.1)
    exchange(detectors, now=3.2)
    assert isinstance(judge(detectors[0], 3.3, RARE), Clear)


def test_a_gateway_that_starts_learns_what_is_blocked():
    old = QueryOfDeathDetector()
    crash_often(old, 5, GUILTY)
    new = QueryOfDeathDetector()
    new.merge(old.report(now=1_000.0), now=1_000.0)
    assert is_blocked(new, 1_000.0, GUILTY)


def test_a_block_ends_in_a_probation():
    """The part may be mended; a single crash blocks it again."""
    detector = QueryOfDeathDetector()
    crash_often(detector, 3, GUILTY)
    end = 2.0 + BLOCK_SECONDS
    assert judge(detector, end - 1.0, GUILTY).seconds == 1.0
    assert judge(detector, end + 1.0, GUILTY) == Suspected(
        traits=frozenset({GUILTY}), since=end, turn=10.0
    )
    crash(detector, 50, end + 2.0, request(GUILTY))
    assert is_blocked(detector, end + 3.0, GUILTY)


def test_a_mended_part_is_released_by_an_answer():
    detector = QueryOfDeathDetector()
    crash_often(detector, 3, GUILTY)
    detector.note_answer(request(GUILTY), at=BLOCK_SECONDS + 5.0)
    assert isinstance(judge(detector, BLOCK_SECONDS + 6.0, GUILTY), Clear)


def test_crashes_are_forgotten():
    detector = QueryOfDeathDetector()
    crash_often(detector, 2, GUILTY)
    assert isinstance(judge(detector, 100.0, GUILTY), Suspected)
    assert isinstance(judge(detector, 2.0 + MEMORY_SECONDS, GUILTY), Clear)
    crash_often(detector, 3, OTHER, since=200.0)
    later = 203.0 + BLOCK_SECONDS + PROBATION_SECONDS
    assert isinstance(judge(detector, later, OTHER), Clear)
    assert detector.report(now=later) == ()


def test_a_large_crash_is_reported_briefly_and_in_part():
    """An endpoint crashes with hundreds of requests; updates must stay small."""
    detector = QueryOfDeathDetector()
    crash(detector, 1, 0.0, *(request() for _ in range(500)), request(RARE))
    told = detector.report(now=0.2)
    assert len(told) == MAX_REPORTED
    assert told[0].trait == RARE
    assert not detector.report(now=REPORT_SECONDS)


def test_many_crashes_are_reported_in_part():
    detector = QueryOfDeathDetector()
    crash_often(detector, 40, GUILTY)
    told = {report.trait: report for report in detector.report(now=41.0)}
    assert len(told[GUILTY].crashes) == MAX_REPORTED_CRASHES


def test_memory_is_bounded():
    detector = QueryOfDeathDetector()
    crash_often(detector, 3, GUILTY)
    for number in range(3):
        others = (request() for _ in range(MAX_RECORDS // 2))
        crash(detector, 50 + number, 10.0 + number, *others)
    assert len(detector._records) == MAX_RECORDS
    assert is_blocked(detector, 14.0, GUILTY)


class Oracle:
    """Knows the guilty parts: plays gateways whose endpoints crash on them.

    Each crash takes sound requests along.  What a gateway may send is sent.
    """

    def __init__(self, *, gateways, guilty):
        self.detectors = [QueryOfDeathDetector() for _ in range(gateways)]
        self.guilty = guilty
        self.crashes = dict.fromkeys(guilty, 0)
        self.now = 0.0
        self._lifetimes = itertools.count(1)

    def answer(self, gateway, parts):
        if not is_blocked(self.detectors[gateway], self.now, *parts):
            self.detectors[gateway].note_answer(request(*parts), at=self.now)

    def crash(self, gateway, guilty, parts, beside):
        """Send a guilty request; `beside` run at the same endpoint."""
        if is_blocked(self.detectors[gateway], self.now, guilty, *parts):
            return
        self.crashes[guilty] += 1
        lifetime = next(self._lifetimes)
        crash(self.detectors[gateway], lifetime, self.now, request(guilty, *parts))
        for other, sound in beside:
            crash(self.detectors[other], lifetime, self.now, request(*sound))

    def step(self, seconds=0.3):
        exchange(self.detectors, now=self.now)
        self.now += seconds


SOUND = tuple(make_part_trait(100 + 2 * n) for n in range(6))
gateway_numbers = st.integers(0, 2)
sound_parts = st.sets(st.sampled_from(SOUND), min_size=1, max_size=3)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    days=st.lists(
        st.tuples(
            gateway_numbers,
            st.sampled_from((GUILTY, OTHER)),
            sound_parts,
            st.lists(st.tuples(gateway_numbers, sound_parts), max_size=4),
        ),
        min_size=14,
        max_size=30,
    )
)
def test_the_guilty_parts_are_blocked_and_no_sound_one_for_good(days):
    """Sound parts share every crash; all of them are answered now and then."""
    oracle = Oracle(gateways=3, guilty=(GUILTY, OTHER))
    for part in SOUND:
        oracle.answer(0, {part})
    for gateway, guilty, parts, beside in days:
        oracle.crash(gateway, guilty, parts, beside)
        oracle.step()
        for number, part in enumerate(SOUND):
            oracle.answer(number % 3, {part})
    assert max(oracle.crashes.values()) <= 5
    oracle.step()
    for detector in oracle.detectors:
        assert not any(is_blocked(detector, oracle.now, part) for part in SOUND)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    days=st.lists(
        st.tuples(gateway_numbers, st.sets(st.sampled_from(SOUND[:3]), max_size=2)),
        min_size=8,
        max_size=20,
    )
)
def test_a_guilty_part_is_blocked_though_nothing_is_answered(days):
    """All endpoints crash, so that no answer tells the sound parts from it."""
    oracle = Oracle(gateways=3, guilty=(GUILTY,))
    for gateway, parts in days:
        oracle.crash(gateway, GUILTY, parts, [])
        oracle.step()
    assert oracle.crashes[GUILTY] <= 5
