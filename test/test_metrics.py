"""Tests of the metrics with a real UDP socket."""

import socket

import pytest

from eelgrassrack.metrics import (
    ALL_METRICS,
    FIRST_TOKEN,
    IN_FLIGHT,
    REFUSED,
    REQUESTS,
    Metrics,
    MetricsError,
)
from eelgrassrack.settings import MetricSettings


@pytest.fixture
def listener():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(10)
        yield sock


def make_metrics(listener, **options):
    host, port = listener.getsockname()
    settings = MetricSettings(host=host, port=port, prefix="x")
    return Metrics(settings=settings, **options)


def test_what_is_sent(listener):
    metrics = make_metrics(listener, clock=iter([1.0, 1.5]).__next__)
    metrics.count(REQUESTS, 2)
    metrics.count(REFUSED, label="no key.")
    metrics.gauge(IN_FLIGHT, 7)
    with metrics.measure(FIRST_TOKEN):
        pass
    metrics.close()
    metrics.count(REQUESTS)
    assert [listener.recv(100).decode() for _ in range(4)] == [
        "x.entry.requests:2|c",
        "x.entry.refused.no_key_:1|c",
        "x.entry.in_flight:7|g",
        "x.entry.first_token:500.000000|ms",
    ]


def test_nothing_is_sent_without_a_host():
    metrics = Metrics(settings=MetricSettings())
    metrics.count(REQUESTS)
    metrics.gauge(IN_FLIGHT, 1)
    metrics.time(FIRST_TOKEN, 0.1)
    metrics.close()


def test_a_full_socket_does_not_block(listener):
    """The metrics host is overloaded and stops reading.

    With a blocking socket every request would wait for it.
    """
    metrics = make_metrics(listener)
    assert metrics._client._sock.getblocking() is False
    metrics.close()


def test_wrong_use_raises(listener):
    metrics = make_metrics(listener)
    with pytest.raises(MetricsError):
        metrics.gauge(REQUESTS, 1)
    with pytest.raises(MetricsError):
        metrics.count(REFUSED)
    metrics.close()


def test_names_are_unique():
    names = [metric.name for metric in ALL_METRICS]
    assert len(set(names)) == len(names)
