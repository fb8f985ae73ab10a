"""Adaptive concurrency limit and the headroom kept for online arrivals.

The limit follows the measured time to first token and time between tokens:
it rises by one while it is used up and both stay under target, and is cut by
a factor when one of them is over.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Final

CUT_FACTOR: Final = 0.8
ADJUST_INTERVAL_S: Final = 1.0
QUANTILE: Final = 0.95  # the targets hold for 95 in 100
# Fewer samples say too little about a quantile to cut the limit.
MIN_SAMPLES: Final = 20
MAX_SAMPLES: Final = 512
# A decoding step has a fixed part that fewer streams don't shorten, so a
# limit below this share of the maximum is not tried.
MIN_SHARE: Final = 0.25
ARRIVAL_BUCKET_S: Final = 0.1
ARRIVAL_BUCKETS: Final = 300
YIELD_WEIGHT: Final = 0.2
# Used until the first preemption was measured.
INITIAL_YIELD_S: Final = 0.05


def quantile(samples: list[float], share: float) -> float:
    """Return a quantile; 0 without samples.

    >>> quantile([4.0, 1.0, 3.0, 2.0], 0.5)
    3.0
    """
    if not samples:
        return 0
    position = min(len(samples) - 1, int(share * len(samples)))
    return sorted(samples)[position]


def make_samples() -> deque[float]:
    """Return an empty window of samples."""
    return deque(maxlen=MAX_SAMPLES)


@dataclass(slots=True)
class AdaptiveLimit:
    """Number of streams that an endpoint may run at once.

    >>> limit = AdaptiveLimit(8, ttft_target_ms=100, tbt_target_ms=50)
    >>> for _ in range(20):
    ...     limit.note_between_tokens(80)
    >>> limit.adjust(now_s=1.0)
    >>> limit.limit
    6
    >>> limit.note_used(6)
    >>> limit.adjust(now_s=2.0)
    >>> limit.limit
    7
    """

    maximum: int
    ttft_target_ms: float
    tbt_target_ms: float
    adaptive: bool = True
    limit: int = 0
    reached: bool = False
    adjusted_s: float = 0.0
    ttft_ms: float = 0.0
    tbt_ms: float = 0.0
    ttft_samples: deque[float] = field(default_factory=make_samples)
    tbt_samples: deque[float] = field(default_factory=make_samples)

    def __post_init__(self) -> None:
        """Start at the endpoint's own maximum."""
        self.limit = self.limit or self.maximum

    @property
    def minimum(self) -> int:
        """Return the lowest limit."""
        return max(1, int(self.maximum * MIN_SHARE))

    def note_first_token(self, ttft_ms: float) -> None:
        """Add a measured time to first token."""
        self.ttft_samples.append(ttft_ms)

    def note_between_tokens(self, tbt_ms: float) -> None:
        """Add a measured time between tokens."""
        self.tbt_samples.append(tbt_ms)

    def note_used(self, running: int) -> None:
        """Remember whether the limit held work back."""
        self.reached = self.reached or running >= self.limit

    def adjust(self, now_s: float) -> None:
        """Move the limit by the samples since the last adjustment."""
        if now_s - self.adjusted_s < ADJUST_INTERVAL_S:
            return
        self.adjusted_s = now_s
        if self.ttft_samples:
            self.ttft_ms = quantile(list(self.ttft_samples), QUANTILE)
        if self.tbt_samples:
            self.tbt_ms = quantile(list(self.tbt_samples), QUANTILE)
        if self.adaptive:
            self.move()
        self.reached = False
        self.ttft_samples.clear()
        self.tbt_samples.clear()

    def move(self) -> None:
        """Cut the limit when a target is missed, else raise it if used."""
        slow_start = over(self.ttft_samples, self.ttft_target_ms)
        slow_tokens = over(self.tbt_samples, self.tbt_target_ms)
        if slow_start or slow_tokens:
            self.limit = max(self.minimum, int(self.limit * CUT_FACTOR))
        elif self.reached:
            self.limit = min(self.maximum, self.limit + 1)


def over(samples: deque[float], target_ms: float) -> bool:
    """Tell whether enough samples show that a target is missed."""
    if len(samples) < MIN_SAMPLES:
        return False
    return quantile(list(samples), QUANTILE) > target_ms


@dataclass(slots=True)
class Headroom:
    """Slots kept free of batch for the arrivals during one preemption.

    >>> headroom = Headroom()
    >>> headroom.slots(limit=16)
    1
    >>> for _ in range(10):
    ...     headroom.note_arrival(now_s=0.0)
    >>> headroom.note_yield(0.05)
    >>> headroom.slots(limit=16)
    5
    """

    yield_s: float = INITIAL_YIELD_S
    bucket: int = 0
    arrivals: deque[int] = field(
        default_factory=lambda: deque([0], maxlen=ARRIVAL_BUCKETS),
    )

    def note_arrival(self, now_s: float) -> None:
        """Count an online arrival."""
        self.advance(now_s)
        self.arrivals[-1] += 1

    def note_yield(self, yield_s: float) -> None:
        """Add the time that one preemption took to free its slot."""
        self.yield_s += (yield_s - self.yield_s) * YIELD_WEIGHT

    def advance(self, now_s: float) -> None:
        """Open the buckets up to the present one."""
        bucket = int(now_s / ARRIVAL_BUCKET_S)
        for _ in range(min(bucket - self.bucket, ARRIVAL_BUCKETS)):
            self.arrivals.append(0)
        self.bucket = max(bucket, self.bucket)

    def slots(self, limit: int) -> int:
        """Return the slots to keep free; one slot is left for batch."""
        peak_per_s = max(self.arrivals) / ARRIVAL_BUCKET_S
        wanted = max(1, math.ceil(peak_per_s * self.yield_s))
        return min(wanted, limit - 1)
