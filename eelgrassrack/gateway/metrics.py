"""Counters and histograms, served as text on the metrics address."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

# Seconds: from an idle endpoint's answer to the longest time limit of a route.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 25)


class GatewayMetrics:
    """What operators may read of one gateway."""

    __slots__ = (
        "_arrived",
        "_crossed",
        "_ended",
        "_took",
        "dropped_lines",
        "entries",
        "heavy",
        "held_up",
        "registry",
        "slow",
        "store",
        "version",
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._arrived = self._count("gateway_requests", "Requests that arrived.")
        self._ended = self._count("gateway_ends", "Requests by their end.", "end")
        self._crossed = self._count(
            "gateway_crossed_bytes",
            "Bytes to and from other failure domains, by what they were for.",
            "kind",
        )
        self._took = Histogram(
            "gateway_seconds",
            "Seconds from arrival to the first piece, and to the end.",
            ["until"],
            buckets=BUCKETS,
            registry=self.registry,
        )
        self.held_up = self._count(
            "gateway_held_up_seconds",
            "Seconds in which the process couldn't go on with what was due.",
        )
        self.version = self._show(
            "gateway_configuration_version", "Configuration in force."
        )
        self.entries = self._show(
            "gateway_entries",
            "Gateways that share the common limits, this one among them.",
        )
        self.store = self._show(
            "gateway_store_answers",
            "1 while the platform's store answers, 0 while it doesn't.",
        )
        self.slow = self._show(
            "gateway_slow_endpoints",
            "Endpoints that take far longer than others of their service.",
        )
        self.heavy = self._show(
            "gateway_heavy_organisations",
            "Organisations that give way, taking several times the mean.",
        )
        self.dropped_lines = self._show(
            "gateway_log_lines_dropped",
            "Log lines dropped to keep the volume bounded.",
        )

    def _count(self, name: str, meaning: str, *labels: str) -> Counter:
        return Counter(name, meaning, labels, registry=self.registry)

    def _show(self, name: str, meaning: str) -> Gauge:
        return Gauge(name, meaning, registry=self.registry)

    def count_arrival(self) -> None:
        """Count a request."""
        self._arrived.inc()

    def count_end(self, end: str) -> None:
        """Count a request's end."""
        self._ended.labels(end).inc()

    def count_crossed(self, size: int, kind: str) -> None:
        """Count bytes that crossed failure domains."""
        self._crossed.labels(kind).inc(size)

    def observe_seconds(self, seconds: float, until: str) -> None:
        """Note a duration."""
        self._took.labels(until).observe(seconds)

    def render(self) -> bytes:
        """Return all as text."""
        return generate_latest(self.registry)
