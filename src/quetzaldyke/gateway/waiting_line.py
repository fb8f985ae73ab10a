"""Who waits for a slot, who is refused, and when a caller may return.

Load pattern: a burst of online requests beyond the slots of a service, and
the stampede of callers that come back after an outage.

A new request waits only while its objective can still be met; otherwise it
is refused at once and told when to come back. Return times are handed out
one after the other at the pace at which slots become free, so that refused
callers don't return together. A caller that has come back already is not
sent away again while it can bear the wait. In line, requests that can still
be on time go before those that can't, within the same priority.
"""

from __future__ import annotations

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
# Callers wait for a third of the time that they have left at most.
RETRY_AFTER_SHARE: Final = 0.33
# Share of the slots that is left to new requests while callers return.
NEW_REQUESTS_SHARE: Final = 0.5
# A request with this share of the route's time left is a caller's first.
FIRST_TRY_SHARE: Final = 0.9
# Callers give a silent stream up after the longest of these.
MIN_PATIENCE_S: Final = 2.0
PATIENCE_TARGETS: Final = 4.0
PATIENCE_GAPS: Final = 8.0
# Share of the patience that may pass in line.
PATIENCE_SHARE: Final = 0.75
# Share of the remaining time that may pass in line.
WAIT_SHARE: Final = 0.6


@dataclass(slots=True, eq=False)
class Waiter:
    """One request in line."""

    priority: int
    # Latest start with which the objective is met.
    on_time_until_s: float
    # Latest start at all.
    give_up_s: float
    # Tries to start the request; False when there is no room for it.
    try_start: Callable[[], bool]
    # Tells the request that it was given up.
    refuse: Callable[[], None]
    number: int = 0
    cancelled: bool = False


@dataclass(slots=True)
class WaitingLine:
    """Requests of one service that wait for a slot."""

    waiters: list[Waiter] = field(default_factory=list)
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    hold_s: float = DEFAULT_HOLD_S
    # Return time of the caller that was refused last.
    last_return_s: float = 0.0

    def __len__(self) -> int:
        """Return how many wait."""
        return sum(not one.cancelled for one in self.waiters)

    def note_hold(self, hold_s: float) -> None:
        """Learn for how long a request kept its slot."""
        self.hold_s += HOLD_WEIGHT * (hold_s - self.hold_s)

    def expected_wait_s(self, slots: int, elsewhere: int) -> float:
        """Return how long one more request would wait.

        `slots` are all slots of the service, and `elsewhere` the requests
        that wait for them at other entries.
        """
        return (len(self) + elsewhere + 1) * self.hold_s / max(slots, 1)

    def next_return_s(self, now_s: float, own_slots: float) -> float:
        """Hand out the time at which the next refused caller may return.

        `own_slots` is this entry's share of the slots.
        """
        pace_s = self.hold_s / max(own_slots * (1 - NEW_REQUESTS_SHARE), 1.0)
        earliest_s = now_s + MIN_RETRY_AFTER_S
        self.last_return_s = max(earliest_s, self.last_return_s + pace_s)
        return self.last_return_s

    def add(self, waiter: Waiter) -> None:
        """Put a request in line."""
        waiter.number = next(self.numbers)
        self.waiters.append(waiter)

    def serve(self, now_s: float) -> None:
        """Start waiting requests while there is room."""
        if not self.waiters:
            return
        self.waiters.sort(
            key=lambda one: (
                one.priority,
                one.on_time_until_s < now_s,
                one.number,
            ),
        )
        for position, waiter in enumerate(self.waiters):
            if not waiter.cancelled and not waiter.try_start():
                del self.waiters[:position]
                return
        self.waiters.clear()

    def drop_late(self, now_s: float) -> None:
        """Refuse those that can't be served in time any more."""
        for waiter in self.waiters:
            if not waiter.cancelled and waiter.give_up_s <= now_s:
                waiter.cancelled = True
                waiter.refuse()
        self.waiters = [one for one in self.waiters if not one.cancelled]


def may_wait(
    expected_s: float,
    target_s: float,
    left_s: float,
    timeout_s: float,
) -> bool:
    """Tell whether a request is better off in line than refused.

    >>> may_wait(0.1, target_s=0.3, left_s=5.0, timeout_s=5.0)
    True
    >>> may_wait(0.6, target_s=0.3, left_s=5.0, timeout_s=5.0)
    False
    >>> may_wait(0.6, target_s=0.3, left_s=3.0, timeout_s=5.0)
    True
    """
    if left_s < FIRST_TRY_SHARE * timeout_s:
        return expected_s <= WAIT_SHARE * left_s
    return expected_s + FIRST_EVENT_S <= target_s


def patience_s(target_s: float, max_gap_s: float) -> float:
    """Return how long a request may stay in line.

    >>> patience_s(0.3, 0.25), patience_s(0.3, 0.5)
    (1.5, 3.0)
    """
    longest_s = max(
        MIN_PATIENCE_S,
        PATIENCE_TARGETS * target_s,
        PATIENCE_GAPS * max_gap_s,
    )
    return PATIENCE_SHARE * longest_s


def retry_after_s(return_s: float, now_s: float, left_s: float) -> float:
    """Return what a refused caller is told, within what it can wait.

    >>> retry_after_s(11.0, 10.0, left_s=5.0)
    1.0
    >>> retry_after_s(19.0, 10.0, left_s=2.0)
    0.66
    """
    limit_s = max(MIN_RETRY_AFTER_S, RETRY_AFTER_SHARE * left_s)
    return min(return_s - now_s, limit_s)
