"""Queues online requests that wait for a slot, or refuses them.

This handles bursts of online requests beyond the slots of a service, and the
retry storm of callers after an outage.

A new request is queued only if it can still meet its latency objective;
otherwise it is refused at once with a retry time. Retry times are spaced at
the rate at which slots become free, so that refused callers don't return
together. A caller that has already retried is queued as long as it can
afford the wait. Within a priority, requests that can still meet their
objective are served before those that can't.

It also handles one organisation that sends many times its usual: among equals,
requests are served in the fair order of `parts/fair_order.py` among
organisations. A request that this order puts before others may make the line
too long; then the last of the heaviest organisation is refused at once. Refused
callers of one organisation don't delay the retries of another one's.
"""

from __future__ import annotations

import itertools
import math
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.model import Organisation, Route
from quetzaldyke.parts.fair_order import FlowTable

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
# Retry times of organisations are dropped once they have passed and more than
# these are kept.
MIN_KEPT_RETRIES: Final = 64


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
    # Name of its organisation; empty if there is none.
    flow: str = ''
    # Whether it asks for the end of a stream. It goes before all others, and
    # doesn't hold them up: it may wait for other endpoints than they do.
    confirms: bool = False
    arrival_number: int = 0
    cancelled: bool = False
    started: bool = False
    # Whether it was refused because others went before it.
    displaced: bool = False

    def refusal_reason(self, now_s: float) -> str:
        """Return why the request is refused now."""
        if self.displaced:
            return 'displaced'
        if now_s >= self.latest_start_s:
            return 'waited_too_long'
        return 'no_permit_in_time'


def arrival_of(request: QueuedRequest) -> int:
    """Return the arrival number of a request."""
    return request.arrival_number


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
    # Retry time that was given to the last refused caller, and to that of each
    # organisation beyond its share.
    last_retry_s: float = 0.0
    retries_s: dict[str, float] = field(default_factory=dict)
    # Slots that the organisations hold.
    flows: FlowTable = field(default_factory=FlowTable)

    def __len__(self) -> int:
        """Return the number of requests that were not cancelled."""
        return sum(not one.cancelled for one in self.requests)

    def has_new(self) -> bool:
        """Return whether any request waits that asks for no stream's end."""
        return any(not (one.cancelled or one.confirms) for one in self.requests)

    def record_hold(self, hold_s: float) -> None:
        """Add the time for which a request held its slot to the mean."""
        self.mean_hold_s += HOLD_WEIGHT * (hold_s - self.mean_hold_s)

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
        self,
        now_s: float,
        own_slots: float,
        *,
        limited: bool = False,
        flow: str = '',
    ) -> float:
        """Allocate the time at which the next refused caller should retry.

        `own_slots` is this entry's share of the slots, which is taken as two
        at least unless the requests of all endpoints are limited. Each call
        returns a later time than the one before. `flow` names an organisation
        whose callers don't put off those of others; theirs are spaced at the
        rate of its own share.
        """
        least_slots = MIN_SLOTS if limited else 1.0
        for_retries = own_slots * (1 - NEW_REQUESTS_SHARE)
        if flow:
            for_retries *= self.flows.share(flow)
        pace_s = self.mean_hold_s / max(for_retries, least_slots)
        earliest_s = now_s + MIN_RETRY_AFTER_S
        latest_s = now_s + MAX_LIMITED_RETRY_S if limited else math.inf
        last_s = self.retries_s.get(flow, 0.0) if flow else self.last_retry_s
        retry_s = min(max(earliest_s, last_s + pace_s), latest_s)
        if flow:
            self.keep_retry(flow, retry_s, now_s)
        else:
            self.last_retry_s = retry_s
        return retry_s

    def keep_retry(self, flow: str, retry_s: float, now_s: float) -> None:
        """Keep the last retry time of an organisation; drop past ones."""
        self.retries_s[flow] = retry_s
        if len(self.retries_s) > MIN_KEPT_RETRIES:
            self.retries_s = {
                key: kept_s
                for key, kept_s in self.retries_s.items()
                if kept_s > now_s
            }

    def add(self, request: QueuedRequest) -> None:
        """Append a request to the queue."""
        request.arrival_number = next(self.arrival_numbers)
        self.requests.append(request)

    def serve(self, now_s: float) -> None:
        """Start queued requests until one finds no capacity.

        The order is by priority, then requests that can still meet their
        objective, then arrival. Those that ask for a stream's end come first.
        """
        if not self.requests:
            return
        for request in self.in_order(now_s):
            if request.cancelled:
                continue
            if request.try_start():
                request.started = True
            elif not request.confirms:
                break
        self.requests = [
            one
            for one in self.requests
            if not one.started and not one.cancelled
        ]

    def in_order(self, now_s: float) -> Iterator[QueuedRequest]:
        """Return the requests in the order in which they should start."""
        self.requests.sort(
            key=lambda one: (
                not one.confirms,
                one.priority,
                one.latest_on_time_start_s < now_s,
                one.arrival_number,
            ),
        )
        if self.is_mixed():
            return self.in_fair_order(now_s)
        return iter(self.requests)

    def is_mixed(self) -> bool:
        """Return whether requests of several organisations wait."""
        first = self.requests[0].flow if self.requests else ''
        return any(one.flow != first for one in self.requests)

    def in_fair_order(self, now_s: float) -> Iterator[QueuedRequest]:
        """Yield sorted requests in the fair order among organisations."""

        def rank(one: QueuedRequest) -> tuple[bool, int, bool]:
            late = one.latest_on_time_start_s < now_s
            return not one.confirms, one.priority, late

        for _, equals in itertools.groupby(self.requests, key=rank):
            lines: dict[str, list[QueuedRequest]] = {}
            for one in equals:
                if not one.cancelled:
                    lines.setdefault(one.flow, []).append(one)
            yield from self.flows.in_order(lines, arrival_of)

    def last_in_order(self, now_s: float) -> QueuedRequest | None:
        """Return the request that is served last; None if the queue is empty.

        It is one of the organisation with the most slots and requests for its
        weight, among the least urgent requests.
        """
        waiting = [
            one
            for one in self.requests
            if not one.cancelled and not one.confirms
        ]
        priority = max((one.priority for one in waiting), default=0)
        equals = [one for one in waiting if one.priority == priority]
        if not equals:
            return None
        counts = Counter(one.flow for one in equals)
        heaviest = max(
            counts,
            key=lambda flow: (
                self.flows.level(flow, counts[flow]),
                self.flows.start_time(flow),
                flow,
            ),
        )
        return max(
            (one for one in equals if one.flow == heaviest),
            key=lambda one: (
                one.latest_on_time_start_s < now_s,
                one.arrival_number,
            ),
        )

    def displace(self, request: QueuedRequest) -> None:
        """Refuse a request because others go before it."""
        request.cancelled = request.displaced = True
        request.refuse()

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

    def refuse_hopeless(
        self, expected_s: Callable[[int], float], now_s: float
    ) -> None:
        """Refuse the requests that can't wait as long as is expected.

        `expected_s` returns the wait of the request at a position.
        """
        mixed = self.is_mixed()
        position = 0
        for request in self.in_order(now_s) if mixed else self.requests:
            if request.cancelled:
                continue
            if request.confirms or request.can_wait(expected_s(position)):
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


def max_wait_s(left_s: float, *, confirms: bool) -> float:
    """Return how much of its remaining time a request may spend in the queue.

    The answer about a stream's end takes hardly any time.
    """
    return left_s if confirms else MAX_WAIT_SHARE * left_s


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
