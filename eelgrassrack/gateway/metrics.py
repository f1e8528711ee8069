"""Counters and histograms, served as text on the metrics address."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

# Histogram buckets in seconds, from the answer of an idle endpoint to the longest time
# limit of a route.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 25)


class GatewayMetrics:
    """All metrics of one gateway.  Their names and help texts are public."""

    __slots__ = (
        "_arrivals",
        "_crossed_bytes",
        "_ends",
        "_seconds",
        "blocked",
        "dropped_lines",
        "gateways",
        "heavy",
        "limited",
        "stalled_seconds",
        "registry",
        "slow",
        "store_answers",
        "suspected",
        "version",
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._arrivals = self._make_counter(
            "gateway_requests", "Requests that arrived."
        )
        self._ends = self._make_counter("gateway_ends", "Requests by their end.", "end")
        self._crossed_bytes = self._make_counter(
            "gateway_crossed_bytes",
            "Bytes to and from other failure domains, by what they were for.",
            "kind",
        )
        self._seconds = Histogram(
            "gateway_seconds",
            "Seconds from arrival to the first piece, and to the end.",
            ["until"],
            buckets=BUCKETS,
            registry=self.registry,
        )
        self.stalled_seconds = self._make_counter(
            "gateway_held_up_seconds",
            "Seconds in which the process couldn't go on with what was due.",
        )
        self.version = self._make_gauge(
            "gateway_configuration_version", "Configuration in force."
        )
        self.gateways = self._make_gauge(
            "gateway_entries",
            "Gateways that share the common limits, this one among them.",
        )
        self.store_answers = self._make_gauge(
            "gateway_store_answers",
            "1 while the platform's store answers, 0 while it doesn't.",
        )
        self.slow = self._make_gauge(
            "gateway_slow_endpoints",
            "Endpoints that take far longer than others of their service.",
        )
        self.limited = self._make_gauge(
            "gateway_limited_endpoints",
            "Endpoints that named a limit of which this gateway has a share.",
        )
        self.suspected = self._make_gauge(
            "gateway_suspected_parts",
            "Prompt parts that may crash endpoints; their requests go one at a time.",
        )
        self.blocked = self._make_gauge(
            "gateway_blocked_queries",
            "Prompt parts and requests that are refused, as they crash endpoints.",
        )
        self.heavy = self._make_gauge(
            "gateway_heavy_organisations",
            "Organisations that give way, taking several times the mean.",
        )
        self.dropped_lines = self._make_gauge(
            "gateway_log_lines_dropped",
            "Log lines dropped to keep the volume bounded.",
        )

    def _make_counter(self, name: str, meaning: str, *labels: str) -> Counter:
        return Counter(name, meaning, labels, registry=self.registry)

    def _make_gauge(self, name: str, meaning: str) -> Gauge:
        return Gauge(name, meaning, registry=self.registry)

    def count_arrival(self) -> None:
        """Count an arriving request."""
        self._arrivals.inc()

    def count_end(self, end: str) -> None:
        """Count the end of a request, `end` being its kind."""
        self._ends.labels(end).inc()

    def count_crossed(self, size: int, kind: str) -> None:
        """Count bytes sent to or received from other failure domains.

        `kind` is what they were for.
        """
        self._crossed_bytes.labels(kind).inc(size)

    def observe_seconds(self, seconds: float, until: str) -> None:
        """Observe the seconds from a request's arrival until `until`."""
        self._seconds.labels(until).observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
