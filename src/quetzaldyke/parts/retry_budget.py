"""Limits retries to a ratio of the requests plus a minimum rate.

Without a limit, retries multiply the load on endpoints that already fail.
Every request deposits a fraction of a retry. A floor refills with time, so
that a pool with few requests can still retry. Both balances are limited to
what a time window yields, so that unused retries of a quiet period can't
cause a retry storm.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

# Retries allowed per request.
DEFAULT_RATIO: Final = 0.1
DEFAULT_FLOOR_PER_S: Final = 3.0
# When an endpoint dies, all its streams fail at once. With this window the
# floor allows 30 of them to be resumed in a pool with few requests.
DEFAULT_WINDOW_S: Final = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Retry budget of one pool.

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
    # Deposits not yet spent, decayed over the window.
    deposit_balance: float = 0.0
    floor_balance: float = field(init=False)
    updated_s: float = field(init=False)

    def __post_init__(self) -> None:
        """Start with the floor at its capacity."""
        self.floor_balance = self.floor_per_s * self.window_s
        self.updated_s = self.read_now_s()

    def deposit(self) -> None:
        """Deposit the retry fraction of one request that is not a retry."""
        self.refill()
        # Without rounding, ten deposits of 0.1 add up to less than 1.
        self.deposit_balance = round(self.deposit_balance + self.ratio, 6)

    def try_spend(self) -> bool:
        """Spend one retry and return True, or False when none is left."""
        self.refill()
        if self.deposit_balance >= 1:
            self.deposit_balance -= 1
            return True
        if self.floor_balance >= 1:
            self.floor_balance -= 1
            return True
        return False

    def refill(self) -> None:
        """Refill the floor and decay the deposits by the time elapsed."""
        now_s = self.read_now_s()
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        floor_capacity = self.floor_per_s * self.window_s
        refilled = self.floor_balance + elapsed_s * self.floor_per_s
        self.floor_balance = min(floor_capacity, refilled)
        decay = max(0.0, 1 - elapsed_s / self.window_s)
        self.deposit_balance *= decay
