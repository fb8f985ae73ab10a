"""Token bucket: limits a rate and allows a bounded burst.

The rate may change at any time, because a limit is divided among processes
and the share of each is adjusted.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class TokenBucket:
    """Tokens that are refilled at a rate, up to a burst.

    >>> now_s = 0.0
    >>> bucket = TokenBucket(lambda: now_s, rate_per_s=2.0, burst=1.0)
    >>> bucket.try_take(), bucket.try_take()
    (True, False)
    >>> bucket.wait_s()
    0.5
    """

    read_now_s: Callable[[], float]
    rate_per_s: float
    burst: float
    tokens: float = field(init=False)
    updated_s: float = field(init=False)

    def __post_init__(self) -> None:
        """Start with the full burst."""
        self.tokens = self.burst
        self.updated_s = self.read_now_s()

    def refill(self) -> None:
        """Add the tokens for the time elapsed."""
        now_s = self.read_now_s()
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)

    def set_rate(self, rate_per_s: float, burst: float) -> None:
        """Change the rate and burst; tokens above the new burst are lost."""
        self.refill()
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def try_take(self, count: float = 1.0) -> bool:
        """Take `count` tokens and return True, or False if too few are left."""
        self.refill()
        if self.tokens < count:
            return False
        self.tokens -= count
        return True

    def wait_s(self, count: float = 1.0) -> float:
        """Return how long it takes until `count` tokens are available."""
        self.refill()
        missing = max(0.0, count - self.tokens)
        return missing / self.rate_per_s
