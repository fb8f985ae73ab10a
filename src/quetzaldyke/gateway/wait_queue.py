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
FIRST_EVENT_LATENCY_S: Final = 0.1
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
MIN_CALLER_TIMEOUT_S: Final = 2.0
CALLER_TIMEOUT_TARGETS: Final = 4.0
CALLER_TIMEOUT_GAPS: Final = 8.0
# Share of the patience that may pass in line.
QUEUE_TIME_SHARE: Final = 0.75
# Share of the remaining time that may pass in line.
MAX_WAIT_SHARE: Final = 0.6


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """One request in line."""

    priority: int
    # Latest start with which the objective is met.
    latest_on_time_start_s: float
    # Latest start at all.
    latest_start_s: float
    # Tries to start the request; False when there is no room for it.
    try_start: Callable[[], bool]
    # Tells the request that it was given up.
    refuse: Callable[[], None]
    arrival_number: int = 0
    cancelled: bool = False


@dataclass(slots=True)
class WaitQueue:
    """Requests of one service that wait for a slot."""

    requests: list[QueuedRequest] = field(default_factory=list)
    arrival_numbers: itertools.count[int] = field(
        default_factory=itertools.count
    )
    mean_hold_s: float = DEFAULT_HOLD_S
    # Return time of the caller that was refused last.
    last_retry_s: float = 0.0

    def __len__(self) -> int:
        """Return how many wait."""
        return sum(not one.cancelled for one in self.requests)

    def record_hold(self, hold_s: float) -> None:
        """Learn for how long a request kept its slot."""
        self.mean_hold_s += HOLD_WEIGHT * (hold_s - self.mean_hold_s)

    def expected_wait_s(self, slots: int, elsewhere: int) -> float:
        """Return how long one more request would wait.

        `slots` are all slots of the service, and `elsewhere` the requests
        that wait for them at other entries.
        """
        return (len(self) + elsewhere + 1) * self.mean_hold_s / max(slots, 1)

    def next_retry_s(self, now_s: float, own_slots: float) -> float:
        """Hand out the time at which the next refused caller may return.

        `own_slots` is this entry's share of the slots.
        """
        pace_s = self.mean_hold_s / max(
            own_slots * (1 - NEW_REQUESTS_SHARE), 1.0
        )
        earliest_s = now_s + MIN_RETRY_AFTER_S
        self.last_retry_s = max(earliest_s, self.last_retry_s + pace_s)
        return self.last_retry_s

    def add(self, request: QueuedRequest) -> None:
        """Put a request in line."""
        request.arrival_number = next(self.arrival_numbers)
        self.requests.append(request)

    def serve(self, now_s: float) -> None:
        """Start waiting requests while there is room."""
        if not self.requests:
            return
        self.requests.sort(
            key=lambda one: (
                one.priority,
                one.latest_on_time_start_s < now_s,
                one.arrival_number,
            ),
        )
        for position, request in enumerate(self.requests):
            if not request.cancelled and not request.try_start():
                del self.requests[:position]
                return
        self.requests.clear()

    def refuse_expired(self, now_s: float) -> None:
        """Refuse those that can't be served in time any more."""
        for request in self.requests:
            if not request.cancelled and request.latest_start_s <= now_s:
                request.cancelled = True
                request.refuse()
        self.requests = [one for one in self.requests if not one.cancelled]


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
        return expected_s <= MAX_WAIT_SHARE * left_s
    return expected_s + FIRST_EVENT_LATENCY_S <= target_s


def max_queue_time_s(target_s: float, max_gap_s: float) -> float:
    """Return how long a request may stay in line.

    >>> max_queue_time_s(0.3, 0.25), max_queue_time_s(0.3, 0.5)
    (1.5, 3.0)
    """
    longest_s = max(
        MIN_CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_TARGETS * target_s,
        CALLER_TIMEOUT_GAPS * max_gap_s,
    )
    return QUEUE_TIME_SHARE * longest_s


def retry_after_s(retry_at_s: float, now_s: float, left_s: float) -> float:
    """Return what a refused caller is told, within what it can wait.

    >>> retry_after_s(11.0, 10.0, left_s=5.0)
    1.0
    >>> retry_after_s(19.0, 10.0, left_s=2.0)
    0.66
    """
    limit_s = max(MIN_RETRY_AFTER_S, RETRY_AFTER_SHARE * left_s)
    return min(retry_at_s - now_s, limit_s)
