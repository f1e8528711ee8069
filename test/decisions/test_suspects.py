"""Tests of the endpoints that get unrepeatable requests.

Pattern of the load below: an organisation sends several times its usual while two of a
service's three endpoints lose an answer now and then.
"""

import heapq
import itertools
import random

import pytest

from eelgrassrack.decisions.suspects import avoid_suspected, has_room

SLOTS = 6
QUEUE = 24
RUN_SECONDS = 0.072
LOSS_SHARE = 0.05


def avoid(endpoints, *suspected, is_repeatable=False, full=""):
    return avoid_suspected(
        endpoints,
        is_suspected=lambda one: one in suspected,
        has_room=lambda one: one not in full,
        is_repeatable=is_repeatable,
    )


class Endpoint:
    """An endpoint with a queue; `ends` are the times at which its requests end."""

    def __init__(self, *, loses):
        self.loses = loses
        self.ends = []

    def forget_ended(self, now):
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)

    def take(self, now):
        """Return when a request ends that comes now, None if it is rejected."""
        if len(self.ends) >= SLOTS + QUEUE:
            return None
        waiting = max(len(self.ends) + 1 - SLOTS, 0)
        start = sorted(self.ends)[waiting - 1] if waiting else now
        heapq.heappush(self.ends, start + RUN_SECONDS)
        return start + RUN_SECONDS


def play(rate, seed, seconds=8.0, objective=0.358):
    """Return the share of requests that are answered in time."""
    rng = random.Random(seed)
    endpoints = [Endpoint(loses=loses) for loses in (True, True, False)]
    times = itertools.accumulate(iter(lambda: rng.expovariate(rate), None))
    in_time = []
    for now in itertools.takewhile(lambda at: at < seconds, times):
        for endpoint in endpoints:
            endpoint.forget_ended(now)
        allowed = avoid_suspected(
            endpoints,
            is_suspected=lambda one: one.loses,
            has_room=lambda one: has_room(running=len(one.ends), slots=SLOTS),
            is_repeatable=False,
        )
        chosen = min(allowed, key=lambda one: len(one.ends))
        ended = chosen.take(now)
        is_lost = chosen.loses and rng.random() < LOSS_SHARE
        in_time.append(ended is not None and not is_lost and ended <= now + objective)
    return sum(in_time) / len(in_time)


@pytest.mark.parametrize("rate", [60.0, 120.0, 200.0])
@pytest.mark.parametrize("seed", range(3))
def test_a_burst_is_served_though_most_endpoints_lost_an_answer(rate, seed):
    """Guards against all of a burst at the one endpoint that lost nothing."""
    assert play(rate, seed) > 0.93


def test_full_endpoints_don_t_keep_requests_from_suspected_ones():
    assert avoid("abc", "b", full="a") == ["a", "c"]
    assert avoid("abc", "b", "c", full="a") == ["a", "b", "c"]


def test_unrepeatable_requests_avoid_an_endpoint_that_loses_answers():
    """One endpoint of three resets its connections although it looks healthy."""
    assert avoid("abc", "b") == ["a", "c"]


def test_repeatable_requests_find_out_whether_it_has_recovered():
    assert avoid("abc", "b", is_repeatable=True) == ["a", "b", "c"]


def test_with_all_suspected_none_is_left_out():
    """All connections of an entry were reset, so no endpoint is worse than another."""
    assert avoid("abc", *"abc") == ["a", "b", "c"]


def test_without_endpoints_there_are_none():
    assert avoid("") == []
