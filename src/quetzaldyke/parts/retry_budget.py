"""Bounds retries to a share of the requests plus a floor.

Without a bound, retries multiply the load on endpoints that already fail.
Every request deposits a fraction of a retry, and the floor refills with
time, so that a quiet pool can still retry. Both are capped by a window, so
that savings from a quiet hour can't feed a retry storm.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

# Retries allowed for each request, as a share.
DEFAULT_RATIO: Final = 0.1
DEFAULT_FLOOR_PER_S: Final = 3.0
# An endpoint's death fails all its streams at once; the window lets a quiet
# pool resume 30 of them.
DEFAULT_WINDOW_S: Final = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Retries that one pool may spend.

    >>> now_s = 0.0
    >>> budget = RetryBudget(lambda: now_s, floor_per_s=0.2, window_s=5.0)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> for _ in range(10):
    ...     budget.deposit()
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    read_now_s: Callable[[], float]
    ratio: float = DEFAULT_RATIO
    floor_per_s: float = DEFAULT_FLOOR_PER_S
    window_s: float = DEFAULT_WINDOW_S
    # Deposits of the window, which cap what may be saved.
    deposited: float = 0.0
    floor_tokens: float = field(init=False)
    updated_s: float = field(init=False)

    def __post_init__(self) -> None:
        """Start with a full floor."""
        self.floor_tokens = self.floor_per_s * self.window_s
        self.updated_s = self.read_now_s()

    def deposit(self) -> None:
        """Count one request that is not a retry."""
        self.refill()
        # The rounding makes ten deposits of a tenth one whole retry.
        self.deposited = round(self.deposited + self.ratio, 6)

    def try_spend(self) -> bool:
        """Take one retry, or return False when none is left."""
        self.refill()
        if self.deposited >= 1:
            self.deposited -= 1
            return True
        if self.floor_tokens >= 1:
            self.floor_tokens -= 1
            return True
        return False

    def refill(self) -> None:
        """Add the floor's share for the time passed; age the deposits."""
        now_s = self.read_now_s()
        passed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        full = self.floor_per_s * self.window_s
        grown = self.floor_tokens + passed_s * self.floor_per_s
        self.floor_tokens = min(full, grown)
        kept_share = max(0.0, 1 - passed_s / self.window_s)
        self.deposited *= kept_share
