"""Learns the recent peaks and pauses of online demand.

Load pattern: online demand comes in a rhythm of some seconds, high and low by
turns, without a fixed period. Batch runs of some seconds that start on every
slot of each low are cut in each high, again and again: their prompts are read
anew, and the items are done late.

The highest and the lowest demand of the last seconds are kept, and for how
long demand has mostly stayed low. Batch work that leaves the recent high free
is not cut by the next one, and a run that ends before the next high may use
the whole low.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Final

# Demand is averaged over this time; shorter peaks are absorbed by the
# endpoints' own queues.
BUCKET_S: Final = 0.5
# Highs come seconds apart; one that was not seen for this long is over.
MEMORY_S: Final = 15.0
# A longer time without an observation tells nothing of what was between.
MAX_GAP_S: Final = 1.0
# Lows whose durations are remembered, and the part of them that may be shorter
# than what is expected: a run that is cut costs more than a slot left free.
MAX_LOWS: Final = 12
SHORTER_PART: Final = 0.25


@dataclass(slots=True)
class Bucket:
    """The demand that was observed in a short span of time."""

    since_s: float
    total: float = 0.0
    count: int = 0

    @property
    def mean(self) -> float:
        """Return the mean demand."""
        return self.total / self.count


@dataclass(slots=True)
class DemandRhythm:
    """Recent demand for the endpoints of a service in one failure domain."""

    buckets: deque[Bucket] = field(default_factory=deque)
    # When demand last fell below the middle of its range; None while high.
    low_since_s: float | None = None
    # For how long the last lows have lasted.
    lows_s: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_LOWS))
    noted_s: float = -math.inf

    def note(self, demand: float, now_s: float) -> None:
        """Record the demand that is observed now."""
        if now_s - self.noted_s > MAX_GAP_S:
            self.low_since_s = None
        self.noted_s = now_s
        while self.buckets and self.buckets[0].since_s < now_s - MEMORY_S:
            self.buckets.popleft()
        if not self.buckets or now_s - self.buckets[-1].since_s >= BUCKET_S:
            self.buckets.append(Bucket(now_s))
        latest = self.buckets[-1]
        latest.total += demand
        latest.count += 1
        self.follow_phase(latest.mean, now_s)

    def follow_phase(self, demand: float, now_s: float) -> None:
        """Note when demand begins or ceases to be low."""
        middle = (self.peak + self.trough) / 2
        if self.peak <= self.trough:
            # Demand has no highs and lows.
            self.low_since_s = None
        elif demand < middle and self.low_since_s is None:
            self.low_since_s = now_s
        elif demand >= middle and self.low_since_s is not None:
            self.lows_s.append(now_s - self.low_since_s)
            self.low_since_s = None

    @property
    def peak(self) -> float:
        """Return the highest recent demand."""
        return max((one.mean for one in self.buckets), default=0.0)

    @property
    def trough(self) -> float:
        """Return the lowest recent demand."""
        return min((one.mean for one in self.buckets), default=0.0)

    def rest_of_low_s(self, now_s: float) -> float:
        """Return for how long demand is expected to stay low."""
        if self.low_since_s is None or not self.lows_s:
            return 0.0
        ordered = sorted(self.lows_s)
        expected_s = ordered[int(len(ordered) * SHORTER_PART)]
        return max(0.0, expected_s - (now_s - self.low_since_s))


def reserved_share(peak: float, slots: float) -> float:
    """Return the share of some slots that online demand takes in its peaks.

    The demand varies by about its square root around the peak's mean.

    >>> reserved_share(16, 40), reserved_share(0, 40), reserved_share(90, 40)
    (0.5, 0.0, 1.0)
    """
    if slots <= 0:
        return 1.0
    return min(1.0, (peak + math.sqrt(peak)) / slots)
