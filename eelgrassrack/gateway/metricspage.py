"""Renders metrics as text with the Prometheus library, which loads slowly."""

from collections.abc import Iterable, Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.metrics_core import Metric as Family
from prometheus_client.registry import Collector

from .metrics import Counter, Gauge, Histogram, Metric


class _Page(Collector):
    """The metrics of a process, as the library asks for them."""

    def __init__(self, metrics: Iterable[Metric]) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Family]:
        """Yield each metric with all its labels."""
        return map(_convert, self._metrics)


def render_page(metrics: Iterable[Metric]) -> bytes:
    """Return the metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_Page(metrics))
    return generate_latest(registry)


def _convert(metric: Metric) -> Family:
    match metric:
        case Gauge():
            return GaugeMetricFamily(metric.name, metric.meaning, value=metric.value)
        case Counter(label=""):
            (value,) = metric.values.values()
            return CounterMetricFamily(metric.name, metric.meaning, value=value)
        case Counter():
            family = CounterMetricFamily(
                metric.name, metric.meaning, labels=[metric.label]
            )
            for label, value in metric.values.items():
                family.add_metric([label], value)
        case Histogram():
            family = HistogramMetricFamily(
                metric.name, metric.meaning, labels=[metric.label]
            )
            for label, observations in metric.values.items():
                family.add_metric(
                    [label], list(observations.cumulative), observations.total
                )
    return family
