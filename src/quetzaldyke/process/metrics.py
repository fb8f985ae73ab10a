"""Collects counters, gauges and latency summaries of one process.

Renders them in the Prometheus text format. Quantiles are read from one HDR
histogram for each series.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

LOWEST_US: Final = 1  # us
HIGHEST_US: Final = 3_600_000_000  # us, one hour
SIGNIFICANT_DIGITS: Final = 2
US_IN_MS: Final = 1000
QUANTILES: Final = (0.5, 0.9, 0.95, 0.99, 0.999)
PERCENT: Final = 100
# Series are never removed, so labels must come from bounded sets. Values of
# series beyond this limit are added to one overflow series for each name.
MAX_SERIES: Final = 10_000
OVERFLOW_LABELS: Final = (('overflow', 'true'),)

Labels = tuple[tuple[str, str], ...]
Series = tuple[str, Labels]


def render_labels(labels: Labels) -> str:
    """Return labels in braces; empty if there are none.

    >>> render_labels((('pool', 'orders'),))
    '{pool="orders"}'
    """
    if not labels:
        return ''
    pairs = [f'{name}="{escape(text)}"' for name, text in labels]
    return f'{{{",".join(pairs)}}}'


def escape(text: str) -> str:
    r"""Escape backslashes, quotes and newlines of a label value.

    >>> escape('a"b')
    'a\\"b'
    """
    quoted = text.replace('\\', '\\\\').replace('"', '\\"')
    return quoted.replace('\n', '\\n')


def series_of(name: str, labels: dict[str, str]) -> Series:
    """Return the key of a series: its name and sorted labels."""
    return name, tuple(sorted(labels.items()))


@dataclass(slots=True)
class Metrics:
    """Counters, gauges and histograms of a process.

    >>> metrics = Metrics()
    >>> metrics.count('requests_total', pool='orders')
    >>> metrics.observe_ms('ttft_ms', 12.5, pool='orders')
    >>> print(metrics.render())
    # TYPE requests_total counter
    requests_total{pool="orders"} 1
    # TYPE ttft_ms summary
    ttft_ms{pool="orders",quantile="0.5"} 12.543
    ttft_ms{pool="orders",quantile="0.9"} 12.543
    ttft_ms{pool="orders",quantile="0.95"} 12.543
    ttft_ms{pool="orders",quantile="0.99"} 12.543
    ttft_ms{pool="orders",quantile="0.999"} 12.543
    ttft_ms_sum{pool="orders"} 12.5
    ttft_ms_count{pool="orders"} 1
    <BLANKLINE>
    """

    counters: dict[Series, float] = field(default_factory=dict)
    histograms: dict[Series, HdrHistogram] = field(default_factory=dict)
    sums: dict[Series, float] = field(default_factory=dict)
    gauges: dict[Series, Callable[[], float]] = field(default_factory=dict)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add `amount` to a counter."""
        series = self.limit_series(self.counters, series_of(name, labels))
        self.counters[series] = self.counters.get(series, 0) + amount

    def observe_ms(self, name: str, elapsed_ms: float, **labels: str) -> None:
        """Record a duration, clamped to 1 us to one hour for quantiles."""
        series = self.limit_series(self.histograms, series_of(name, labels))
        histogram = self.histograms.get(series)
        if histogram is None:
            histogram = new_histogram()
            self.histograms[series] = histogram
        in_us = int(elapsed_ms * US_IN_MS)
        histogram.record_value(min(max(in_us, LOWEST_US), HIGHEST_US))
        self.sums[series] = self.sums.get(series, 0) + elapsed_ms

    def gauge(
        self, name: str, read: Callable[[], float], **labels: str
    ) -> None:
        """Register a gauge that `read` returns when metrics are rendered."""
        self.gauges[series_of(name, labels)] = read

    def quantile_ms(self, name: str, quantile: float, **labels: str) -> float:
        """Return a quantile of a series; 0 if nothing was recorded."""
        histogram = self.histograms.get(series_of(name, labels))
        return quantile_of(histogram, quantile) if histogram else 0

    def limit_series(
        self, known: Mapping[Series, object], series: Series
    ) -> Series:
        """Return the series, or the overflow series if there are too many."""
        if series in known or len(known) < MAX_SERIES:
            return series
        return series[0], OVERFLOW_LABELS

    def render(self) -> str:
        """Return all metrics in the text exposition format."""
        lines = [
            *render_family(self.counters, 'counter'),
            *render_family(
                {series: read() for series, read in self.gauges.items()},
                'gauge',
            ),
            *self.render_summaries(),
        ]
        return ''.join(f'{line}\n' for line in lines)

    def render_summaries(self) -> Iterator[str]:
        """Yield the lines of all histograms as summaries."""
        last_name = ''
        for series in sorted(self.histograms):
            name, labels = series
            if name != last_name:
                yield f'# TYPE {name} summary'
                last_name = name
            histogram = self.histograms[series]
            for quantile in QUANTILES:
                quantile_labels = (*labels, ('quantile', f'{quantile:g}'))
                amount = quantile_of(histogram, quantile)
                yield f'{name}{render_labels(quantile_labels)} {amount:g}'
            text = render_labels(labels)
            yield f'{name}_sum{text} {self.sums[series]:.12g}'
            yield f'{name}_count{text} {histogram.get_total_count()}'


def new_histogram() -> HdrHistogram:
    """Return an empty histogram.

    Its module is imported with the first one, as a process observes nothing
    before it has served a request.
    """
    module = importlib.import_module('hdrh.histogram')
    histogram: HdrHistogram = module.HdrHistogram(
        LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
    )
    return histogram


def quantile_of(histogram: HdrHistogram, quantile: float) -> float:
    """Return a quantile of a histogram, in ms."""
    in_us: float = histogram.get_value_at_percentile(quantile * PERCENT)
    return in_us / US_IN_MS


def render_family(
    samples: dict[Series, float],
    kind: str,
) -> Iterator[str]:
    """Yield the lines of counters or gauges, grouped by name."""
    last_name = ''
    for name, labels in sorted(samples):
        if name != last_name:
            yield f'# TYPE {name} {kind}'
            last_name = name
        amount = samples[name, labels]
        yield f'{name}{render_labels(labels)} {amount:.12g}'
