"""Bounds the requests of one key over a whole fleet in every sliding window.

Load pattern: many processes admit requests of the same key, which may come at
one process or at all, far more than allowed for some seconds. In every window
no more than (rate x window + burst) x (1 + overshoot) + slack may be admitted,
and none may be refused that fits rate and burst.

The allowance beyond rate and burst is divided once, so that the parts add up
to the bound whatever fails:

* `REFILL_PART` of the overshoot of the rate raises the rate of the buckets. It
  makes up for the shares of instances that are lost.
* The rest of it allows for permits that are used after the window in which
  they were granted began: it gives their longest lifetime.
* Part of the slack and of the overshoot of the burst raises the burst of the
  buckets: requests arrive here in another order, and after other delays, than
  they were sent.
* The rest of these, less one request for rounding, are spare permits. Each
  process has its own, once in a window, for when no coordinator can grant.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.parts.held_shares import Holding

REFILL_PART: Final = 0.5
# Parts of the overshoot of the burst and of the slack for the buckets.
BURST_PART: Final = 0.5
SLACK_PART: Final = 0.1
# A bucket with most of the shares holds at least one token.
MAJORITY: Final = 0.5
# Retry-After while this process holds no shares: longer than it takes until
# another one does.
NO_SHARES_RETRY_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class RateBounds:
    """By how much the fleet may exceed a rate in each window."""

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0

    @property
    def refill_factor(self) -> float:
        """Return the rate of the buckets as a multiple of the limit."""
        return 1 + REFILL_PART * self.overshoot

    @property
    def permit_ttl_s(self) -> float:
        """Return for how long a permit may be used after it was asked for."""
        rest = (1 - REFILL_PART) * self.overshoot
        return rest * self.window_s / self.refill_factor

    def allowed(self, rate: float, burst: float) -> float:
        """Return the most requests in a window."""
        within = rate * self.window_s + burst
        return within * (1 + self.overshoot) + self.slack

    def spare(self, burst: float) -> int:
        """Return the spare permits of all processes in a window."""
        slack = (1 - SLACK_PART) * self.slack
        rest = slack + (1 - BURST_PART) * self.overshoot * burst
        return max(0, math.floor(rest) - 1)

    def bucket_burst(self, burst: float) -> float:
        """Return the burst of the buckets."""
        more = BURST_PART * self.overshoot * burst
        return burst + more + SLACK_PART * self.slack


def spare_of_rank(spare: int, processes: int, rank: int) -> int:
    """Return the spare permits of the process at a rank, counted from 0.

    >>> [spare_of_rank(5, 3, rank) for rank in range(3)]
    [2, 2, 1]
    """
    each, more = divmod(spare, max(1, processes))
    return each + (rank < more)


@dataclass(slots=True)
class RateBucket:
    """Tokens of the shares of one rate that a process holds.

    It starts with what the shares have gained since they are held: what was
    granted for them before is not known. Shares that were held by others in
    the meantime start anew.

    >>> bucket = RateBucket(2.0, 4.0)
    >>> bucket.refill(Holding((0.0,)), now_s=1.0)
    >>> bucket.take(3), bucket.take(3)
    (2, 0)
    """

    # Tokens per second.
    rate: float
    # Most tokens.
    burst: float
    tokens: float = 0.0
    weight: float = 0.0
    updated_s: float = -math.inf
    # Until when requests that were refused have been told to wait.
    told_until_s: float = -math.inf

    @property
    def capacity(self) -> float:
        """Return the most tokens for the shares that are held."""
        return capacity_of(self.burst, self.weight)

    def refill(self, holding: Holding, now_s: float) -> None:
        """Add the tokens since the last call, for the shares held since."""
        kept = capacity_of(self.burst, holding.weight_since(self.updated_s))
        added = self.rate * holding.share_seconds(self.updated_s, now_s)
        self.weight = holding.weight
        self.tokens = min(self.capacity, min(self.tokens, kept) + added)
        self.updated_s = now_s

    def take(self, wanted: int) -> int:
        """Take up to so many whole tokens; return how many."""
        granted = min(wanted, math.floor(self.tokens))
        self.tokens -= granted
        return granted

    def next_token_s(self) -> float:
        """Return the time until there is a whole token."""
        if self.capacity < 1:
            return NO_SHARES_RETRY_S
        return max(0.0, 1 - self.tokens) / (self.rate * self.weight)

    def refuse(self, requests: int, now_s: float, longest_s: float) -> float:
        """Return when the first of some refused requests may be sent again.

        Each refused request gets a later time, as they would otherwise all
        come for the next token. With few shares the tokens come too slowly:
        another process has the rest, or will have.
        """
        if self.capacity < 1 or self.weight <= MAJORITY:
            return NO_SHARES_RETRY_S
        first_s = max(now_s + self.next_token_s(), self.told_until_s)
        first_s = min(first_s, now_s + longest_s)
        self.told_until_s = first_s + requests / (self.rate * self.weight)
        return first_s - now_s


def capacity_of(burst: float, weight: float) -> float:
    """Return the most tokens for a part of all shares.

    >>> capacity_of(0.0, 1.0), capacity_of(8.0, 0.25), capacity_of(2.0, 0.25)
    (1.0, 2.0, 0.5)
    """
    least = 1.0 if weight > MAJORITY else 0.0
    return max(burst * weight, least)


@dataclass(slots=True)
class SparePermits:
    """The spare permits that one process has used of one rate.

    >>> permits = SparePermits(window_s=5.0)
    >>> permits.take(1, 10.0), permits.take(1, 14.0), permits.take(1, 15.5)
    (True, False, True)
    """

    window_s: float
    used_s: deque[float] = field(default_factory=deque)

    def take(self, most: int, now_s: float) -> bool:
        """Use a permit unless as many were used in the last window."""
        while self.used_s and now_s - self.used_s[0] > self.window_s:
            self.used_s.popleft()
        if len(self.used_s) >= most:
            return False
        self.used_s.append(now_s)
        return True
