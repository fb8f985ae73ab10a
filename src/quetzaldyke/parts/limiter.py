"""Adaptive concurrency limit and the slots reserved for online requests.

The limit follows the measured time to first token and time between tokens.
It rises by one while it is reached and both times are within their targets,
and falls by a factor when either time exceeds its target.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Final

DECREASE_FACTOR: Final = 0.8
ADJUST_INTERVAL_S: Final = 1.0
QUANTILE: Final = 0.95  # each target is for the 95th percentile
# With fewer samples the quantile is too uncertain to lower the limit.
MIN_SAMPLES: Final = 20
MAX_SAMPLES: Final = 512
MAX_WINDOW_AGE_S: Final = 10.0
# Part of the duration of a decoding step is independent of the number of
# streams, so the limit is never set below this fraction of the maximum.
MIN_LIMIT_RATIO: Final = 0.25
ARRIVAL_BUCKET_S: Final = 0.1
# Together one second: short enough to follow the start of a burst quickly.
ARRIVAL_BUCKETS: Final = 10
# Whether an endpoint reserves the extra slot is decided anew every second.
# That is about the run time of a batch item, so the slot becomes free when an
# item ends and none has to be preempted. Golden ratio steps spread the
# reserved seconds of the endpoints evenly.
GOLDEN_RATIO_STEP: Final = 0.618034
PREEMPTION_EWMA_WEIGHT: Final = 0.2
# Used until a preemption has been measured.
INITIAL_PREEMPTION_S: Final = 0.05


def quantile(samples: list[float], fraction: float) -> float:
    """Return the sample at the given quantile, or 0 without samples.

    >>> quantile([4.0, 1.0, 3.0, 2.0], 0.5)
    3.0
    """
    if not samples:
        return 0
    position = min(len(samples) - 1, int(fraction * len(samples)))
    return sorted(samples)[position]


def make_window() -> deque[float]:
    """Return an empty window that holds the latest `MAX_SAMPLES`."""
    return deque(maxlen=MAX_SAMPLES)


@dataclass(slots=True)
class Samples:
    """Latencies measured since the window was last cleared.

    >>> samples = Samples(target_ms=50)
    >>> for _ in range(20):
    ...     samples.add(80)
    >>> samples.over_target, samples.quantile_ms
    (True, 80)
    """

    target_ms: float
    window: deque[float] = field(default_factory=make_window)
    cleared_s: float = 0.0

    def add(self, sample_ms: float) -> None:
        """Add a sample."""
        self.window.append(sample_ms)

    @property
    def quantile_ms(self) -> float:
        """Return the quantile to compare with the target."""
        return quantile(list(self.window), QUANTILE)

    @property
    def over_target(self) -> bool:
        """Tell whether the quantile of enough samples exceeds the target."""
        return len(self.window) >= MIN_SAMPLES and (
            self.quantile_ms > self.target_ms
        )

    def reset_window(self, now_s: float) -> None:
        """Clear the window if it has enough samples or is too old."""
        old = now_s - self.cleared_s >= MAX_WINDOW_AGE_S
        if old or len(self.window) >= MIN_SAMPLES:
            self.window.clear()
            self.cleared_s = now_s


@dataclass(slots=True)
class AdaptiveLimit:
    """Number of streams that an endpoint may run concurrently.

    >>> limit = AdaptiveLimit(8, Samples(100), Samples(50))
    >>> for _ in range(20):
    ...     limit.between_tokens.add(80)
    >>> limit.adjust(now_s=1.0)
    >>> limit.limit
    6
    >>> limit.record_running(6)
    >>> limit.adjust(now_s=2.0)
    >>> limit.limit
    7
    """

    maximum: int
    first_token: Samples
    between_tokens: Samples
    adaptive: bool = True
    limit: int = 0
    limit_reached: bool = False
    adjusted_s: float = 0.0
    # The latest quantiles, reported to other processes.
    ttft_ms: float = 0.0
    tbt_ms: float = 0.0

    def __post_init__(self) -> None:
        """Start at the maximum unless a limit is given."""
        self.limit = self.limit or self.maximum

    @property
    def minimum(self) -> int:
        """Return the lowest value that the limit may take."""
        return max(1, int(self.maximum * MIN_LIMIT_RATIO))

    def record_running(self, running: int) -> None:
        """Note whether the running streams have reached the limit."""
        self.limit_reached = self.limit_reached or running >= self.limit

    def adjust(self, now_s: float) -> None:
        """Update the limit, at most once per `ADJUST_INTERVAL_S`.

        The figures for reports are updated even if the limit is fixed.
        """
        if now_s - self.adjusted_s < ADJUST_INTERVAL_S:
            return
        self.adjusted_s = now_s
        self.ttft_ms = self.first_token.quantile_ms or self.ttft_ms
        self.tbt_ms = self.between_tokens.quantile_ms or self.tbt_ms
        if self.adaptive:
            self.update_limit()
        self.limit_reached = False
        self.first_token.reset_window(now_s)
        self.between_tokens.reset_window(now_s)

    def update_limit(self) -> None:
        """Lower the limit if a target is missed, else raise it if reached."""
        if self.first_token.over_target or self.between_tokens.over_target:
            self.limit = max(self.minimum, int(self.limit * DECREASE_FACTOR))
        elif self.limit_reached:
            self.limit = min(self.maximum, self.limit + 1)


@dataclass(slots=True)
class Headroom:
    """Slots reserved for the online requests that arrive in a preemption.

    The expected number of arrivals is mostly below one, and rounding it up
    would waste much of the idle capacity. Its fractional part is therefore
    the fraction of the time in which one slot is reserved. The phase of each
    endpoint shifts that time, and requests go to endpoints with a free slot.

    >>> headroom = Headroom(phase=0.5)
    >>> headroom.slots(limit=16, now_s=0.0)
    0
    >>> for _ in range(30):
    ...     headroom.record_arrival(now_s=0.0)
    >>> headroom.expected_arrivals
    1.5
    >>> headroom.slots(limit=16, now_s=0.0), headroom.slots(16, now_s=0.9)
    (1, 1)
    """

    preemption_s: float = INITIAL_PREEMPTION_S
    phase: float = field(default_factory=random.random)
    bucket_number: int = 0
    arrivals: deque[int] = field(
        default_factory=lambda: deque([0], maxlen=ARRIVAL_BUCKETS),
    )

    def record_arrival(self, now_s: float) -> None:
        """Count the arrival of an online request."""
        self.advance_buckets(now_s)
        self.arrivals[-1] += 1

    def record_preemption(self, preemption_s: float) -> None:
        """Update the average time that a preemption takes to free a slot."""
        self.preemption_s += (
            preemption_s - self.preemption_s
        ) * PREEMPTION_EWMA_WEIGHT

    def advance_buckets(self, now_s: float) -> None:
        """Append empty buckets up to the current time."""
        bucket_number = int(now_s / ARRIVAL_BUCKET_S)
        for _ in range(
            min(bucket_number - self.bucket_number, ARRIVAL_BUCKETS)
        ):
            self.arrivals.append(0)
        self.bucket_number = max(bucket_number, self.bucket_number)

    @property
    def expected_arrivals(self) -> float:
        """Return the arrivals expected during one preemption."""
        window_s = ARRIVAL_BUCKETS * ARRIVAL_BUCKET_S
        return sum(self.arrivals) / window_s * self.preemption_s

    def slots(self, limit: int, now_s: float) -> int:
        """Return the number of slots to reserve, at most `limit - 1`."""
        self.advance_buckets(now_s)
        whole = math.floor(self.expected_arrivals)
        offset = int(now_s) * GOLDEN_RATIO_STEP + self.phase
        extra = self.expected_arrivals - whole > offset - math.floor(offset)
        return min(whole + extra, limit - 1)
