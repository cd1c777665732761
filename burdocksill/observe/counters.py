"""Counters and histograms of one VM, in the Prometheus text format."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import attrs
import trio
from hdrh.histogram import HdrHistogram
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Metric,
    disable_created_metrics,
    generate_latest,
)
from prometheus_client.registry import Collector

LOWEST_MICROSECONDS: Final = 1
HIGHEST_MICROSECONDS: Final = 3_600_000_000
SIGNIFICANT_FIGURES: Final = 2
MICROSECONDS: Final = 1_000_000
QUANTILES: Final = (0.5, 0.9, 0.99, 0.999, 1)
PERCENT: Final = 100
PREFIX: Final = 'burdocksill_'

# Leaves out the `_created` sample of each counter, which is not used.
disable_created_metrics()  # type: ignore[no-untyped-call]


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds, up to an hour."""
    return HdrHistogram(
        LOWEST_MICROSECONDS,
        HIGHEST_MICROSECONDS,
        SIGNIFICANT_FIGURES,
    )


@attrs.define(kw_only=True)
class LabelledHistogram:
    """Durations of one name and set of labels."""

    name: str
    labels: dict[str, str]
    values: HdrHistogram = attrs.field(factory=make_histogram)

    def add_to(self, metric: Metric) -> None:
        """Add the quantiles, in seconds, and the count to a metric."""
        for quantile in QUANTILES:
            microseconds = self.values.get_value_at_percentile(
                quantile * PERCENT,
            )
            metric.add_sample(
                metric.name,
                {**self.labels, 'quantile': str(quantile)},
                microseconds / MICROSECONDS,
            )
        count = self.values.get_total_count()
        metric.add_sample(f'{metric.name}_count', self.labels, count)


@attrs.define(kw_only=True, eq=False)
class HistogramCollector(Collector):
    """Collector that exports histograms as summaries with quantiles."""

    histograms: dict[tuple[object, ...], LabelledHistogram]

    def collect(self) -> Iterator[Metric]:
        """Yield one summary for each name."""
        metrics: dict[str, Metric] = {}
        for histogram in self.histograms.values():
            name = histogram.name
            if name not in metrics:
                metrics[name] = Metric(
                    f'{PREFIX}{name}_seconds',
                    name.replace('_', ' '),
                    'summary',
                )
            histogram.add_to(metrics[name])
        yield from metrics.values()


@attrs.define(kw_only=True)
class Counters:
    """Counters and histograms of one VM, by name and labels."""

    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    families: dict[str, Counter] = attrs.field(factory=dict)
    children: dict[tuple[object, ...], Counter] = attrs.field(factory=dict)
    histograms: dict[tuple[object, ...], LabelledHistogram] = attrs.field(
        factory=dict,
    )

    def __attrs_post_init__(self) -> None:
        """Register the histograms for rendering."""
        self.registry.register(HistogramCollector(histograms=self.histograms))

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter; its label names are those of the first call."""
        # The library sorts and joins label values at each lookup; caching the
        # result halves the cost of a count (tools/observe_cost.py).
        key = (name, *labels.items())
        child = self.children.get(key)
        if child is None:
            child = self.child(name, labels)
            self.children[key] = child
        child.inc(amount)

    def child(self, name: str, labels: dict[str, str]) -> Counter:
        """Return the counter of a name and label values."""
        family = self.families.get(name)
        if family is None:
            family = Counter(
                PREFIX + name,
                name.replace('_', ' '),
                tuple(sorted(labels)),
                registry=self.registry,
            )
            self.families[name] = family
        return family.labels(**labels) if labels else family

    def value(self, name: str, **labels: str) -> float:
        """Return the value of a counter, 0 if it does not exist."""
        found = self.registry.get_sample_value(f'{PREFIX}{name}_total', labels)
        return found or 0

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in the histogram of a name and its labels."""
        key = (name, *labels.items())
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = LabelledHistogram(name=name, labels=labels)
            self.histograms[key] = histogram
        microseconds = int(seconds * MICROSECONDS)
        histogram.values.record_value(max(1, microseconds))

    @contextmanager
    def timed(self, name: str, **labels: str) -> Iterator[None]:
        """Record the duration of the block, also if it raises."""
        began = trio.current_time()
        try:
            yield
        finally:
            self.record(name, trio.current_time() - began, **labels)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry).decode()
