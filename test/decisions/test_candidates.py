"""Which endpoints are weighed for a request, of many."""

import collections
import random

from eelgrassrack.decisions.candidates import (
    FAR_WEIGHED,
    MAX_WEIGHED,
    NEAR_WEIGHED,
    draw_candidates,
    find_home,
)

# The endpoints of one service at hundreds of machines, in five failure domains.
ENDPOINTS = [f"e{number}" for number in range(3_000)]
NEAR = ENDPOINTS[:600]
FAR = ENDPOINTS[600:]


def draw(request, *, near=NEAR, far=FAR):
    return draw_candidates(near=near, far=far, request=request)


def test_few_endpoints_are_all_weighed():
    near, far = ENDPOINTS[:20], ENDPOINTS[20:MAX_WEIGHED]
    assert sorted(draw("r", near=near, far=far)) == sorted([*near, *far])


def test_of_many_endpoints_a_bounded_number_is_weighed():
    """Guards against processor time of each request that grows with the fleet."""
    for near in (0, 1, 10, 600, 3_000):
        drawn = draw("r", near=ENDPOINTS[:near], far=ENDPOINTS[near:])
        assert len(drawn) == len(set(drawn)) == NEAR_WEIGHED + FAR_WEIGHED


def test_all_endpoints_are_weighed_equally_often():
    """Guards against endpoints of a large fleet that never get a request."""
    counts = collections.Counter()
    for number in range(6_000):
        counts.update(draw(f"request {number}"))
    near = [counts[name] for name in NEAR]
    far = [counts[name] for name in FAR]
    assert min(near) > 0.7 * sum(near) / len(near)
    assert max(near) < 1.3 * sum(near) / len(near)
    assert min(far) > 0


def test_a_request_s_endpoints_are_the_same_at_each_call():
    """Its models are compared on the same endpoints, and then one is placed there."""
    assert draw("r") == draw("r") != draw("another")


def test_the_load_of_many_requests_is_spread_nearly_as_by_weighing_all():
    """Answers to the pattern of hundreds of entries before thousands of engines."""
    rng = random.Random(1)
    load = collections.Counter(dict.fromkeys(NEAR, 0))
    for number in range(len(NEAR) * 4):
        drawn = [name for name in draw(f"request {number}") if name in load]
        load[min(drawn, key=lambda name: (load[name], rng.random()))] += 1
    assert max(load.values()) <= 6


def test_entries_agree_on_the_home_of_a_prefix():
    names = list(ENDPOINTS)
    home = find_home(names, "part")
    random.Random(2).shuffle(names)
    assert find_home(names, "part") == home
