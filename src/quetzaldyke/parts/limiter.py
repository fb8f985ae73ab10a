"""Adaptive concurrency limit and the headroom kept for online arrivals.

The limit follows the measured time to first token and time between tokens:
it rises by one while it is used up and both stay under target, and is cut by
a factor when one of them is over.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Final

CUT_FACTOR: Final = 0.8
ADJUST_INTERVAL_S: Final = 1.0
QUANTILE: Final = 0.95  # the targets hold for 95 in 100
# Fewer samples say too little about a quantile to cut the limit.
MIN_SAMPLES: Final = 20
MAX_SAMPLES: Final = 512
SAMPLE_LIFE_S: Final = 10.0
# A decoding step has a fixed part that fewer streams don't shorten, so a
# limit below this share of the maximum is not tried.
MIN_SHARE: Final = 0.25
ARRIVAL_BUCKET_S: Final = 0.1
# The rate of the last second follows the start of a burst quickly.
ARRIVAL_BUCKETS: Final = 10
# A turn is one second, about as long as a batch item runs, so that a slot is
# free by the end of an item and need not be preempted. Steps by the golden
# ratio spread the turns of endpoints evenly.
TURN_STEP: Final = 0.618034
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


def make_window() -> deque[float]:
    """Return an empty window of samples."""
    return deque(maxlen=MAX_SAMPLES)


@dataclass(slots=True)
class Samples:
    """Measured times since the last judgement.

    >>> samples = Samples(target_ms=50)
    >>> for _ in range(20):
    ...     samples.add(80)
    >>> samples.over, samples.high_ms
    (True, 80)
    """

    target_ms: float
    window: deque[float] = field(default_factory=make_window)
    cleared_s: float = 0.0

    def add(self, sample_ms: float) -> None:
        """Add a sample."""
        self.window.append(sample_ms)

    @property
    def high_ms(self) -> float:
        """Return the quantile that the target is for."""
        return quantile(list(self.window), QUANTILE)

    @property
    def over(self) -> bool:
        """Tell whether enough samples show that the target is missed."""
        return len(self.window) >= MIN_SAMPLES and (
            self.high_ms > self.target_ms
        )

    def drop_used(self, now_s: float) -> None:
        """Drop samples that were enough to judge by, or are too old."""
        old = now_s - self.cleared_s >= SAMPLE_LIFE_S
        if old or len(self.window) >= MIN_SAMPLES:
            self.window.clear()
            self.cleared_s = now_s


@dataclass(slots=True)
class AdaptiveLimit:
    """Number of streams that an endpoint may run at once.

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
    reached: bool = False
    adjusted_s: float = 0.0
    # The latest figures, for reports.
    ttft_ms: float = 0.0
    tbt_ms: float = 0.0

    def __post_init__(self) -> None:
        """Start at the endpoint's own maximum."""
        self.limit = self.limit or self.maximum

    @property
    def minimum(self) -> int:
        """Return the lowest limit."""
        return max(1, int(self.maximum * MIN_SHARE))

    def record_running(self, running: int) -> None:
        """Remember whether the limit held work back."""
        self.reached = self.reached or running >= self.limit

    def adjust(self, now_s: float) -> None:
        """Move the limit by the samples since the last adjustment."""
        if now_s - self.adjusted_s < ADJUST_INTERVAL_S:
            return
        self.adjusted_s = now_s
        self.ttft_ms = self.first_token.high_ms or self.ttft_ms
        self.tbt_ms = self.between_tokens.high_ms or self.tbt_ms
        if self.adaptive:
            self.move()
        self.reached = False
        self.first_token.drop_used(now_s)
        self.between_tokens.drop_used(now_s)

    def move(self) -> None:
        """Cut the limit when a target is missed, else raise it if used."""
        if self.first_token.over or self.between_tokens.over:
            self.limit = max(self.minimum, int(self.limit * CUT_FACTOR))
        elif self.reached:
            self.limit = min(self.maximum, self.limit + 1)


@dataclass(slots=True)
class Headroom:
    """Slots kept free of batch for the arrivals during one preemption.

    The expected number is mostly below one. Whole slots would then leave a
    large part of the idle capacity unused, so the fraction is the share of
    the time in which one slot is kept. Endpoints take turns by their phase,
    and requests go to the endpoints with a free slot.

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

    yield_s: float = INITIAL_YIELD_S
    phase: float = field(default_factory=random.random)
    bucket: int = 0
    arrivals: deque[int] = field(
        default_factory=lambda: deque([0], maxlen=ARRIVAL_BUCKETS),
    )

    def record_arrival(self, now_s: float) -> None:
        """Count an online arrival."""
        self.advance(now_s)
        self.arrivals[-1] += 1

    def record_preemption(self, yield_s: float) -> None:
        """Add the time that one preemption took to free its slot."""
        self.yield_s += (yield_s - self.yield_s) * YIELD_WEIGHT

    def advance(self, now_s: float) -> None:
        """Open the buckets up to the present one."""
        bucket = int(now_s / ARRIVAL_BUCKET_S)
        for _ in range(min(bucket - self.bucket, ARRIVAL_BUCKETS)):
            self.arrivals.append(0)
        self.bucket = max(bucket, self.bucket)

    @property
    def expected_arrivals(self) -> float:
        """Return the arrivals expected while one slot is being freed."""
        window_s = ARRIVAL_BUCKETS * ARRIVAL_BUCKET_S
        return sum(self.arrivals) / window_s * self.yield_s

    def slots(self, limit: int, now_s: float) -> int:
        """Return the slots to keep free; one slot is left for batch."""
        self.advance(now_s)
        whole = math.floor(self.expected_arrivals)
        turn = int(now_s) * TURN_STEP + self.phase
        extra = self.expected_arrivals - whole > turn - math.floor(turn)
        return min(whole + extra, limit - 1)
