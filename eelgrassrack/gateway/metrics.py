"""Counters and histograms, served as text on the metrics address.

The numbers are kept here as they are counted.  The library that renders them is loaded
when they are read for the first time: it takes a tenth of the processor time of a
start, and callers wait for a gateway that starts after a failure.
"""

import bisect
import itertools
from collections.abc import Iterator
from typing import TypeVar

# Histogram buckets in seconds, from the answer of an idle endpoint to the longest time
# limit of a route.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 25)


class Counter:
    """A number that only grows, for each value of its label, or one without."""

    __slots__ = ("label", "meaning", "name", "values")

    def __init__(self, *, name: str, meaning: str, label: str = "") -> None:
        self.name = name
        self.meaning = meaning
        self.label = label
        self.values: dict[str, float] = {} if label else {"": 0.0}

    def inc(self, amount: float = 1.0, label: str = "") -> None:
        """Add `amount` to the number of a label."""
        self.values[label] = self.values.get(label, 0.0) + amount


class Gauge:
    """A number that rises and falls."""

    __slots__ = ("meaning", "name", "value")

    def __init__(self, *, name: str, meaning: str) -> None:
        self.name = name
        self.meaning = meaning
        self.value = 0.0

    def set(self, value: float) -> None:
        """Set the number."""
        self.value = float(value)


class Observations:
    """The observed values of one label: how many lie in each bucket, and their sum."""

    __slots__ = ("_counts", "total")

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        """Count a value in the first bucket that isn't below it."""
        self._counts[bisect.bisect_left(BUCKETS, value)] += 1
        self.total += value

    @property
    def cumulative(self) -> Iterator[tuple[str, int]]:
        """Return each bucket's bound and how many values lie up to it."""
        bounds = (*(str(float(bound)) for bound in BUCKETS), "+Inf")
        return zip(bounds, itertools.accumulate(self._counts), strict=True)


class Histogram:
    """The distribution of observed values, for each value of its label."""

    __slots__ = ("label", "meaning", "name", "values")

    def __init__(self, *, name: str, meaning: str, label: str) -> None:
        self.name = name
        self.meaning = meaning
        self.label = label
        self.values: dict[str, Observations] = {}

    def observe(self, value: float, label: str) -> None:
        """Count a value under a label."""
        self.values.setdefault(label, Observations()).add(value)


Metric = Counter | Gauge | Histogram
M = TypeVar("M", Counter, Gauge, Histogram)


class GatewayMetrics:
    """All metrics of one gateway.  Their names and help texts are public."""

    __slots__ = (
        "_all",
        "_arrivals",
        "_crossed_bytes",
        "_ends",
        "_gave_way",
        "_seconds",
        "blocked",
        "caller_bytes",
        "dropped_lines",
        "endless",
        "full_memory",
        "gateways",
        "heavy",
        "held_bytes",
        "left_connections",
        "limited",
        "load_ratio",
        "loop_delay",
        "stalled_seconds",
        "reported_slow",
        "slow",
        "store_answers",
        "suspected",
        "version",
    )

    def __init__(self) -> None:
        self._all: list[Metric] = []
        self._arrivals = self._make(
            Counter, name="gateway_requests", meaning="Requests that arrived."
        )
        self._ends = self._make(
            Counter, name="gateway_ends", meaning="Requests by their end.", label="end"
        )
        self._crossed_bytes = self._make(
            Counter,
            name="gateway_crossed_bytes",
            meaning="Bytes to and from other failure domains, by what they were for.",
            label="kind",
        )
        self._seconds = self._make(
            Histogram,
            name="gateway_seconds",
            meaning="Seconds from arrival to the first piece, and to the end.",
            label="until",
        )
        self.stalled_seconds = self._make(
            Counter,
            name="gateway_held_up_seconds",
            meaning="Seconds in which the process couldn't go on with what was due.",
        )
        self.left_connections = self._make(
            Counter,
            name="gateway_left_connections",
            meaning="Connections closed unread, for other gateways with room.",
        )
        self.endless = self._make(
            Counter,
            name="gateway_endless_answers",
            meaning="Answers broken off for sending more than an answer may have.",
        )
        self.full_memory = self._make(
            Counter,
            name="gateway_full_memory",
            meaning="Messages broken off as all of them together took too much memory.",
        )
        self._gave_way = self._make(
            Counter,
            name="gateway_gave_way",
            meaning="Callers whose connection made room, by what it was used for.",
            label="phase",
        )
        self.caller_bytes = self._make(
            Gauge,
            name="gateway_caller_bytes",
            meaning="Bytes that callers make the process hold, at what they cost.",
        )
        self.held_bytes = self._make(
            Gauge,
            name="gateway_held_bytes",
            meaning="Bytes held of requests and answers that aren't complete.",
        )
        self.version = self._make(
            Gauge,
            name="gateway_configuration_version",
            meaning="Configuration in force.",
        )
        self.gateways = self._make(
            Gauge,
            name="gateway_entries",
            meaning="Gateways that share the common limits, this one among them.",
        )
        self.store_answers = self._make(
            Gauge,
            name="gateway_store_answers",
            meaning="1 while the platform's store answers, 0 while it doesn't.",
        )
        self.slow = self._make(
            Gauge,
            name="gateway_slow_endpoints",
            meaning="Endpoints that take far longer than others of their service.",
        )
        self.reported_slow = self._make(
            Gauge,
            name="gateway_reported_slow_endpoints",
            meaning="Endpoints that report that work takes longer there than usual.",
        )
        self.limited = self._make(
            Gauge,
            name="gateway_limited_endpoints",
            meaning="Endpoints that named a limit of which this gateway has a share.",
        )
        self.loop_delay = self._make(
            Gauge,
            name="gateway_loop_delay_seconds",
            meaning="Seconds that the event loop took for its latest turn.",
        )
        self.load_ratio = self._make(
            Gauge,
            name="gateway_load_ratio",
            meaning="Requests per second here, as a multiple of the peers' mean.",
        )
        self.suspected = self._make(
            Gauge,
            name="gateway_suspected_parts",
            meaning=(
                "Prompt parts that may crash endpoints; "
                "their requests go one at a time."
            ),
        )
        self.blocked = self._make(
            Gauge,
            name="gateway_blocked_queries",
            meaning=(
                "Prompt parts and requests that are refused, as they crash endpoints."
            ),
        )
        self.heavy = self._make(
            Gauge,
            name="gateway_heavy_organisations",
            meaning="Organisations that give way, taking several times the mean.",
        )
        self.dropped_lines = self._make(
            Gauge,
            name="gateway_log_lines_dropped",
            meaning="Log lines dropped to keep the volume bounded.",
        )

    def _make(self, kind: type[M], **texts: str) -> M:
        """Create a metric, which is rendered with all others."""
        metric = kind(**texts)
        self._all.append(metric)
        return metric

    def count_arrival(self) -> None:
        """Count an arriving request."""
        self._arrivals.inc()

    def count_end(self, end: str) -> None:
        """Count the end of a request, `end` being its kind."""
        self._ends.inc(label=end)

    def count_gave_way(self, phase: str) -> None:
        """Count a caller whose connection made room while it was used for `phase`."""
        self._gave_way.inc(label=phase)

    def count_crossed(self, size: int, kind: str) -> None:
        """Count bytes sent to or received from other failure domains.

        `kind` is what they were for.
        """
        self._crossed_bytes.inc(size, kind)

    def observe_seconds(self, seconds: float, until: str) -> None:
        """Observe the seconds from a request's arrival until `until`."""
        self._seconds.observe(seconds, until)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from .metricspage import render_page

        return render_page(self._all)
