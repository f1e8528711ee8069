"""Counters and histograms, served as text on the metrics address."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

# Seconds: from an idle endpoint's answer to the longest time limit of a route.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 25)


class GatewayMetrics:
    """What operators may read of one gateway."""

    __slots__ = (
        "_arrived",
        "_ended",
        "_took",
        "dropped_lines",
        "entries",
        "heavy",
        "registry",
        "slow",
        "store",
        "version",
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._arrived = Counter(
            "gateway_requests", "Requests that arrived.", registry=self.registry
        )
        self._ended = Counter(
            "gateway_ends",
            "Requests by their end.",
            ["end"],
            registry=self.registry,
        )
        self._took = Histogram(
            "gateway_seconds",
            "Seconds from arrival to the first piece, and to the end.",
            ["until"],
            buckets=BUCKETS,
            registry=self.registry,
        )
        self.version = Gauge(
            "gateway_configuration_version",
            "Configuration in force.",
            registry=self.registry,
        )
        self.entries = Gauge(
            "gateway_entries",
            "Gateways that share the common limits, this one among them.",
            registry=self.registry,
        )
        self.store = Gauge(
            "gateway_store_answers",
            "1 while the platform's store answers, 0 while it doesn't.",
            registry=self.registry,
        )
        self.slow = Gauge(
            "gateway_slow_endpoints",
            "Endpoints that take far longer than others of their service.",
            registry=self.registry,
        )
        self.heavy = Gauge(
            "gateway_heavy_organisations",
            "Organisations that give way, taking several times the mean.",
            registry=self.registry,
        )
        self.dropped_lines = Gauge(
            "gateway_log_lines_dropped",
            "Log lines dropped to keep the volume bounded.",
            registry=self.registry,
        )

    def arrived(self) -> None:
        """Count a request."""
        self._arrived.inc()

    def ended(self, end: str) -> None:
        """Count a request's end."""
        self._ended.labels(end).inc()

    def took(self, seconds: float, until: str) -> None:
        """Note a duration."""
        self._took.labels(until).observe(seconds)

    def render(self) -> bytes:
        """Return all as text."""
        return generate_latest(self.registry)
