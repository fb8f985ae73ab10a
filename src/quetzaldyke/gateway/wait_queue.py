"""Queues online requests that wait for a slot, or refuses them.

This handles bursts of online requests beyond the slots of a service, and the
retry storm of callers after an outage.

A new request is queued only if it can still meet its latency objective;
otherwise it is refused at once with a retry time. Retry times are spaced at
the rate at which slots become free, so that refused callers don't return
together. A caller that has already retried is queued as long as it can
afford the wait. Within a priority, requests that can still meet their
objective are served before those that can't.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.model import Organisation, Route

# Time from the start of a request at an endpoint to its first event.
FIRST_EVENT_LATENCY_S: Final = 0.1
# Weight of the latest sample in the moving average of slot hold times.
HOLD_WEIGHT: Final = 0.05
DEFAULT_HOLD_S: Final = 0.5
MIN_RETRY_AFTER_S: Final = 0.25
# While all endpoints are limited, retry times are allocated no further ahead:
# a limit may end at any time, and they are then soon true again.
MAX_LIMITED_RETRY_S: Final = 5.0
# Largest retry delay, as a share of the request's remaining time: callers
# wait for at most a third of it.
RETRY_AFTER_SHARE: Final = 0.33
# Share of the slots that is reserved for new requests while refused callers
# retry.
NEW_REQUESTS_SHARE: Final = 0.5
# Keeps a wait finite where no endpoint takes requests.
MIN_SLOTS: Final = 0.01
# A request with nearly the whole route's timeout left is taken for the caller's
# first attempt: a refused caller returns after the shortest retry delay at the
# earliest, which is longer than this.
FIRST_ATTEMPT_SLACK_S: Final = 0.2
# Callers abandon a silent stream after the longest of these: a fixed time, a
# multiple of the latency objective, and a multiple of the longest event gap.
MIN_CALLER_TIMEOUT_S: Final = 2.0
CALLER_TIMEOUT_TARGETS: Final = 4.0
CALLER_TIMEOUT_GAPS: Final = 8.0
# Share of that time that a request may spend in the queue.
QUEUE_TIME_SHARE: Final = 0.75
# Share of the request's remaining time that it may spend in the queue.
MAX_WAIT_SHARE: Final = 0.6


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """One request in the queue."""

    priority: int
    # Latest start that still meets the latency objective.
    latest_on_time_start_s: float
    # The request is refused when it has not started by then.
    latest_start_s: float
    # Starts the request; returns False when no endpoint has capacity.
    try_start: Callable[[], bool]
    # Called when the request is refused.
    refuse: Callable[[], None]
    # Returns whether an expected further wait is acceptable.
    can_wait: Callable[[float], bool] = lambda expected_s: True
    arrival_number: int = 0
    cancelled: bool = False

    def refusal_reason(self, now_s: float) -> str:
        """Return why the request is refused now."""
        if now_s >= self.latest_start_s:
            return 'waited_too_long'
        return 'no_permit_in_time'


@dataclass(slots=True)
class WaitQueue:
    """Requests of one service that wait for a slot.

    Estimates waits from the mean time for which requests hold a slot.
    """

    requests: list[QueuedRequest] = field(default_factory=list)
    arrival_numbers: itertools.count[int] = field(
        default_factory=itertools.count
    )
    mean_hold_s: float = DEFAULT_HOLD_S
    # Retry time that was given to the last refused caller.
    last_retry_s: float = 0.0

    def __len__(self) -> int:
        """Return the number of requests that were not cancelled."""
        return sum(not one.cancelled for one in self.requests)

    def record_hold(self, hold_s: float) -> None:
        """Add the time for which a request held its slot to the mean."""
        self.mean_hold_s += HOLD_WEIGHT * (hold_s - self.mean_hold_s)

    def expected_wait_s(self, slots: float, elsewhere: int) -> float:
        """Return the expected wait of one more request.

        `slots` counts all slots of the service, `elsewhere` the requests
        that wait for them outside this queue.
        """
        return self.time_for_s(len(self) + elsewhere + 1, slots)

    def time_for_s(self, requests: int, slots: float) -> float:
        """Return the time in which so many requests get a slot."""
        return requests * self.mean_hold_s / max(slots, MIN_SLOTS)

    def best_priority(self) -> int:
        """Return the priority of the most urgent request; 0 if empty."""
        return min(
            (one.priority for one in self.requests if not one.cancelled),
            default=0,
        )

    def next_retry_s(
        self, now_s: float, own_slots: float, *, limited: bool = False
    ) -> float:
        """Allocate the time at which the next refused caller should retry.

        `own_slots` is this entry's share of the slots, which is taken as two
        at least unless the requests of all endpoints are limited. Each call
        returns a later time than the one before.
        """
        least_slots = MIN_SLOTS if limited else 1.0
        for_retries = own_slots * (1 - NEW_REQUESTS_SHARE)
        pace_s = self.mean_hold_s / max(for_retries, least_slots)
        earliest_s = now_s + MIN_RETRY_AFTER_S
        latest_s = now_s + MAX_LIMITED_RETRY_S if limited else math.inf
        self.last_retry_s = min(
            max(earliest_s, self.last_retry_s + pace_s), latest_s
        )
        return self.last_retry_s

    def add(self, request: QueuedRequest) -> None:
        """Append a request to the queue."""
        request.arrival_number = next(self.arrival_numbers)
        self.requests.append(request)

    def serve(self, now_s: float) -> None:
        """Start queued requests until one finds no capacity.

        The order is by priority, then requests that can still meet their
        objective, then arrival.
        """
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
        """Refuse the requests whose latest start has passed."""
        for request in self.requests:
            if not request.cancelled and request.latest_start_s <= now_s:
                request.cancelled = True
                request.refuse()
        self.requests = [one for one in self.requests if not one.cancelled]

    def refuse_all(self) -> None:
        """Refuse all requests."""
        for request in self.requests:
            if not request.cancelled:
                request.cancelled = True
                request.refuse()
        self.requests.clear()

    def refuse_hopeless(self, expected_s: Callable[[int], float]) -> None:
        """Refuse the requests that can't wait as long as is expected.

        `expected_s` returns the wait of the request at a position.
        """
        position = 0
        for request in self.requests:
            if request.cancelled:
                continue
            if request.can_wait(expected_s(position)):
                position += 1
                continue
            request.cancelled = True
            request.refuse()
        self.requests = [one for one in self.requests if not one.cancelled]


def may_wait(
    expected_s: float,
    target_s: float,
    left_s: float,
    timeout_s: float,
) -> bool:
    """Return whether a request may be queued instead of refused.

    A first attempt must still meet its latency objective; a retry may wait
    for a share of its remaining time.

    >>> may_wait(0.1, target_s=0.3, left_s=5.0, timeout_s=5.0)
    True
    >>> may_wait(0.6, target_s=0.3, left_s=5.0, timeout_s=5.0)
    False
    >>> may_wait(0.6, target_s=0.3, left_s=3.0, timeout_s=5.0)
    True
    """
    if left_s < timeout_s - FIRST_ATTEMPT_SLACK_S:
        return expected_s <= MAX_WAIT_SHARE * left_s
    return expected_s + FIRST_EVENT_LATENCY_S <= target_s


def max_queue_time_s(target_s: float, max_gap_s: float) -> float:
    """Return the longest time that a request may spend in the queue.

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
    """Return the retry delay for a refused caller.

    It is limited to a share of the request's remaining time.

    >>> retry_after_s(11.0, 10.0, left_s=5.0)
    1.0
    >>> retry_after_s(19.0, 10.0, left_s=2.0)
    0.66
    """
    limit_s = max(MIN_RETRY_AFTER_S, RETRY_AFTER_SHARE * left_s)
    return min(retry_at_s - now_s, limit_s)


def priority_of(route: Route, organisation: Organisation | None) -> int:
    """Return the priority of a request; 0 is the most urgent.

    That of its organisation goes before that of its route.
    """
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority
