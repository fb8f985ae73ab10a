"""Latency histograms and counters of one benchmark run."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from hdrh.histogram import HdrHistogram

US_IN_S: Final = 1_000_000
MAX_LATENCY_US: Final = 120_000_000
SIGNIFICANT_DIGITS: Final = 3
PERCENTILES: Final = (50.0, 95.0, 99.0, 99.9)
# Figures that are meaningless in a window shorter than a few items.
LONG_WINDOW_FIGURES: Final = frozenset(
    ('items_per_s', 'idle_use', 'kv_writes_per_item'),
)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of durations in us."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Figures:
    """Measurements of one mode."""

    mode: str
    ttft: HdrHistogram = field(default_factory=new_histogram)
    burst_ttft: HdrHistogram = field(default_factory=new_histogram)
    gaps: HdrHistogram = field(default_factory=new_histogram)
    online_sent: int = 0
    online_answered: int = 0
    online_refused: int = 0
    online_broken: int = 0
    idle_slots: int = 0
    batch_slots: int = 0
    items_in_window: int = 0
    items_accepted: int = 0
    items_recorded: int = 0
    items_duplicated: int = 0
    items_wrong: int = 0
    late_jobs: int = 0
    window_s: float = 0.0
    cpu_share: dict[str, float] = field(default_factory=dict)
    kv_calls: dict[str, int] = field(default_factory=dict)
    kv_writes: int = 0
    notes: list[str] = field(default_factory=list)

    def record_ttft(self, ttft_s: float, in_burst: bool) -> None:
        """Record a time to first token; the unit is seconds."""
        ttft_us = max(1, int(ttft_s * US_IN_S))
        self.ttft.record_value(ttft_us)
        if in_burst:
            self.burst_ttft.record_value(ttft_us)

    def record_token_gap(self, gap_s: float) -> None:
        """Record a time between tokens; the unit is seconds."""
        self.gaps.record_value(max(1, int(gap_s * US_IN_S)))

    def rows(self) -> dict[str, float]:
        """Return the figures by name."""
        figures: dict[str, float] = {}
        for name, histogram in (
            ('ttft', self.ttft),
            ('burst_ttft', self.burst_ttft),
            ('tbt', self.gaps),
        ):
            for percentile in PERCENTILES:
                key = f'{name}_p{percentile:g}_ms'
                figures[key] = (
                    histogram.get_value_at_percentile(percentile) / 1000
                )
        figures |= {
            'online_sent': self.online_sent,
            'online_answered': self.online_answered,
            'online_refused': self.online_refused,
            'online_broken': self.online_broken,
            'items_per_s': ratio(self.items_in_window, self.window_s),
            'idle_use': ratio(self.batch_slots, self.idle_slots),
            'items_accepted': self.items_accepted,
            'items_recorded': self.items_recorded,
            'items_lost': max(0, self.items_accepted - self.items_recorded),
            'items_duplicated': self.items_duplicated,
            'items_wrong': self.items_wrong,
            'deadlines_missed': self.late_jobs,
            'kv_writes_per_item': ratio(self.kv_writes, self.items_recorded),
        }
        for role, share in sorted(self.cpu_share.items()):
            figures[f'cpu_{role}'] = share
        for kind, count in sorted(self.kv_calls.items()):
            figures[f'kv_{kind}'] = count
        return figures

    def lines(self, *, batch: bool = True) -> list[str]:
        """Return one key=value line for each figure.

        Without `batch`, figures that need a long window are left out.
        """
        return [
            f'mode={self.mode} {name}={figure:.4g}'
            for name, figure in self.rows().items()
            if batch or name not in LONG_WINDOW_FIGURES
        ]


def ratio(numerator: float, denominator: float) -> float:
    """Return the quotient, or 0 if the denominator is 0."""
    return numerator / denominator if denominator else 0.0


def p99(histogram: HdrHistogram) -> float:
    """Return the 99th percentile in ms."""
    return float(histogram.get_value_at_percentile(99)) / 1000
