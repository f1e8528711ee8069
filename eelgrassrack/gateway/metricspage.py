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

from .metrics import Histogram, Metric


class _Page(Collector):
    """The metrics of a process, as the library asks for them."""

    def __init__(
        self,
        *,
        counters: Iterable[Metric],
        gauges: Iterable[Metric],
        histograms: Iterable[Histogram],
    ) -> None:
        self._counters = counters
        self._gauges = gauges
        self._histograms = histograms

    def collect(self) -> Iterator[Family]:
        """Yield each metric with all its labels."""
        for counter in self._counters:
            yield _fill(CounterMetricFamily, counter)
        for histogram in self._histograms:
            yield _fill_buckets(histogram)
        for gauge in self._gauges:
            yield _fill(GaugeMetricFamily, gauge)


def render_page(
    *,
    counters: Iterable[Metric],
    gauges: Iterable[Metric],
    histograms: Iterable[Histogram],
) -> bytes:
    """Return the metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_Page(counters=counters, gauges=gauges, histograms=histograms))
    return generate_latest(registry)


def _fill(
    kind: type[CounterMetricFamily | GaugeMetricFamily], metric: Metric
) -> Family:
    family = kind(
        metric.name, metric.meaning, labels=[metric.label] if metric.label else []
    )
    for label, value in metric.values.items():
        family.add_metric([label] if metric.label else [], value)
    return family


def _fill_buckets(histogram: Histogram) -> Family:
    family = HistogramMetricFamily(
        histogram.name, histogram.meaning, labels=[histogram.label]
    )
    for label, observations in histogram.values.items():
        family.add_metric([label], list(observations.cumulative), observations.total)
    return family
