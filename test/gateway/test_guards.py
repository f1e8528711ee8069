"""Each guarding rule is needed: with it switched off, its failure is seen."""

import asyncio

import pytest

from eelgrassrack.decisions.fairshare import Usage
from eelgrassrack.gateway import (
    attempts,
    endpointreports,
    fleet,
    follower,
    ingress,
    placing,
)
from eelgrassrack.gateway.configuration import Router
from eelgrassrack.gateway.connection import Connection
from eelgrassrack.gateway.events import Events, EventSplitter
from eelgrassrack.gateway.ingress import Ingress
from eelgrassrack.gateway.job import Job
from eelgrassrack.gateway.pool import ConnectionPool
from eelgrassrack.platform import headers

from . import (
    test_cold_starts,
    test_crashes,
    test_endpoints,
    test_follower,
    test_limits,
    test_serving,
    test_stop,
    test_streams,
)

# What a test of a failure ends with when the failure comes about: a check that
# fails, a wait that is over, or an answer that breaks off.
SEEN = (AssertionError, TimeoutError, asyncio.IncompleteReadError, ConnectionError)

encode_request = headers.encode_request


def feed_at_once(splitter, data):
    """Pass on bytes as they come, whole events or not."""
    splitter.last_id = Events(data, splitter.last_id).last_id
    return Events(data, splitter.last_id)


def take_any(router, plan):
    """Take over a configuration whatever its version."""
    router.configuration = plan
    router._routes = plan.index_routes()
    return True


def encode_for_anyone(**rest):
    """Leave out which endpoint is meant."""
    pairs = encode_request(**rest)
    return [pair for pair in pairs if pair[0] != headers.EXPECT_ENDPOINT]


GUARDS = {
    "what may run once only isn't repeated": (
        [(Job, "is_repeatable", property(lambda job: True))],
        test_serving.test_what_may_not_be_repeated_runs_once,
    ),
    "events are held back until they are whole": (
        [(EventSplitter, "feed", feed_at_once)],
        test_streams.test_a_stream_goes_on_at_another_endpoint,
    ),
    "one lost answer is told to all": (
        [(placing, "avoid_suspected", lambda found, **_: list(found))],
        test_endpoints.test_one_lost_answer_is_a_warning_to_all,
    ),
    "what peers saw makes an endpoint slow": (
        [(endpointreports, "find_slow", lambda timings: {})],
        test_endpoints.test_all_gateways_learn_which_endpoint_is_slow,
    ),
    "an organisation's burst gives way": (
        [(Usage, "find_heavy", lambda usage, told: frozenset())],
        test_streams.test_one_organisation_s_burst_gives_way_at_all_gateways,
    ),
    "the endpoint is named to which a request goes": (
        [(headers, "encode_request", encode_for_anyone)],
        test_serving.test_a_reused_address_runs_nothing,
    ),
    "a silent endpoint is given up": (
        [(attempts, "find_first_timeout", lambda **_: None)],
        test_endpoints.test_a_request_that_is_never_answered_goes_elsewhere,
    ),
    "connections with unread bytes stay open at a stop": (
        [(ingress, "has_unread", lambda stream: False)],
        test_stop.test_a_request_that_lies_unread_isnt_closed_with_the_idle,
    ),
    "only newer configurations are taken": (
        [(Router, "update", take_any)],
        test_follower.test_only_newer_configurations_are_taken,
    ),
    "an overdue watch is given up": (
        [(follower, "OVERDUE_SECONDS", 100.0)],
        test_follower.test_a_deaf_watch_is_found_out_within_its_bound,
    ),
    "only the first gateways have a place at a cold endpoint": (
        [(placing, "count_before", lambda **_: 0)],
        test_cold_starts.test_more_gateways_than_a_cold_endpoint_bears_requests_a_second,
    ),
    "an endpoint that broke a connection is checked": (
        [(ConnectionPool, "check", lambda pool, **_: None)],
        test_crashes.test_what_crashed_three_endpoints_is_known_though_nobody_came_by,
    ),
    "entries that lapsed are kept for a while": (
        [(fleet, "LAPSE_SECONDS", 0.0)],
        test_follower.test_an_entry_that_lapsed_in_an_outage_is_kept_until_it_is_back,
    ),
    "slow heads are ended": (
        [(Ingress, "close_overdue", lambda ingress: None)],
        test_limits.test_a_head_that_comes_too_slowly_ends,
    ),
    "stray bytes end a kept connection": (
        [
            (Connection, "has_stray_bytes", property(lambda connection: False)),
            (Connection, "release", lambda connection: True),
        ],
        test_serving.test_bytes_after_an_answer_are_no_one_elses,
    ),
}


@pytest.mark.parametrize("guard", list(GUARDS))
def test_a_guard_is_needed(monkeypatch, guard):
    switches, show = GUARDS[guard]
    for owner, name, without in switches:
        monkeypatch.setattr(owner, name, without)
    with pytest.raises(SEEN):
        show()
