"""Tests that each safeguard is needed: its test fails while it is disabled."""

import asyncio
import itertools

import pytest

from eelgrassrack.decisions.fairshare import Usage
from eelgrassrack.decisions.runs import Traits
from eelgrassrack.gateway.endpoints import coldlimits, endpointreports, fleet, selection
from eelgrassrack.gateway.endpoints.connection import Connection
from eelgrassrack.gateway.endpoints.pool import ConnectionPool
from eelgrassrack.gateway.requests import attempts, ingress, job
from eelgrassrack.gateway.requests.events import Events, EventSplitter
from eelgrassrack.gateway.requests.ingress import Ingress
from eelgrassrack.gateway.requests.job import Job
from eelgrassrack.gateway.store import follower
from eelgrassrack.gateway.store.configuration import Router
from eelgrassrack.platform import headers

from . import (
    test_cold_starts,
    test_crashes,
    test_crashing_parts,
    test_endpoints,
    test_follower,
    test_limits,
    test_serving,
    test_stop,
    test_streams,
)
from .testids import make_id

# How a test ends when its safeguard is missing: a failed assertion, a timeout or a
# broken connection.
FAILURES = (AssertionError, TimeoutError, asyncio.IncompleteReadError, ConnectionError)

encode_request = headers.encode_request


def feed_at_once(splitter, data):
    """Forward bytes as they arrive, even partial events."""
    splitter.last_id = Events(data, splitter.last_id).last_id
    return Events(data, splitter.last_id)


def apply_any(router, configuration):
    """Apply a configuration whatever its version."""
    router.configuration = configuration
    router._routes = configuration.index_routes()
    return True


def encode_for_anyone(**rest):
    """Leave out the name of the intended endpoint."""
    pairs = encode_request(**rest)
    return [pair for pair in pairs if pair[0] != headers.EXPECT_ENDPOINT]


# The addresses of arrivals repeat once an arrival is gone.
trait_numbers = itertools.count()


GUARDS = {
    "a non-idempotent request isn't retried": (
        [(Job, "is_repeatable", property(lambda job: True))],
        test_serving.test_a_non_idempotent_request_runs_once,
    ),
    "only complete events are forwarded": (
        [(EventSplitter, "feed", feed_at_once)],
        test_streams.test_a_stream_resumes_on_another_endpoint,
    ),
    "a lost answer is reported to all gateways": (
        [(selection, "avoid_suspected", lambda found, **_: list(found))],
        test_endpoints.test_all_gateways_avoid_an_endpoint_after_one_lost_answer,
    ),
    "peers' reports make an endpoint slow": (
        [(endpointreports, "find_slow", lambda timings: {})],
        test_endpoints.test_all_gateways_learn_which_endpoint_is_slow,
    ),
    "an organisation's burst is deprioritised": (
        [(Usage, "find_heavy", lambda usage, reports: frozenset())],
        test_streams.test_all_gateways_deprioritise_an_organisations_burst,
    ),
    "a request names its endpoint": (
        [(headers, "encode_request", encode_for_anyone)],
        test_serving.test_a_reused_address_doesnt_run_requests_for_another_endpoint,
    ),
    "a request to a silent endpoint times out": (
        [(attempts, "find_first_timeout", lambda **_: None)],
        test_endpoints.test_a_request_that_is_never_answered_goes_elsewhere,
    ),
    "connections with unread bytes stay open at a stop": (
        [(ingress, "has_unread", lambda stream: False)],
        test_stop.test_a_request_that_lies_unread_isnt_closed_with_the_idle,
    ),
    "only newer configurations are applied": (
        [(Router, "update", apply_any)],
        test_follower.test_only_newer_configurations_are_taken,
    ),
    "an overdue watch is cancelled": (
        [(follower, "OVERDUE_SECONDS", 100.0)],
        test_follower.test_a_watch_that_is_never_answered_is_detected_within_its_bound,
    ),
    "only the first gateways send to a cold endpoint": (
        [(coldlimits, "count_before", lambda **_: 0)],
        test_cold_starts.test_more_gateways_than_requests_a_second_at_a_cold_endpoint,
    ),
    "an endpoint that broke a connection is checked": (
        [(ConnectionPool, "check", lambda pool, endpoint: None)],
        test_crashes.test_a_query_of_death_is_detected_without_other_requests,
    ),
    "an endpoint that closes right after an answer is checked": (
        [(ConnectionPool, "_note_idle_closed", lambda pool, *_: None)],
        test_crashing_parts.test_a_gateway_that_starts_does_not_send_what_is_blocked,
    ),
    "parts of prompts are blamed for crashes": (
        [(job, "find_traits", lambda arrival, permit: Traits(next(trait_numbers)))],
        test_crashing_parts.test_a_gateway_that_starts_does_not_send_what_is_blocked,
    ),
    "entries that lapsed are kept for a while": (
        [(fleet, "LAPSE_SECONDS", 0.0)],
        test_follower.test_an_entry_that_lapsed_in_an_outage_is_kept_until_it_is_back,
    ),
    "slow headers end the connection": (
        [(Ingress, "close_overdue", lambda ingress: None)],
        test_limits.test_headers_that_arrive_too_slowly_end_the_connection,
    ),
    "stray bytes end a kept connection": (
        [
            (Connection, "has_stray_bytes", property(lambda connection: False)),
            (Connection, "release", lambda connection: True),
        ],
        test_serving.test_bytes_after_an_answer_reach_no_other_request,
    ),
}


@pytest.mark.parametrize("guard", list(GUARDS), ids=make_id)
def test_a_guard_is_needed(monkeypatch, guard):
    patches, run_test = GUARDS[guard]
    for owner, name, without in patches:
        monkeypatch.setattr(owner, name, without)
    with pytest.raises(FAILURES):
        run_test()
