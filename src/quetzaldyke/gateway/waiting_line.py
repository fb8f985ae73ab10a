"""Who waits for a slot, who is refused, and when a caller may return.

Load pattern: a burst of online requests beyond the slots of a service.

A request waits only as long as its objective can still be met. One that
would wait longer is refused at once, and told to come back when the line
ahead of it will have been served, spread over a part of that time so that
the refused callers do not return together. More urgent requests go first,
equal ones in order of arrival.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

# Time that an endpoint needs from the start of a request to its first event.
FIRST_EVENT_S: Final = 0.1
# Weight of the latest slot time in its moving average.
HOLD_WEIGHT: Final = 0.05
DEFAULT_HOLD_S: Final = 0.5
MIN_RETRY_AFTER_S: Final = 0.25
MAX_RETRY_AFTER_S: Final = 3.0
# Share of a Retry-After over which returning callers are spread.
RETRY_SPREAD: Final = 0.5


@dataclass(slots=True)
class Waiter:
    """One request in line."""

    priority: int
    # Latest time to start so that the caller is still served.
    give_up_s: float
    # Tries to start the request; False when there is no room for it.
    try_start: Callable[[], bool]
    # Tells the request that it was given up.
    refuse: Callable[[], None]
    cancelled: bool = False


@dataclass(slots=True)
class WaitingLine:
    """Requests of one service that wait for a slot."""

    heap: list[tuple[int, int, Waiter]] = field(default_factory=list)
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    hold_s: float = DEFAULT_HOLD_S

    def __len__(self) -> int:
        """Return how many wait."""
        return sum(not entry[2].cancelled for entry in self.heap)

    def note_hold(self, hold_s: float) -> None:
        """Learn for how long a request kept its slot."""
        self.hold_s += HOLD_WEIGHT * (hold_s - self.hold_s)

    def expected_wait_s(self, slots: float) -> float:
        """Return how long one more request would wait.

        `slots` is this entry's share of the service's slots.
        """
        return (len(self) + 1) * self.hold_s / max(slots, 1.0)

    def add(self, waiter: Waiter) -> None:
        """Put a request in line."""
        entry = (waiter.priority, next(self.numbers), waiter)
        heapq.heappush(self.heap, entry)

    def serve(self) -> None:
        """Start waiting requests while there is room."""
        while self.heap:
            waiter = self.heap[0][2]
            if not waiter.cancelled and not waiter.try_start():
                return
            heapq.heappop(self.heap)

    def drop_late(self, now_s: float) -> None:
        """Refuse those that can't be served in time any more."""
        for _, _, waiter in self.heap:
            if not waiter.cancelled and waiter.give_up_s <= now_s:
                waiter.cancelled = True
                waiter.refuse()
        self.heap = [entry for entry in self.heap if not entry[2].cancelled]
        heapq.heapify(self.heap)


def may_wait(expected_s: float, target_s: float) -> bool:
    """Tell whether a request that waits can still meet its objective.

    >>> may_wait(0.1, 0.3), may_wait(0.25, 0.3)
    (True, False)
    """
    return expected_s + FIRST_EVENT_S <= target_s


def retry_after_s(expected_s: float, drawn: float) -> float:
    """Return when a refused caller should come back.

    `drawn` is a random number from 0 to 1.

    >>> retry_after_s(1.0, 0.0), retry_after_s(1.0, 1.0)
    (1.0, 1.5)
    >>> retry_after_s(0.0, 0.0), retry_after_s(60.0, 0.0)
    (0.25, 3.0)
    """
    base_s = min(max(expected_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return base_s * (1 + RETRY_SPREAD * drawn)
